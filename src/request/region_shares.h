#pragma once

#include "core/steering_table.h"

#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Keeps the requests of each class at the regions' shares and under the regions' limits of the steering table.
//
// Prefers the region that is furthest behind its share. A limited region may run ahead of its share by a few
// requests only, so a full own region does not push its work past another region's headroom: that work waits
// until control changes the shares. Counts are of one traffic thread, which gets an equal part of each limit.
class RegionShares {
public:
    explicit RegionShares(std::uint32_t trafficThreads = 1)
        : threads(trafficThreads)
    {
    }

    // The regions that may get the next request of this class, in order of preference. Needs the class's shares.
    std::vector<core::RegionIndex> order(const core::SteeringTable&, const core::ClassEntry&, std::uint64_t classKey);

    void recordStart(const core::SteeringTable&, const core::ClassEntry&, std::uint64_t classKey, core::ServerIndex);
    void recordEnd(std::uint64_t classKey, std::uint64_t serverKey);

private:
    struct Counts {
        std::vector<double> shares; // that the counts belong to
        std::vector<double> sent; // by region
        double total = 0;
    };

    struct Placed {
        std::uint64_t regionKey = 0;
        std::uint32_t running = 0;
    };

    Counts& countsFor(const core::ClassEntry&, std::uint64_t classKey);
    std::uint32_t runningIn(const core::SteeringTable&, std::uint64_t classKey, core::RegionIndex) const;

    std::uint32_t threads;
    std::unordered_map<std::uint64_t, Counts> classes;
    std::unordered_map<std::uint64_t, std::uint32_t> running; // by class and region
    std::unordered_map<std::uint64_t, Placed> placed; // by class and server, only while requests run
};

}
