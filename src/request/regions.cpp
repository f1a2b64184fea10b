#include "request/regions.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    constexpr double largestLead = 4; // requests that a region may run ahead of its share
    constexpr double memory = 1000; // requests after which the counts are halved

}

std::vector<core::RegionIndex> RegionShares::order(std::uint64_t classKey, const std::vector<double>& shares)
{
    const Counts& counts = this->countsFor(classKey, shares);
    std::vector<std::pair<double, core::RegionIndex>> ranked;
    for (std::uint32_t i = 0; i < shares.size(); ++i) {
        const double lead = counts.sent[i] + 1 - shares[i] * (counts.total + 1);
        if (shares[i] > 0 && lead <= largestLead)
            ranked.emplace_back(lead, core::RegionIndex { i });
    }
    std::ranges::sort(ranked);
    std::vector<core::RegionIndex> regions;
    for (const auto& [lead, region] : ranked)
        regions.push_back(region);
    return regions;
}

void RegionShares::count(std::uint64_t classKey, core::RegionIndex region, const std::vector<double>& shares)
{
    Counts& counts = this->countsFor(classKey, shares);
    counts.sent[region.value] += 1;
    counts.total += 1;
    if (counts.total < memory)
        return;
    for (double& sent : counts.sent)
        sent /= 2;
    counts.total /= 2;
}

RegionShares::Counts& RegionShares::countsFor(std::uint64_t classKey, const std::vector<double>& shares)
{
    Counts& counts = this->classes[classKey];
    if (counts.shares != shares)
        counts = { .shares = shares, .sent = std::vector<double>(shares.size()) };
    return counts;
}

}
