#pragma once

#include "core/steering_table.h"

#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Distributes the requests of each class over the regions according to the region shares and limits of the steering
// table.
//
// Prefers the region that is furthest behind its share. A region with a limit can exceed its share by a few requests
// only. This prevents a full local region from using up another region's headroom: the excess requests wait until
// control changes the shares. Counts the requests of one traffic thread, which gets an equal part of each limit.
class RegionShares {
public:
    explicit RegionShares(std::uint32_t trafficThreads = 1)
        : threads(trafficThreads)
    {
    }

    // Returns the regions that can get the next request of this class, in order of preference. The class must have
    // region shares.
    std::vector<core::RegionIndex> eligibleRegions(const core::SteeringTable&, const core::ClassEntry&, std::uint64_t classKey);

    void recordStart(const core::SteeringTable&, const core::ClassEntry&, std::uint64_t classKey, core::ServerIndex);
    void recordEnd(std::uint64_t classKey, std::uint64_t serverKey);

private:
    struct Counts {
        std::vector<double> shares; // for which the requests were counted
        std::vector<double> sent; // requests by RegionIndex
        double total = 0; // sum of `sent`
    };

    struct RunningAtServer {
        std::uint64_t regionKey = 0;
        std::uint32_t running = 0;
    };

    Counts& countsFor(const core::ClassEntry&, std::uint64_t classKey);
    std::uint32_t runningIn(const core::SteeringTable&, std::uint64_t classKey, core::RegionIndex) const;

    std::uint32_t threads;
    std::unordered_map<std::uint64_t, Counts> classes; // by class key
    std::unordered_map<std::uint64_t, std::uint32_t> runningByRegion; // by hash of class key and region name
    std::unordered_map<std::uint64_t, RunningAtServer> runningAtServers; // by hash of class key and server key, only while requests run
};

}
