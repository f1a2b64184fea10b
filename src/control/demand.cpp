#include "control/demand.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::control {

namespace {

    // Time constant: long enough to smooth single requests, short enough to follow a burst, such as many users who
    // start at the same time.
    constexpr double smoothingSeconds = 5;

    constexpr double meanWeight = 0.05; // weight of a new attempt in the exponentially weighted mean
    constexpr double tailStep = 0.05; // relative step of the quantile estimate
    constexpr double tailQuantile = 0.99;

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    core::Duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
    }

}

void DemandMeter::Rate::add(std::uint32_t count, core::TimePoint now)
{
    this->perSecond = this->value(now) + count / smoothingSeconds;
    this->at = now;
}

double DemandMeter::Rate::value(core::TimePoint now) const
{
    const double age = std::max(0.0, seconds(now - this->at));
    return this->perSecond * std::exp(-age / smoothingSeconds);
}

void DemandMeter::addArrivals(const std::string& className, std::uint32_t arrived, std::uint32_t rejected, core::TimePoint now)
{
    Meter& meter = this->meters[className];
    meter.arrived.add(arrived, now);
    meter.rejected.add(rejected, now);
}

void DemandMeter::addAttempt(const std::string& className, core::Duration slotTime)
{
    Meter& meter = this->meters[className];
    const double value = seconds(slotTime);
    meter.meanSlotSeconds = meter.meanSlotSeconds == 0 ? value : meter.meanSlotSeconds + meanWeight * (value - meter.meanSlotSeconds);
    // Stochastic approximation of the quantile: a larger value raises the estimate in proportion to the share of
    // values below the quantile, any other lowers it in proportion to the share above.
    if (meter.tailSlotSeconds == 0)
        meter.tailSlotSeconds = value;
    else if (value > meter.tailSlotSeconds)
        meter.tailSlotSeconds *= 1 + tailStep * tailQuantile;
    else
        meter.tailSlotSeconds *= 1 - tailStep * (1 - tailQuantile);
}

std::vector<LocalDemand> DemandMeter::demand(core::TimePoint now) const
{
    std::vector<LocalDemand> result;
    result.reserve(this->meters.size());
    for (const auto& [name, meter] : this->meters)
        result.push_back({ .className = name, .requestsPerSecond = meter.arrived.value(now), .meanSlotTime = fromSeconds(meter.meanSlotSeconds) });
    return result;
}

core::DomainDigest DemandMeter::loadDigest(const core::SteeringTable& table, core::TimePoint now) const
{
    core::DomainDigest digest;
    for (const auto& [name, meter] : this->meters) {
        digest.classes.push_back({
            .className = name,
            .demand = meter.arrived.value(now),
            .rejected = meter.rejected.value(now),
            .inFlight = static_cast<std::uint32_t>(std::lround(meter.arrived.value(now) * meter.meanSlotSeconds)),
            .meanTime = fromSeconds(meter.meanSlotSeconds),
            .tailLatency = fromSeconds(meter.tailSlotSeconds),
        });
    }
    for (const core::ServerEntry& server : table.servers) {
        const std::string& region = table.at(server.region).name;
        const auto found = std::ranges::find_if(digest.capacities, [&](const auto& entry) { return entry.service == server.service && entry.region == region; });
        core::ServiceCapacity& capacity = found != digest.capacities.end() ? *found : digest.capacities.emplace_back(core::ServiceCapacity { .service = server.service, .region = region });
        if (server.state == core::ServerState::Active || server.state == core::ServerState::Warming)
            capacity.slots += static_cast<std::uint32_t>(std::lround(server.warmth * server.slots));
        capacity.busy += server.slotCounter ? server.slotCounter->inFlight() : 0;
    }
    return digest;
}

}
