#include "request/region_share_limiter.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::request {

namespace {

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

void RegionShareLimiter::advance(Service& service, core::TimePoint now) const
{
    const double passed = std::clamp(seconds(now - service.updatedAt), 0.0, seconds(this->options.window));
    service.updatedAt = now;
    const double kept = std::exp(-passed / seconds(this->options.window));
    const double step = this->options.maxStepPerSecond * passed;
    service.total *= kept;
    const bool isSuspended = now < service.suspendedUntil;
    for (std::size_t i = 0; i < service.reference.size(); ++i) {
        service.counted[i] *= kept;
        if (isSuspended && service.total > 0)
            service.reference[i] = service.counted[i] / service.total;
        else
            service.reference[i] += std::clamp(service.preferred[i] - service.reference[i], -step, step);
    }
}

void RegionShareLimiter::recordPreference(std::uint64_t serviceKey, core::RegionIndex region, const std::vector<double>& initial, core::TimePoint now)
{
    const auto [entry, added] = this->services.try_emplace(serviceKey);
    Service& service = entry->second;
    if (added || service.reference.size() != initial.size())
        service = { .reference = initial, .preferred = initial, .counted = std::vector<double>(initial.size(), 0), .total = 0, .updatedAt = now };
    this->advance(service, now);
    // Weight of one request, so that the average covers the requests within preferenceAveragingTime.
    const double rate = std::max(1.0, service.total / seconds(this->options.window));
    const double weight = std::min(1.0, 1 / (rate * seconds(this->options.preferenceAveragingTime)));
    for (std::size_t i = 0; i < service.preferred.size(); ++i)
        service.preferred[i] += weight * ((i == region.value ? 1.0 : 0.0) - service.preferred[i]);
}

void RegionShareLimiter::suspend(std::uint64_t serviceKey, core::TimePoint now)
{
    if (const auto found = this->services.find(serviceKey); found != this->services.end())
        found->second.suspendedUntil = now + this->options.suspension;
}

const RegionShareLimiter::Service* RegionShareLimiter::findLimiting(std::uint64_t serviceKey, core::TimePoint now) const
{
    const auto found = this->services.find(serviceKey);
    const bool isLimiting = found != this->services.end() && found->second.total >= this->options.minRequests && now >= found->second.suspendedUntil;
    return isLimiting ? &found->second : nullptr;
}

bool RegionShareLimiter::allows(std::uint64_t serviceKey, core::RegionIndex region, core::TimePoint now) const
{
    const Service* service = this->findLimiting(serviceKey, now);
    if (!service)
        return true;
    return (service->counted[region.value] + 1) / (service->total + 1) <= service->reference[region.value] + this->options.tolerance;
}

std::optional<core::RegionIndex> RegionShareLimiter::regionBehindShare(std::uint64_t serviceKey, core::TimePoint now) const
{
    const Service* service = this->findLimiting(serviceKey, now);
    if (!service)
        return std::nullopt;
    std::optional<core::RegionIndex> furthest;
    double maxGap = this->options.tolerance;
    for (std::uint32_t i = 0; i < service->reference.size(); ++i) {
        const double gap = service->reference[i] - service->counted[i] / service->total;
        if (gap <= maxGap)
            continue;
        maxGap = gap;
        furthest = core::RegionIndex { i };
    }
    return furthest;
}

void RegionShareLimiter::recordSent(std::uint64_t serviceKey, core::RegionIndex region, core::TimePoint now)
{
    const auto found = this->services.find(serviceKey);
    if (found == this->services.end())
        return;
    this->advance(found->second, now);
    found->second.counted[region.value] += 1;
    found->second.total += 1;
}

}
