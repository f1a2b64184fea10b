#include "request/outlier.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    constexpr double medianStep = 0.02; // relative change per sample
    constexpr std::uint32_t initialSamples = 20; // during which the median changes faster

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

void RunningMedian::add(core::Duration elapsed)
{
    const double value = std::max(seconds(elapsed), 1e-6);
    ++this->samples;
    if (this->samples == 1) {
        this->median = value;
        return;
    }
    const double step = this->samples < initialSamples ? 1.0 / this->samples : medianStep;
    this->median *= value > this->median ? 1 + step : 1 / (1 + step);
}

void OutlierDetector::setServers(const std::vector<std::uint64_t>& serverKeys)
{
    std::unordered_map<std::uint64_t, Server> kept;
    for (std::uint64_t key : serverKeys)
        kept.emplace(key, std::move(this->servers[key]));
    this->servers = std::move(kept);
}

void OutlierDetector::recordStart(const TrackedAttempt& attempt)
{
    const auto found = this->servers.find(attempt.serverKey);
    if (found == this->servers.end() || attempt.length != core::WorkLength::Short)
        return;
    const double medianTime = this->medianSeconds(attempt.classKey);
    Running running { .startedAt = attempt.startedAt, .suspectAt = core::TimePoint::max() };
    if (medianTime > 0)
        running.suspectAt = attempt.startedAt + core::Duration(static_cast<std::int64_t>(medianTime * this->options.suspectAgeToMedian * 1e6));
    Server& server = found->second;
    server.running.push_back(running);
    server.suspectAt = std::min(server.suspectAt, running.suspectAt);
}

void OutlierDetector::recordEnd(const TrackedAttempt& attempt, core::AttemptResult result, core::TimePoint now)
{
    const auto found = this->servers.find(attempt.serverKey);
    if (found == this->servers.end())
        return;
    Server& server = found->second;
    if (attempt.length == core::WorkLength::Short)
        this->removeRunning(server, attempt.startedAt);
    const std::uint32_t failures = this->failureCount(attempt, result, now);
    if (attempt.length == core::WorkLength::Short && result == core::AttemptResult::Answered && !server.probing)
        this->medians[attempt.classKey].add(std::chrono::duration_cast<core::Duration>(now - attempt.startedAt));
    if (failures > 0) {
        server.consecutiveFailures += failures;
        if (server.consecutiveFailures >= this->options.failureThreshold || server.probing)
            this->eject(server, now);
        return;
    }
    if (result != core::AttemptResult::Answered || attempt.startedAt < server.ejectedUntil)
        return;
    server.consecutiveFailures = 0;
    server.probing = false;
    server.ejections = 0;
}

OutlierState OutlierDetector::outlierState(std::uint64_t serverKey, core::TimePoint now) const
{
    const auto found = this->servers.find(serverKey);
    if (found == this->servers.end())
        return OutlierState::Usable;
    const Server& server = found->second;
    if (now < server.ejectedUntil)
        return OutlierState::Ejected;
    if (server.probing)
        return server.running.empty() ? OutlierState::Probing : OutlierState::Ejected;
    return now > server.suspectAt ? OutlierState::Suspect : OutlierState::Usable;
}

std::size_t OutlierDetector::ejectedCount(core::TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->servers, [&](const auto& item) { return now < item.second.ejectedUntil; }));
}

double OutlierDetector::medianSeconds(std::uint64_t classKey) const
{
    const auto found = this->medians.find(classKey);
    return found == this->medians.end() ? 0 : found->second.medianSeconds();
}

void OutlierDetector::removeRunning(Server& server, core::TimePoint startedAt)
{
    const auto found = std::ranges::find(server.running, startedAt, &Running::startedAt);
    if (found == server.running.end())
        return;
    server.running.erase(found);
    server.suspectAt = core::TimePoint::max();
    for (const Running& running : server.running)
        server.suspectAt = std::min(server.suspectAt, running.suspectAt);
}

void OutlierDetector::eject(Server& server, core::TimePoint now)
{
    server.consecutiveFailures = 0;
    const auto allowed = static_cast<std::size_t>(this->options.maxEjectedShare * static_cast<double>(this->servers.size()));
    if (now < server.ejectedUntil)
        return; // the attempt was already running when the server was ejected
    if (this->ejectedCount(now) >= allowed)
        return; // a server in the state Probing still gets only one request at a time
    const std::uint32_t doublings = std::min(server.ejections, 16U);
    server.ejectedUntil = now + std::min(this->options.baseEjectionTime * (1 << doublings), this->options.maxEjectionTime);
    server.probing = true;
    ++server.ejections;
    this->ejectedAt = now;
}

// Returns how many failures an attempt counts as. A connection that fails or breaks, or an attempt that takes twice the
// slow time, is enough to eject the server. A refusal does not count, because it only means that the server is busy.
std::uint32_t OutlierDetector::failureCount(const TrackedAttempt& attempt, core::AttemptResult result, core::TimePoint now) const
{
    switch (result) {
    case core::AttemptResult::ConnectFailed:
    case core::AttemptResult::Broken:
        return this->options.failureThreshold;
    case core::AttemptResult::TimedOut:
        return 1;
    case core::AttemptResult::Refused:
        return 0;
    case core::AttemptResult::Answered:
    case core::AttemptResult::Cancelled:
    case core::AttemptResult::Misdirected:
        break;
    }
    if (attempt.length != core::WorkLength::Short)
        return 0;
    const double medianTime = this->medianSeconds(attempt.classKey);
    const double ratio = medianTime > 0 ? seconds(std::chrono::duration_cast<core::Duration>(now - attempt.startedAt)) / medianTime : 0;
    if (ratio >= 2 * this->options.slowTimeToMedian)
        return this->options.failureThreshold;
    return ratio >= this->options.slowTimeToMedian ? 1 : 0;
}

}
