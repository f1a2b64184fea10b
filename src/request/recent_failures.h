#pragma once

#include "core/steering_table.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Servers that an attempt must not use, as indexes of one table.
struct Exclusions {
    std::vector<core::ServerIndex> servers;
    bool hasCandidates = true; // a server of the class that takes new work is not excluded
    std::optional<core::Duration> retryAfter; // the shortest hint, if all are excluded and one is for shedding load
};

// Recent failures of backend servers, as one traffic thread saw them. It bridges the time until control has
// judged them; ejections are in the steering table.
class RecentFailures {
public:
    struct Options {
        core::Duration failureMemory = std::chrono::seconds(5); // a failure is remembered this long without a success
        // A dead server refuses at once and so has free slots all the time. It is left out for this long after a
        // failure, doubled for each further one.
        core::Duration minPause = std::chrono::milliseconds(50);
        core::Duration maxPause = std::chrono::seconds(1);
        core::Duration defaultShedPause = std::chrono::milliseconds(50); // after a refusal without a hint
        core::Duration misdirectedPause = std::chrono::seconds(5); // the list of servers is behind; it names the new owner of the address soon
        core::Duration maxRetryAfter = std::chrono::seconds(2); // a longer hint may be a mistake of the server
    };

    explicit RecentFailures(Options memoryOptions)
        : options(memoryOptions)
    {
    }

    void record(std::uint64_t serverKey, core::AttemptResult, std::optional<core::Duration> retryAfter, core::TimePoint now);

    // The servers already tried for a request and those that asked for a pause; and, unless no other is left,
    // those that just failed and those of a failure domain that failed as a whole.
    Exclusions exclusions(const core::SteeringTable&, core::ClassIndex, std::span<const std::uint64_t> tried, core::TimePoint now) const;

    // Whether the server's last attempt failed a short while ago.
    bool isFailing(std::uint64_t serverKey, core::TimePoint now) const;

    // Whether exclusions() without tried servers would be empty.
    bool isEmpty() const { return this->states.empty(); }
    void forgetExpired(core::TimePoint now);

private:
    struct State {
        core::TimePoint failedUntil {}; // counts as failing
        core::TimePoint pausedUntil {}; // left out
        core::Duration pause {};
        core::TimePoint sheddingUntil {};
    };

    void onFailure(State&, core::TimePoint now) const;
    const State* find(std::uint64_t serverKey) const;
    std::vector<bool> failedDomains(const core::SteeringTable&, const core::ClassEntry&, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, State> states; // by ServerEntry::key; only servers with a failure
};

// Whether control lets a server get new work.
inline bool isActiveOrWarming(const core::ServerEntry& server)
{
    return server.state == core::ServerState::Active || server.state == core::ServerState::Warming;
}

}
