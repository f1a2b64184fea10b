#pragma once

#include "core/object.h"
#include "core/types.h"
#include "store/stored_object.h"

#include <optional>
#include <string>

namespace cranberryshed::store {

struct LeaseOptions {
    std::string holder; // id of this process, unique per start
    // From a holder's last renewal until another process can hold the lease.
    core::Duration duration = std::chrono::seconds(30);
    core::Duration renewInterval = std::chrono::seconds(10); // less than half of the duration
    core::Duration readInterval = std::chrono::seconds(5); // while another process holds the lease
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
// A process first claims the lease: it writes the object once it is absent or has not changed for half of the duration.
// It holds the lease once a renewal succeeds that it sent half of the duration after the claim, and then for half of the
// duration from when it sent its last successful renewal. So no other process holds the lease at that time: a lease that
// was renewed before the claim has expired, and one that was renewed after it has made the renewal conflict. This is so
// also if the store comes back from an older copy, in which the lease of a living holder is absent or older.
//
// Times are measured on the clock of this process only, so the clocks of different VMs need not agree.
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

    // Records the store's present era. If it has changed, the lease is no longer held and its object is read again. To be
    // called before the results of a call are recorded.
    void recordEra(std::uint64_t era);
    // Records the lease object that was read at `now`.
    void recordRead(const StoredObject& object, core::TimePoint now);
    // Records the result of a write that was sent at `sentAt`. The time for which the lease is held starts then.
    void recordWrite(const WriteResult& result, core::TimePoint sentAt, core::TimePoint now);
    // Records a failed call. The object's version is then unknown, so it is read again once the claim has expired.
    void recordFailure(core::TimePoint now);

    // Whether this process holds the lease at `now`. After a pause of half of the duration it does not.
    bool isHeld(core::TimePoint now) const { return this->isConfirmed && this->isClaimed(now); }
    // The number of times that this process acquired the lease, not counting renewals. A write that was started in an
    // earlier term must not be continued in this one.
    std::uint64_t term() const { return this->termCount; }

    // The condition of the next write of the lease object; 0: the object must not exist.
    std::uint64_t ifVersion() const { return this->lastVersion; }
    // The content of the lease object, as JSON text.
    std::string content() const;

private:
    bool isClaimed(core::TimePoint now) const { return this->claimedUntil && now < *this->claimedUntil; }
    // Whether no holder has renewed the lease for so long that this process can claim it.
    bool isFree(core::TimePoint now) const;
    void dropClaim();

    LeaseOptions options;
    std::uint64_t era = 0; // of the store
    // The lease object as it was last seen. Its version alone does not identify a state: a store that has come back from
    // a copy assigns versions a second time.
    std::uint64_t lastVersion = 0; // 0: absent
    WriteId lastWriteId;
    bool isVersionKnown = false; // the store was last seen to hold that state
    core::TimePoint firstSeen {}; // when this process first saw that state
    core::Duration observedDuration {}; // as stated in the lease object
    // The claim of this process, if it has one.
    std::optional<core::TimePoint> claimedUntil; // unless it is renewed
    core::TimePoint confirmAt {}; // a renewal that is sent from then on makes this process the holder
    bool isConfirmed = false;
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
