#pragma once

#include "core/object.h"
#include "core/types.h"
#include "store/stored_object.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cranberryshed::store {

// Rules for calls to the store as pure logic. The client (client.h) asks them; they do no I/O.

struct BackoffOptions {
    core::Duration firstDelay = std::chrono::milliseconds(100);
    core::Duration maxDelay = std::chrono::seconds(30);
};

// Exponentially growing delays. Each is drawn between half and all of the step, so that processes that failed
// together do not come back together.
class Backoff {
public:
    explicit Backoff(BackoffOptions delays = {})
        : options(delays)
    {
    }

    core::Duration next(core::RandomEngine& random);
    void reset() { this->failures = 0; }

private:
    BackoffOptions options;
    unsigned failures = 0;
};

struct RateLimiterOptions {
    double callsPerSecond = 20; // calls of this process
    double burst = 40;
};

// Limits the calls of one process (token bucket).
class RateLimiter {
public:
    explicit RateLimiter(RateLimiterOptions limits = {})
        : options(limits)
        , tokens(limits.burst)
    {
    }

    // Takes one call and returns when it may be sent: `now` or later. Calls that wait keep their order.
    core::TimePoint reserve(core::TimePoint now);

private:
    RateLimiterOptions options;
    double tokens;
    std::optional<core::TimePoint> filledAt;
};

struct CircuitBreakerOptions {
    unsigned failuresToOpen = 5; // in a row
    BackoffOptions probeBackoff = { .firstDelay = std::chrono::seconds(1), .maxDelay = std::chrono::seconds(30) };
};

// Stops calls while the store is down: after some failures in a row, it allows only one probe at a time, at
// growing intervals, until one succeeds.
class CircuitBreaker {
public:
    explicit CircuitBreaker(CircuitBreakerOptions limits = {})
        : options(limits)
        , probeBackoff(limits.probeBackoff)
    {
    }

    // Whether a call may be sent now. While open, `true` makes the caller the probe.
    bool tryAdmit(core::TimePoint now);
    // The same without becoming the probe.
    bool wouldAdmit(core::TimePoint now) const { return !this->openUntil || (!this->probing && now >= *this->openUntil); }
    void recordSuccess();
    void recordFailure(core::TimePoint now, core::RandomEngine& random);
    // Ends a call that was allowed but says nothing about the store, such as one that was cancelled.
    void recordAbandoned() { this->probing = false; }

    bool isOpen() const { return this->openUntil.has_value(); }
    std::optional<core::TimePoint> nextProbeTime() const { return this->openUntil; }

private:
    CircuitBreakerOptions options;
    Backoff probeBackoff;
    unsigned failures = 0;
    bool probing = false;
    std::optional<core::TimePoint> openUntil;
};

// What became of one attempt to write.
enum class WriteAttemptOutcome : std::uint8_t {
    Written, // The store said so.
    Conflict, // The store holds another version.
    NotApplied, // The store cannot have run it: no connection, or it refused.
    Unknown, // The answer was lost, so the write may have taken effect.
};

enum class WriteStep : std::uint8_t {
    Send, // Send the same write, with the same mark and condition.
    ReadBack, // Read the object to find out whose write it holds.
    Done, // The write took effect.
    Conflict, // The write did not take effect and never will: another one came first.
    Unclear, // Another writer's object is there, and ours may or may not have been before it.
};

// Follows one conditional write through lost answers.
//
// Sending a write again is safe, since its condition holds at most once: if the first copy took effect, the
// second one conflicts with an object that carries this write's own mark.
class WriteTracker {
public:
    WriteTracker(WriteId ownWriteId, std::uint64_t expectedVersion)
        : writeId(std::move(ownWriteId))
        , ifVersion(expectedVersion)
    {
    }

    // Judges an attempt. `current` is the store's object on a conflict; nothing if it has none.
    WriteStep recordAttempt(WriteAttemptOutcome outcome, const std::optional<StoredObject>& current);
    // Judges the object that was read back; nothing if the store has none.
    WriteStep recordReadBack(const std::optional<StoredObject>& current);

    // Whether an earlier attempt may have taken effect. Decides which error a given-up write ends with.
    bool mayHaveTakenEffect() const { return this->unknown; }

private:
    WriteStep resolveFailedCondition(const std::optional<StoredObject>& current) const;

    WriteId writeId;
    std::uint64_t ifVersion;
    bool unknown = false;
};

// The highest version of each object that this process has seen. An older one never replaces it, so that a store
// restored from an old copy has no effect.
class SeenVersions {
public:
    // Returns whether the object is new, and remembers it if so.
    bool acceptIfNewer(const core::Object& object);
    std::optional<core::ObjectVersion> find(std::string_view kind, std::string_view name) const;

private:
    std::map<std::pair<std::string, std::string>, core::ObjectVersion, std::less<>> versions;
};

enum class CursorStep : std::uint8_t {
    List, // List all objects and pass the batch to `recordList`.
    Verify, // Watch from `fromVersion()` - 1 without waiting and pass the batch to `recordVerification`.
    Watch, // Watch from `fromVersion()` and pass the batch to `recordWatch`.
};

// Decides how a watcher continues: from the version it has reached, or from a list if it has none or if the history
// since then is gone.
//
// A store that was restored from an old copy counts its versions up again. Once it has passed the watcher's version,
// a watch from there looks valid, but the changes before it were never seen. So after an empty watch and after a
// failure, the watcher verifies that the change at its version is still the one that it knows.
class WatchCursor {
public:
    CursorStep nextStep() const;
    std::uint64_t fromVersion() const { return this->reachedVersion.value_or(0); }
    void recordList(const ObjectBatch& batch) { this->advanceTo(batch); }
    void recordWatch(const ObjectBatch& batch);
    void recordVerification(const ObjectBatch& batch);
    // The store no longer holds the history that was asked for.
    void recordHistoryGone();
    // A call failed, so the store may have been down and restored.
    void recordFailure() { this->needsVerification = true; }

private:
    void advanceTo(const ObjectBatch& batch);

    std::optional<std::uint64_t> reachedVersion;
    std::optional<StoredObject> lastChange; // the one at that version without its content, if known
    bool needsVerification = false;
};

}
