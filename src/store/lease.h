#pragma once

#include "core/object.h"
#include "core/types.h"
#include "store/stored_object.h"

#include <optional>
#include <string>

namespace cranberryshed::store {

// A lease on one job, kept in one object of the store and fenced by the object's version. Pure logic: the owner
// reads and writes the object and passes on what it saw.
//
// Times are measured on this process's own clock only: another holder's lease counts as expired once this process
// has seen the same version for the whole duration. So clocks of different VMs need not agree.
//
// The lease alone protects nothing, since a holder may be paused right after it looked. Each write of the
// protected object is therefore conditional on the version that its holder saw when it took or renewed the
// lease: see `FencedWrites`.
struct LeaseOptions {
    std::string holder; // this process, unique per start
    core::Duration duration = std::chrono::seconds(30);
    core::Duration renewInterval = std::chrono::seconds(10);
};

enum class LeaseStep : std::uint8_t {
    Read, // Read the lease object and pass it to `recordRead`.
    Write, // Write `content()` on the condition of `ifVersion()` and pass the end to `recordWrite` or `recordFailure`.
    Wait, // Nothing to do before `nextStepTime()`.
};

class Lease {
public:
    explicit Lease(LeaseOptions leaseOptions)
        : options(std::move(leaseOptions))
    {
    }

    // What to do now.
    LeaseStep nextStep(core::TimePoint now) const;
    core::TimePoint nextStepTime() const { return this->nextStepAt; }

    // The lease object that was read at `now`.
    void recordRead(const StoredObject& object, core::TimePoint now);
    // The write that was sent at `sentAt` ended. The lease counts from when it was sent.
    void recordWrite(const WriteResult& result, core::TimePoint sentAt, core::TimePoint now);
    // A call failed. Nothing is known, so the object is read again.
    void recordFailure(core::TimePoint now);

    // Whether this process holds the lease at `now`. A process that was paused finds that it does not.
    bool isHeld(core::TimePoint now) const { return this->heldUntil && now < *this->heldUntil; }
    // Counts the times that the lease was taken, not renewed. Work that was begun under another term is not its own.
    std::uint64_t term() const { return this->termCount; }

    std::uint64_t ifVersion() const { return this->lastVersion; }
    std::string content() const;

private:
    LeaseOptions options;
    std::uint64_t lastVersion = 0; // 0: absent
    bool isVersionKnown = false; // whether `lastVersion` is what the store was last seen to hold
    core::TimePoint versionFirstSeen {}; // when this process first saw that version
    core::Duration observedDuration {}; // of the lease that was seen
    std::optional<core::TimePoint> heldUntil;
    core::TimePoint nextStepAt {};
    std::uint64_t termCount = 0;
};

// The condition for writes of an object that only the lease's holder writes: the version that was read after the
// lease was taken, then that of its own last write. A later holder changes the version with its first write, which
// every holder does at once, so nothing that an earlier holder sends after that can take effect.
class FencedWrites {
public:
    // The version to write on, or nothing if the object has to be read first in this term.
    std::optional<std::uint64_t> ifVersion(std::uint64_t term) const;
    void recordRead(std::uint64_t term, std::uint64_t version);
    // The end of a write. After a conflict the object is read again, but only if the lease is still held.
    void recordWrite(std::uint64_t term, const WriteResult& result);

private:
    std::optional<std::uint64_t> readTerm;
    std::uint64_t version = 0;
};

}
