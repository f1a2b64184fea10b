#pragma once

#include "core/steering_table.h"
#include "request/server_pauses.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Backend servers that an attempt must not use, as indexes of one steering table.
struct Exclusions {
    std::vector<core::ServerIndex> servers;
    bool hasCandidates = true; // at least one active or warming server of the class is not excluded
    std::optional<core::Duration> retryAfter; // shortest remaining pause of the servers that refused requests or asked for a pause
};

// Recent failures of backend servers, as observed by one traffic thread. Covers the time until control has ejected a
// failed server, which then shows in the steering table.
class RecentFailures {
public:
    struct Options {
        core::Duration failureMemory = std::chrono::seconds(5); // how long a server counts as failing without a success
        // A dead server refuses connections at once, so it always has free slots and would attract requests. Therefore
        // a server is excluded for this time after a failure, doubled for each further one.
        core::Duration minPause = std::chrono::milliseconds(50);
        core::Duration maxPause = std::chrono::seconds(1);
        core::Duration refusalPause = std::chrono::milliseconds(50); // after a refusal
        // The server list is outdated; the new owner of the address will appear in it soon.
        core::Duration misdirectedPause = std::chrono::seconds(5);
    };

    explicit RecentFailures(Options failureOptions)
        : options(failureOptions)
    {
    }

    void record(std::uint64_t serverKey, core::AttemptResult, core::TimePoint now);

    // Returns the servers that were already tried for a request, those that pause after a refusal and those in `paused`.
    // Also excludes servers that just failed and those of a failure domain that failed as a whole, unless no other
    // server remains.
    Exclusions exclusions(const core::SteeringTable&, core::ClassIndex, std::span<const std::uint64_t> tried, const ServerPauses::Remaining& paused, core::TimePoint now) const;

    // Whether the server had a failure within failureMemory and no success since.
    bool isFailing(std::uint64_t serverKey, core::TimePoint now) const;

    // Whether there is no recent failure or refusal, so that only tried servers need to be excluded.
    bool isEmpty() const { return this->states.empty(); }
    void forgetExpired(core::TimePoint now);

private:
    struct State {
        core::TimePoint failedUntil {}; // until then the server counts as failing
        core::TimePoint pausedUntil {}; // until then the server is excluded, unless no other remains
        core::Duration pause {};
        core::TimePoint refusingUntil {};
    };

    static std::optional<core::Duration> remainingPause(const State*, const ServerPauses::Remaining&, std::uint64_t serverKey, core::TimePoint now);
    void onFailure(State&, core::TimePoint now) const;
    const State* find(std::uint64_t serverKey) const;
    std::vector<bool> failedDomains(const core::SteeringTable&, const core::ClassEntry&, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, State> states; // by ServerEntry::key; only servers with a failure or refusal
};

// Whether control allows new requests to a server.
inline bool isActiveOrWarming(const core::ServerEntry& server)
{
    return server.state == core::ServerState::Active || server.state == core::ServerState::Warming;
}

}
