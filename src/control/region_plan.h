#pragma once

#include "control/pipeline_types.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryshed::control {

// The inputs of the region plan, addressed by class and region index. Entry VMs with equal inputs compute equal plans.
struct RegionPlanInput {
    struct Class {
        std::string service;
        std::vector<ClassDemand> demand; // by region
        std::vector<double> maxShares; // by region: max share of the class's traffic by its target, 0 to 1
        core::Duration deadline {};
        double answerBytes = 0; // typical size of one answer; 0: unknown
    };
    struct Service {
        std::vector<double> slots; // by region: slots usable without the headroom
        std::vector<double> totalSlots; // by region: slots of all servers that are not leaving
        double headroom = 0; // share of the slots kept free, 0 to 1
    };
    std::vector<Class> classes;
    std::map<std::string, Service> services;
    std::vector<std::vector<core::Duration>> oneWayDelay; // by origin and target region; negative: no link
    std::vector<std::vector<double>> linkCapacityMbitPerSecond; // by origin and target region, in each direction
    std::vector<double> memberCounts; // entry VMs in service by region
};

// The shares of traffic that each region sends to each region, and the bounds on traffic between regions.
struct RegionPlan {
    // By class, origin and target region: share of the class's traffic; sums to 1 over the targets. Traffic that no
    // region has capacity for stays in its origin, where admission control rejects it.
    std::vector<std::vector<std::vector<double>>> shares;
    // By service, origin and target region: the most slots that the origin's traffic can occupy in the target.
    std::map<std::string, std::vector<std::vector<double>>> maxSpillSlots;
};

// Plans the regions' shares. Traffic spills over, to the nearest regions first, before its origin uses its headroom.
// It uses neither the target region's headroom nor more than maxSpillShareOfLink of a link. The spare slots of a
// target region are divided among the other regions in proportion to their entry VMs. Slots that an origin does not
// need are lent to the others only as far as the origin's load digests are fresh.
RegionPlan planRegions(const RegionPlanInput&);

// The inputs of one run. Reads Context::demand, Context::services and Context::maxShares.
RegionPlanInput makeRegionPlanInput(const Context&);

// Share of a link's capacity that answers of spill-overs can use. The rest is for other traffic of the system and its
// users.
inline constexpr double maxSpillShareOfLink = 0.5;

// The link load in Mbit/s of this many requests of the class per second.
double linkLoadMbitPerSecond(const RegionPlanInput::Class&, double requestsPerSecond);

}
