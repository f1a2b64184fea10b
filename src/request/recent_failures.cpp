#include "request/recent_failures.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    // A failure domain has failed as a whole if at least half of its servers are failing, and at least this number.
    constexpr std::uint32_t minDomainFailures = 2;

}

void RecentFailures::record(std::uint64_t serverKey, core::AttemptResult result, core::TimePoint now)
{
    switch (result) {
    case core::AttemptResult::Answered:
        if (!this->states.empty())
            this->states.erase(serverKey);
        break;
    case core::AttemptResult::Refused:
        this->states[serverKey].refusingUntil = now + this->options.refusalPause;
        break;
    case core::AttemptResult::Misdirected:
        this->states[serverKey].refusingUntil = now + this->options.misdirectedPause;
        break;
    case core::AttemptResult::ConnectFailed:
    case core::AttemptResult::Broken:
        this->onFailure(this->states[serverKey], now);
        break;
    case core::AttemptResult::TimedOut:
    case core::AttemptResult::Cancelled:
        break;
    }
}

// Failures during a pause do not extend it: these requests were sent before the pause began.
void RecentFailures::onFailure(State& state, core::TimePoint now) const
{
    state.failedUntil = now + this->options.failureMemory;
    if (now < state.pausedUntil)
        return;
    state.pause = std::clamp(2 * state.pause, this->options.minPause, this->options.maxPause);
    state.pausedUntil = now + state.pause;
}

// The rest of a server's pause, whether after a refusal or because the server asked for it; nothing if it has none.
std::optional<core::Duration> RecentFailures::remainingPause(const State* state, const ServerPauses::Remaining& paused, std::uint64_t serverKey, core::TimePoint now)
{
    std::optional<core::Duration> rest;
    if (state && state->refusingUntil > now)
        rest = state->refusingUntil - now;
    if (const auto found = paused.find(serverKey); found != paused.end())
        rest = std::max(rest.value_or(core::Duration::zero()), found->second);
    return rest;
}

Exclusions RecentFailures::exclusions(const core::SteeringTable& table, core::ClassIndex classIndex, std::span<const std::uint64_t> tried, const ServerPauses::Remaining& paused, core::TimePoint now) const
{
    const core::ClassEntry& entry = table.at(classIndex);
    const std::vector<bool> failed = this->failedDomains(table, entry, now);
    Exclusions result;
    std::vector<core::ServerIndex> fallback;
    std::size_t candidates = 0;
    for (core::ServerIndex index : entry.servers) {
        const core::ServerEntry& server = table.at(index);
        const State* state = this->find(server.key);
        const std::optional<core::Duration> pause = remainingPause(state, paused, server.key, now);
        if (std::ranges::find(tried, server.key) != tried.end() || pause)
            result.servers.push_back(index);
        else if (failed[server.domain.value] || (state && state->pausedUntil > now))
            fallback.push_back(index);
        else if (isActiveOrWarming(server))
            ++candidates;
        if (pause && isActiveOrWarming(server))
            result.retryAfter = std::min(result.retryAfter.value_or(core::Duration::max()), *pause);
    }
    if (candidates > 0)
        result.servers.insert(result.servers.end(), fallback.begin(), fallback.end());
    result.hasCandidates = candidates > 0 || std::ranges::any_of(fallback, [&](core::ServerIndex index) { return isActiveOrWarming(table.at(index)); });
    return result;
}

void RecentFailures::forgetExpired(core::TimePoint now)
{
    std::erase_if(this->states, [&](const auto& item) { return std::max(item.second.failedUntil, item.second.refusingUntil) <= now; });
}

bool RecentFailures::isFailing(std::uint64_t serverKey, core::TimePoint now) const
{
    const State* state = this->find(serverKey);
    return state && state->failedUntil > now;
}

const RecentFailures::State* RecentFailures::find(std::uint64_t serverKey) const
{
    const auto found = this->states.find(serverKey);
    return found == this->states.end() ? nullptr : &found->second;
}

std::vector<bool> RecentFailures::failedDomains(const core::SteeringTable& table, const core::ClassEntry& entry, core::TimePoint now) const
{
    std::size_t domains = 0;
    for (core::ServerIndex index : entry.servers)
        domains = std::max<std::size_t>(domains, table.at(index).domain.value + 1);
    std::vector<std::uint32_t> servers(domains);
    std::vector<std::uint32_t> failures(domains);
    for (core::ServerIndex index : entry.servers) {
        const core::ServerEntry& server = table.at(index);
        const State* state = this->find(server.key);
        ++servers[server.domain.value];
        if (state && state->failedUntil > now)
            ++failures[server.domain.value];
    }
    std::vector<bool> failed(domains);
    for (std::size_t i = 0; i < failed.size(); ++i)
        failed[i] = failures[i] >= minDomainFailures && 2 * failures[i] >= servers[i];
    return failed;
}

}
