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
    const double step = this->options.maxStepPerSecond * passed;
    const double kept = std::exp(-passed / seconds(this->options.window));
    service.total *= kept;
    for (double& count : service.counted)
        count *= kept;
    if (now >= service.suspendedUntil)
        this->moveReference(service, step);
    else if (service.total > 0)
        std::ranges::transform(service.counted, service.reference.begin(), [&](double count) { return count / service.total; });
}

// Moves the reference towards the preferred shares. All regions that gain together gain at most `maxStep`, so the sum of
// the shares stays 1: with less, no region would have room and the cheapest one would get the rest.
void RegionShareLimiter::moveReference(Service& service, double maxStep) const
{
    double gained = 0;
    for (std::size_t i = 0; i < service.reference.size(); ++i)
        gained += std::max(0.0, service.preferred[i] - service.reference[i]);
    service.isSettled |= gained <= this->options.settledGap && service.updatedAt - service.startedAt >= this->options.startPeriod;
    const double factor = gained > maxStep ? maxStep / gained : 1;
    for (std::size_t i = 0; i < service.reference.size(); ++i)
        service.reference[i] += factor * (service.preferred[i] - service.reference[i]);
}

void RegionShareLimiter::recordPreference(std::uint64_t serviceKey, core::RegionIndex region, const std::vector<double>& initial, core::TimePoint now)
{
    const auto [entry, added] = this->services.try_emplace(serviceKey);
    Service& service = entry->second;
    if (added || service.reference.size() != initial.size())
        service = { .reference = initial, .preferred = initial, .credit = std::vector<double>(initial.size(), 0), .counted = std::vector<double>(initial.size(), 0), .total = 0, .updatedAt = now, .startedAt = now };
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
    if (found == this->services.end() || now < found->second.suspendedUntil)
        return nullptr;
    return found->second.isSettled && this->usesCredit(found->second) ? nullptr : &found->second;
}

bool RegionShareLimiter::allows(std::uint64_t serviceKey, core::RegionIndex region, core::TimePoint now) const
{
    const Service* service = this->findLimiting(serviceKey, now);
    if (!service)
        return true;
    if (this->usesCredit(*service))
        return 1 - service->reference[region.value] - service->credit[region.value] <= this->options.maxDebt;
    return (service->counted[region.value] + 1) / (service->total + 1) <= service->reference[region.value] + this->options.tolerance;
}

std::optional<core::RegionIndex> RegionShareLimiter::regionBehindShare(std::uint64_t serviceKey, core::TimePoint now) const
{
    const Service* service = this->findLimiting(serviceKey, now);
    if (!service)
        return std::nullopt;
    std::optional<core::RegionIndex> furthest;
    const bool usesCredit = this->usesCredit(*service);
    double maxGap = usesCredit ? this->options.tolerance * service->total : this->options.tolerance;
    for (std::uint32_t i = 0; i < service->reference.size(); ++i) {
        const double gap = usesCredit ? service->credit[i] + service->reference[i] : service->reference[i] - service->counted[i] / service->total;
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
    Service& service = found->second;
    this->advance(service, now);
    service.counted[region.value] += 1;
    service.total += 1;
    const double kept = 1 - 1 / this->options.creditRequests;
    for (std::size_t i = 0; i < service.credit.size(); ++i)
        service.credit[i] = kept * (service.credit[i] + service.reference[i] - (i == region.value ? 1 : 0));
}

}
