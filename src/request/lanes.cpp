#include "request/lanes.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::request {

namespace {

    constexpr double minLongShare = 1.0 / 3;
    constexpr double maxLongShare = 2.0 / 3;
    // Share of the slots used by short requests up to which long classes get their maximum share, and the one from
    // which they get their minimum. Below the lower value, short requests find a slot beside long ones, so a smaller
    // long share would only delay long requests.
    constexpr double lowShortUtilization = 0.45;
    constexpr double highShortUtilization = 0.6;

}

void LaneDemand::add(core::WorkLength length, core::Duration slotTime, core::TimePoint now)
{
    if (now > this->updatedAt) {
        const double decay = std::exp(-std::chrono::duration<double>(now - this->updatedAt) / std::chrono::duration<double>(this->decayTime));
        this->shortSlotSeconds *= decay;
        this->longSlotSeconds *= decay;
        this->updatedAt = now;
    }
    (length == core::WorkLength::Long ? this->longSlotSeconds : this->shortSlotSeconds) += std::chrono::duration<double>(slotTime).count();
}

double LaneDemand::slots(core::WorkLength length, core::TimePoint now) const
{
    const double decaySeconds = std::chrono::duration<double>(this->decayTime).count();
    const double age = std::max(0.0, std::chrono::duration<double>(now - this->updatedAt).count());
    return (length == core::WorkLength::Long ? this->longSlotSeconds : this->shortSlotSeconds) * std::exp(-age / decaySeconds) / decaySeconds;
}

std::uint32_t LaneLimits::maxSlots(const core::ServerEntry& server, core::WorkLength length) const
{
    const std::uint32_t usable = usableSlots(server);
    if (length == core::WorkLength::Short)
        return usable;
    const double fractionalSlots = this->longShare * server.slots;
    const double wholeSlots = std::floor(fractionalSlots + 1e-9);
    // The fraction is spread over the servers: a share of the servers equal to the fraction allows one more slot.
    const double draw = static_cast<double>(server.key >> 11) * 0x1.0p-53;
    const auto allowed = static_cast<std::uint32_t>(wholeSlots + (fractionalSlots - wholeSlots > draw + 1e-9 ? 1 : 0));
    const std::uint32_t maxAllowed = server.slots > 1 ? server.slots - 1 : 1;
    return std::min(usable, std::clamp(allowed, 1U, maxAllowed));
}

LaneLimits LaneLimits::forShortUtilization(double shortSlots, double allSlots)
{
    const double utilization = shortSlots / std::max(allSlots, 1.0);
    const double reduction = std::clamp((utilization - lowShortUtilization) / (highShortUtilization - lowShortUtilization), 0.0, 1.0);
    return { .longShare = maxLongShare - reduction * (maxLongShare - minLongShare) };
}

std::uint32_t usableSlots(const core::ServerEntry& server)
{
    if (server.warmth >= 1)
        return server.slots;
    return static_cast<std::uint32_t>(std::ceil(std::max(server.warmth, 0.0) * server.slots - 1e-9));
}

std::uint32_t maxLongConnections(std::uint32_t connectionLimit, std::size_t entryVms, double longShare)
{
    const double localConnections = connectionLimit / static_cast<double>(std::max<std::size_t>(entryVms, 1));
    return std::max(1U, static_cast<std::uint32_t>(localConnections * std::clamp(longShare, minLongShare, maxLongShare)));
}

LinkShare::Limits LinkShare::split(double shortDemandMbitPerSecond, double longDemandMbitPerSecond) const
{
    const double shortPart = std::min(std::max(shortDemandMbitPerSecond, 0.0), this->capacityMbitPerSecond);
    const double longLimit = std::min(this->capacityMbitPerSecond - shortPart, this->capacityMbitPerSecond * (1 - this->minShortShare));
    const double longShare = std::min(std::max(longDemandMbitPerSecond, 0.0), longLimit);
    return { .shortMbitPerSecond = this->capacityMbitPerSecond - longShare, .longMbitPerSecond = longShare };
}

double LinkShare::longTransferMbitPerSecond(double shortDemandMbitPerSecond, double longDemandMbitPerSecond, std::size_t transfers) const
{
    return this->split(shortDemandMbitPerSecond, longDemandMbitPerSecond).longMbitPerSecond / static_cast<double>(std::max<std::size_t>(transfers, 1));
}

}
