#pragma once

#include "core/table.h"

#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Keeps the requests of each class at the regions' shares that the steering table states.
//
// Counts requests per region and prefers the region that is furthest behind its share. A region may run ahead
// of its share by a few requests only, so a full region does not push its work past another region's headroom:
// that work waits until control changes the shares.
class RegionShares {
public:
    // The regions that may get the next request of this class, in order of preference.
    // Empty shares allow all regions.
    std::vector<core::RegionIndex> order(std::uint64_t classKey, const std::vector<double>& shares);

    void count(std::uint64_t classKey, core::RegionIndex, const std::vector<double>& shares);

private:
    struct Counts {
        std::vector<double> shares; // that the counts belong to
        std::vector<double> sent;
        double total = 0;
    };

    Counts& countsFor(std::uint64_t classKey, const std::vector<double>& shares);

    std::unordered_map<std::uint64_t, Counts> classes;
};

}
