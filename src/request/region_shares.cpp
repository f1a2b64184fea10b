#include "request/region_shares.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryshed::request {

namespace {

    constexpr double maxLead = 4; // requests by which a region with a limit can exceed its share
    constexpr double maxCountedRequests = 1000; // requests after which the counts are halved

    double limitOf(const core::ClassEntry& entry, std::uint32_t region)
    {
        return region < entry.maxInFlightByRegion.size() ? entry.maxInFlightByRegion[region] : std::numeric_limits<double>::infinity();
    }

}

std::vector<core::RegionIndex> RegionShares::eligibleRegions(const core::SteeringTable& table, const core::ClassEntry& entry, std::uint64_t classKey)
{
    const Counts& counts = this->countsFor(entry, classKey);
    std::vector<std::pair<double, core::RegionIndex>> regionsByLead;
    for (std::uint32_t i = 0; i < entry.regionShares.size(); ++i) {
        const double lead = counts.sent[i] + 1 - entry.regionShares[i] * (counts.total + 1);
        const double limit = limitOf(entry, i);
        const core::RegionIndex region { i };
        if (std::isinf(limit)) {
            if (entry.regionShares[i] > 0 || !entry.maxInFlightByRegion.empty())
                regionsByLead.emplace_back(lead, region);
            continue;
        }
        if (entry.regionShares[i] > 0 && lead <= maxLead && this->runningIn(table, classKey, region) + 1 <= limit / this->threads)
            regionsByLead.emplace_back(lead, region);
    }
    std::ranges::sort(regionsByLead);
    std::vector<core::RegionIndex> regions;
    regions.reserve(regionsByLead.size());
    for (const auto& [lead, region] : regionsByLead)
        regions.push_back(region);
    return regions;
}

void RegionShares::recordStart(const core::SteeringTable& table, const core::ClassEntry& entry, std::uint64_t classKey, core::ServerIndex index)
{
    const core::ServerEntry& server = table.at(index);
    Counts& counts = this->countsFor(entry, classKey);
    counts.sent[server.region.value] += 1;
    counts.total += 1;
    if (counts.total >= maxCountedRequests) {
        for (double& sent : counts.sent)
            sent /= 2;
        counts.total /= 2;
    }
    if (entry.maxInFlightByRegion.empty())
        return;
    const std::uint64_t regionKey = core::hashCombine(classKey, core::hashBytes(table.at(server.region).name));
    ++this->runningByRegion[regionKey];
    RunningAtServer& atServer = this->runningAtServers[core::hashCombine(classKey, server.key)];
    atServer.regionKey = regionKey;
    ++atServer.running;
}

void RegionShares::recordEnd(std::uint64_t classKey, std::uint64_t serverKey)
{
    if (this->runningAtServers.empty())
        return;
    const auto found = this->runningAtServers.find(core::hashCombine(classKey, serverKey));
    if (found == this->runningAtServers.end())
        return;
    --this->runningByRegion[found->second.regionKey];
    if (--found->second.running == 0)
        this->runningAtServers.erase(found);
}

// Returns the counts of the class. New shares reset the counts, so deviations from the old shares are not compensated.
RegionShares::Counts& RegionShares::countsFor(const core::ClassEntry& entry, std::uint64_t classKey)
{
    Counts& counts = this->classes[classKey];
    if (counts.shares != entry.regionShares)
        counts = { .shares = entry.regionShares, .sent = std::vector<double>(entry.regionShares.size()) };
    return counts;
}

std::uint32_t RegionShares::runningIn(const core::SteeringTable& table, std::uint64_t classKey, core::RegionIndex region) const
{
    const auto found = this->runningByRegion.find(core::hashCombine(classKey, core::hashBytes(table.at(region).name)));
    return found == this->runningByRegion.end() ? 0 : found->second;
}

}
