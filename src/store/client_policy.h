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

// The rules by which the client (client.h) calls the store: backoff, rate limit, circuit breaker, tracking of writes
// and of watches. They do no I/O and get the time as an argument, so they can be tested without a store.

struct BackoffOptions {
    core::Duration firstDelay = std::chrono::milliseconds(100);
    core::Duration maxDelay = std::chrono::seconds(30);
};

// Exponential backoff with jitter. The delay doubles with each failure up to `maxDelay`, and each is drawn at random
// between half of that value and all of it, so that processes that failed together do not retry together.
class Backoff {
public:
    explicit Backoff(BackoffOptions delays = {})
        : options(delays)
    {
    }

    // Counts a failure and returns the delay before the next attempt.
    core::Duration next(core::RandomEngine& random);
    void reset() { this->failures = 0; }

private:
    BackoffOptions options;
    unsigned failures = 0;
};

struct RateLimiterOptions {
    double callsPerSecond = 20;
    double burst = 40; // size of the token bucket, in calls
};

// Token bucket that limits the calls of this process to the store.
class RateLimiter {
public:
    explicit RateLimiter(RateLimiterOptions limits = {})
        : options(limits)
        , tokens(limits.burst)
    {
    }

    // Takes one token and returns when the call can be sent: `now` or later. The bucket can go into debt, so calls that
    // wait keep their order.
    core::TimePoint reserve(core::TimePoint now);

private:
    RateLimiterOptions options;
    double tokens;
    std::optional<core::TimePoint> lastRefill;
};

struct CircuitBreakerOptions {
    unsigned failuresToOpen = 5; // consecutive
    BackoffOptions probeBackoff = { .firstDelay = std::chrono::seconds(1), .maxDelay = std::chrono::seconds(30) };
};

// Stops calls while the store is down. After `failuresToOpen` consecutive failures it opens: it then admits only one
// call at a time as a probe, at growing intervals, until a probe succeeds.
class CircuitBreaker {
public:
    explicit CircuitBreaker(CircuitBreakerOptions limits = {})
        : options(limits)
        , probeBackoff(limits.probeBackoff)
    {
    }

    // Returns whether a call can be sent now. While the breaker is open, an admitted call is the probe. Each admitted
    // call must end with `recordSuccess`, `recordFailure` or `recordAbandoned`.
    bool tryAdmit(core::TimePoint now);
    // Returns what `tryAdmit` would return, without admitting a call.
    bool wouldAdmit(core::TimePoint now) const { return !this->openUntil || (!this->isProbing && now >= *this->openUntil); }
    void recordSuccess();
    void recordFailure(core::TimePoint now, core::RandomEngine& random);
    // Ends an admitted call whose outcome does not show whether the store is up, such as a cancelled call.
    void recordAbandoned() { this->isProbing = false; }

    bool isOpen() const { return this->openUntil.has_value(); }
    // The earliest time of the next probe, or nothing while the breaker is closed.
    std::optional<core::TimePoint> nextProbeTime() const { return this->openUntil; }

private:
    CircuitBreakerOptions options;
    Backoff probeBackoff;
    unsigned failures = 0; // consecutive
    bool isProbing = false;
    std::optional<core::TimePoint> openUntil;
};

// The outcome of one attempt to write an object.
enum class WriteAttemptOutcome : std::uint8_t {
    Written, // The store confirmed the write.
    Conflict, // The store rejected the write because it holds another version.
    NotApplied, // The store did not run the write: there was no connection, or the store refused the call.
    Unknown, // The response was lost, so the write may have taken effect.
};

// The next step of a write, or its final result.
enum class WriteStep : std::uint8_t {
    Send, // Send the same write, with the same write id and condition.
    ReadBack, // Read the object to find out which write it holds.
    Done, // The write took effect.
    Conflict, // The write did not take effect and never will: another write came first.
    Unclear, // The store holds another write's object, and this write may or may not have taken effect before it.
};

// Tracks one conditional write whose responses can get lost, and decides whether to send it again.
//
// Sending a write again is safe, since its condition holds at most once: if the first copy took effect, the second
// one conflicts with an object that carries the id of this very write.
class WriteTracker {
public:
    WriteTracker(WriteId ownWriteId, std::uint64_t expectedVersion)
        : writeId(std::move(ownWriteId))
        , ifVersion(expectedVersion)
    {
    }

    // Records an attempt and returns the next step. After a conflict, `current` is the object that the store holds, or
    // nothing if it holds none.
    WriteStep recordAttempt(WriteAttemptOutcome outcome, const std::optional<StoredObject>& current);
    // Records the object that was read back, or nothing if the store holds none, and returns the next step.
    WriteStep recordReadBack(const std::optional<StoredObject>& current);

    // Records that the store has come back from a copy since the write began. It assigns versions a second time, so the
    // write is not sent again on condition of one.
    void recordReturn() { this->storeHasReturned = true; }

    // Whether an earlier attempt may have taken effect. If so, a write that is given up ends with WriteUnclear instead
    // of StoreUnavailable.
    bool mayHaveTakenEffect() const { return this->hasUnknownOutcome; }

private:
    WriteStep resolveFailedCondition(const std::optional<StoredObject>& current) const;

    WriteId writeId;
    std::uint64_t ifVersion;
    bool hasUnknownOutcome = false; // of any attempt
    bool storeHasReturned = false;
};

// The highest version of each object that this process has seen. An older version never replaces it, so a store that
// comes back from an older copy can't revert an object.
class SeenVersions {
public:
    // Returns whether the object is newer than every version of it seen before, and records its version if so.
    bool acceptIfNewer(const core::Object& object);
    // Returns the highest version of the object, or nothing if it was never seen.
    std::optional<core::ObjectVersion> find(std::string_view kind, std::string_view name) const;

private:
    std::map<std::pair<std::string, std::string>, core::ObjectVersion, std::less<>> versions;
};

// The next call of a watch loop.
enum class CursorStep : std::uint8_t {
    List, // List all objects and pass the batch to `recordList`.
    Verify, // Watch from `fromVersion() - 1` without waiting and pass the batch to `recordVerification`.
    Watch, // Watch from `fromVersion()` and pass the batch to `recordWatch`.
};

// The store version that a watch loop has reached, from which it decides on the next call: a watch from that version,
// or a list if there is no such version yet or the store no longer holds the history since then.
//
// A store that has come back from an older copy assigns the versions after the copy a second time. Once it has passed
// the cursor's version, a watch from there looks valid, but skips the new changes up to that version. So a version of an
// earlier era is never watched from. In case the store does not state its era, the cursor also verifies, after an empty
// watch and after a failure, that the change at its version is still the one that it recorded.
class WatchCursor {
public:
    // `era`: the store's present one.
    CursorStep nextStep(std::uint64_t era) const;
    // The store version to watch from; 0 before the first list.
    std::uint64_t fromVersion() const { return this->reached ? this->reached->revision : 0; }
    void recordList(const ObjectBatch& batch) { this->advanceTo(batch); }
    void recordWatch(const ObjectBatch& batch);
    void recordVerification(const ObjectBatch& batch);
    // Records that the store no longer holds the changes since the requested version.
    void recordHistoryGone();
    // Records a failed call. The store may have been down and restored since.
    void recordFailure() { this->needsVerification = true; }

private:
    bool mustVerify() const { return this->needsVerification && this->fromVersion() > 0; }
    void advanceTo(const ObjectBatch& batch);

    std::optional<core::StorePosition> reached;
    std::optional<StoredObject> lastChange; // the change at `reached`, without its content, if it was seen
    bool needsVerification = false;
};

}
