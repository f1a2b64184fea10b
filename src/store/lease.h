#pragma once

#include "core/object.h"
#include "core/types.h"
#include "store/stored_object.h"

#include <optional>
#include <string>

namespace cranberryshed::store {

struct LeaseOptions {
    std::string holder; // id of this process, unique per start
    core::Duration duration = std::chrono::seconds(30);
    core::Duration renewInterval = std::chrono::seconds(10);
};

// The next step of the owner of a Lease.
enum class LeaseStep : std::uint8_t {
    Read, // Read the lease object and pass it to `recordRead`.
    Write, // Write `content()` on condition of `ifVersion()` and pass the result to `recordWrite` or `recordFailure`.
    Wait, // Nothing to do before `nextStepTime()`.
};

// A lease that lets at most one process at a time do a job. It is stored in one object of the platform's store and is
// fenced by the object's version. It does no I/O: the owner reads and writes the object and passes in the results.
//
// Times are measured on the clock of this process only: another holder's lease counts as expired once this process has
// seen the same version for the whole duration. So the clocks of different VMs need not agree.
//
// The lease alone does not prevent late writes, since a holder can be paused right after it has checked the lease. Each
// write of the protected object is therefore conditional on a version that the holder has seen in its term, see
// FencedWrites.
class Lease {
public:
    explicit Lease(LeaseOptions leaseOptions)
        : options(std::move(leaseOptions))
    {
    }

    LeaseStep nextStep(core::TimePoint now) const;
    core::TimePoint nextStepTime() const { return this->nextStepAt; }

    // Records the lease object that was read at `now`.
    void recordRead(const StoredObject& object, core::TimePoint now);
    // Records the result of a write that was sent at `sentAt`. The duration of the lease starts at that time.
    void recordWrite(const WriteResult& result, core::TimePoint sentAt, core::TimePoint now);
    // Records a failed call. The object's version is then unknown, so it is read again once the lease is not held.
    void recordFailure(core::TimePoint now);

    // Whether this process holds the lease at `now`. After a pause longer than the lease it does not.
    bool isHeld(core::TimePoint now) const { return this->heldUntil && now < *this->heldUntil; }
    // The number of times that this process acquired the lease, not counting renewals. A write that was started in an
    // earlier term must not be continued in this one.
    std::uint64_t term() const { return this->termCount; }

    // The condition of the next write of the lease object; 0: the object must not exist.
    std::uint64_t ifVersion() const { return this->lastVersion; }
    // The content of the lease object, as JSON text.
    std::string content() const;

private:
    LeaseOptions options;
    std::uint64_t lastVersion = 0; // of the lease object; 0: absent
    bool isVersionKnown = false; // `lastVersion` is the version that the store was last seen to hold
    core::TimePoint versionFirstSeen {}; // when this process first saw `lastVersion`
    core::Duration observedDuration {}; // as stated in the lease object
    std::optional<core::TimePoint> heldUntil;
    core::TimePoint nextStepAt {};
    std::uint64_t termCount = 0;
};

// The condition for writes of an object that only the holder of a lease writes: first the version that was read after
// the lease was acquired, then the version of the holder's last write. A new holder writes at once and so changes the
// version. After that, no write of an earlier holder can take effect.
class FencedWrites {
public:
    // Returns the version that the write must replace, or nothing if the object has to be read first in this term.
    std::optional<std::uint64_t> ifVersion(std::uint64_t term) const;
    void recordRead(std::uint64_t term, std::uint64_t version);
    // Records the result of a write. After a conflict, the object is read again, but only if the lease is still held.
    void recordWrite(std::uint64_t term, const WriteResult& result);

private:
    std::optional<std::uint64_t> readTerm;
    std::uint64_t version = 0;
};

}
