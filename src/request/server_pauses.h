#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace cranberryshed::request {

// Pauses that backend servers have asked for (Retry-After). During a pause, this process sends the server no request.
// Afterwards the number of requests in flight there is limited, and the limit rises by one with each answer, because the
// requests that waited for the end of the pause would otherwise arrive all at once.
//
// Thread-safe: all traffic threads of a process share one object, because a pause applies to the whole VM.
class ServerPauses {
public:
    struct Options {
        core::Duration maxPause = std::chrono::minutes(1); // a longer one is probably an error of the server
        std::uint32_t initialLimit = 1; // requests in flight at a server whose pause has just ended
        std::uint32_t finalLimit = 8; // the limit is lifted once it exceeds this
        core::Duration retention = std::chrono::seconds(10); // the limit is lifted this long after a pause without requests
    };

    // The paused and full servers at one moment: until when they can't be used, by ServerEntry::key.
    using Remaining = std::unordered_map<std::uint64_t, core::Duration>;

    explicit ServerPauses(Options pauseOptions)
        : options(pauseOptions)
    {
    }

    // Starts or extends the pause of a server.
    void pause(std::uint64_t serverKey, core::Duration, core::TimePoint now);

    // Returns the servers that can't be used now, with the rest of their pause. The rest is zero for a server that has
    // as many requests in flight as its limit after the pause allows.
    Remaining remaining(core::TimePoint now) const;

    // Counts a request towards the limit after a pause. Each call needs a later call of recordEnd().
    void recordSent(std::uint64_t serverKey, core::TimePoint now);
    void recordEnd(std::uint64_t serverKey, core::TimePoint sentAt, core::AttemptResult);

    void forgetExpired(core::TimePoint now);

private:
    struct Entry {
        core::TimePoint until {};
        std::uint32_t limit = 0; // requests in flight after the pause
        std::uint32_t inFlight = 0; // of those sent after the pause
    };

    void updateIsEmpty() { this->isEmpty.store(this->entries.empty(), std::memory_order_release); }

    Options options;
    mutable std::mutex mutex;
    std::atomic<bool> isEmpty = true; // lets look-ups skip the mutex
    std::unordered_map<std::uint64_t, Entry> entries; // by ServerEntry::key
};

}
