#include "request/region_shares.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryshed::request {

namespace {

    constexpr double largestLead = 4; // requests that a limited region may run ahead of its share
    constexpr double memory = 1000; // requests after which the counts are halved

    double limitOf(const core::ClassEntry& entry, std::uint32_t region)
    {
        return region < entry.maxInFlightByRegion.size() ? entry.maxInFlightByRegion[region] : std::numeric_limits<double>::infinity();
    }

}

std::vector<core::RegionIndex> RegionShares::order(const core::SteeringTable& table, const core::ClassEntry& entry, std::uint64_t classKey)
{
    const Counts& counts = this->countsFor(entry, classKey);
    std::vector<std::pair<double, core::RegionIndex>> ranked;
    for (std::uint32_t i = 0; i < entry.regionShares.size(); ++i) {
        const double lead = counts.sent[i] + 1 - entry.regionShares[i] * (counts.total + 1);
        const double limit = limitOf(entry, i);
        const core::RegionIndex region { i };
        if (std::isinf(limit)) {
            if (entry.regionShares[i] > 0 || !entry.maxInFlightByRegion.empty())
                ranked.emplace_back(lead, region);
            continue;
        }
        if (entry.regionShares[i] > 0 && lead <= largestLead && this->runningIn(table, classKey, region) + 1 <= limit / this->threads)
            ranked.emplace_back(lead, region);
    }
    std::ranges::sort(ranked);
    std::vector<core::RegionIndex> regions;
    regions.reserve(ranked.size());
    for (const auto& [lead, region] : ranked)
        regions.push_back(region);
    return regions;
}

void RegionShares::recordStart(const core::SteeringTable& table, const core::ClassEntry& entry, std::uint64_t classKey, core::ServerIndex index)
{
    const core::ServerEntry& server = table.at(index);
    Counts& counts = this->countsFor(entry, classKey);
    counts.sent[server.region.value] += 1;
    counts.total += 1;
    if (counts.total >= memory) {
        for (double& sent : counts.sent)
            sent /= 2;
        counts.total /= 2;
    }
    if (entry.maxInFlightByRegion.empty())
        return;
    const std::uint64_t regionKey = core::hashCombine(classKey, core::hashBytes(table.at(server.region).name));
    ++this->running[regionKey];
    Placed& place = this->placed[core::hashCombine(classKey, server.key)];
    place.regionKey = regionKey;
    ++place.running;
}

void RegionShares::recordEnd(std::uint64_t classKey, std::uint64_t serverKey)
{
    if (this->placed.empty())
        return;
    const auto found = this->placed.find(core::hashCombine(classKey, serverKey));
    if (found == this->placed.end())
        return;
    --this->running[found->second.regionKey];
    if (--found->second.running == 0)
        this->placed.erase(found);
}

// New shares start new counts: what was sent under the old ones must not be made up for.
RegionShares::Counts& RegionShares::countsFor(const core::ClassEntry& entry, std::uint64_t classKey)
{
    Counts& counts = this->classes[classKey];
    if (counts.shares != entry.regionShares)
        counts = { .shares = entry.regionShares, .sent = std::vector<double>(entry.regionShares.size()) };
    return counts;
}

std::uint32_t RegionShares::runningIn(const core::SteeringTable& table, std::uint64_t classKey, core::RegionIndex region) const
{
    const auto found = this->running.find(core::hashCombine(classKey, core::hashBytes(table.at(region).name)));
    return found == this->running.end() ? 0 : found->second;
}

}
