#include "request/server_estimate.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::request {

namespace {

    // Share of a deviation from the mean that remains after this time (exponential decay).
    double remainingShare(core::Duration age, core::Duration decayTime)
    {
        return std::exp(-std::max(0.0, static_cast<double>(age.count()) / static_cast<double>(decayTime.count())));
    }

}

void RecentObjects::add(std::uint64_t object)
{
    if (const auto found = this->positions.find(object); found != this->positions.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->order.push_front(object);
    this->positions.emplace(object, this->order.begin());
    if (this->order.size() <= this->maxObjects)
        return;
    this->positions.erase(this->order.back());
    this->order.pop_back();
}

void ServerEstimate::recordStart(std::uint64_t object, core::TimePoint now)
{
    if (object != 0)
        this->recent.add(object);
    this->runningSince.push_back(now);
    // The connection pool reuses the most recently used connection.
    if (!this->idleSince.empty())
        this->idleSince.pop_back();
}

void ServerEstimate::recordReport(const LoadSample& sample, std::uint32_t localInFlight, core::TimePoint now)
{
    const double all = sample.running + sample.waiting;
    this->lastPeerRequests = std::max(0.0, all - localInFlight);
    this->meanPeerRequests += this->options.meanSampleWeight * (this->lastPeerRequests - this->meanPeerRequests);
    this->lastSlowdown = sample.slowdown;
    this->lastReport = now;
}

void ServerEstimate::recordRelativeTime(double ratio, core::TimePoint now)
{
    const double previous = 1 + (this->slowness - 1) * remainingShare(now - this->slownessAt, this->options.slownessDecayTime);
    this->slowness = previous + this->options.slownessSampleWeight * (std::min(ratio, this->options.maxSlownessSample) - previous);
    this->slownessAt = now;
}

void ServerEstimate::recordEnd(core::TimePoint startedAt, bool reusable, core::TimePoint now)
{
    while (!this->idleSince.empty() && now - this->idleSince.front() >= this->options.connectionIdleTimeout)
        this->idleSince.pop_front();
    if (reusable)
        this->idleSince.push_back(now);
    const auto found = std::ranges::find(this->runningSince, startedAt);
    if (found != this->runningSince.end())
        this->runningSince.erase(found);
}

double ServerEstimate::peerRequests(core::TimePoint now) const
{
    if (!this->lastReport)
        return 0;
    return this->meanPeerRequests + (this->lastPeerRequests - this->meanPeerRequests) * remainingShare(now - *this->lastReport, this->options.loadDecayTime);
}

double ServerEstimate::slowdown(core::TimePoint now) const
{
    double slowdown = 1 + std::max(0.0, this->slowness - this->options.maxNormalSlowness) * remainingShare(now - this->slownessAt, this->options.slownessDecayTime);
    if (this->lastReport)
        slowdown = std::max(slowdown, 1 + (this->lastSlowdown - 1) * remainingShare(now - *this->lastReport, this->options.slowdownDecayTime));
    return slowdown;
}

std::optional<core::TimePoint> ServerEstimate::unansweredSince() const
{
    if (this->runningSince.size() < 2)
        return std::nullopt;
    const core::TimePoint second = *std::next(this->runningSince.begin());
    if (this->lastReport && *this->lastReport > second)
        return std::nullopt;
    return second;
}

}
