#pragma once

#include "control/pipeline_types.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryshed::control {

// The inputs of the region plan, by index. All entry VMs with the same inputs get the same plan.
struct RegionPlanInput {
    struct Class {
        std::string service;
        std::vector<ClassDemand> demand; // by region
        std::vector<double> allowedShares; // by region: share of its traffic that the targets let it have there, 0 to 1
        core::Duration deadline {};
        double answerBytes = 0; // of one answer
    };
    struct Service {
        std::vector<double> slots; // by region, usable below the headroom
        std::vector<double> totalSlots; // by region
        double headroom = 0;
    };
    std::vector<Class> classes;
    std::map<std::string, Service> services;
    std::vector<std::vector<core::Duration>> oneWayDelay; // one way, by region and region; none: no link
    std::vector<std::vector<double>> linkCapacityMbit; // each way, by region and region
    std::vector<double> memberCounts; // serving entry VMs by region
};

// What the callers of one region may send to another, all classes of one service.
struct RegionPlan {
    // By class, origin and target region: share of the class's traffic; sums to 1. What has no place stays in
    // the own region, where admission control rejects it.
    std::vector<std::vector<std::vector<double>>> shares;
    // By service, origin and target region: most slots that the origin may take.
    std::map<std::string, std::vector<std::vector<double>>> maxSpillSlots;
};

// Plans the regions' shares: nearest first, a spill-over before the own region passes its headroom, never past the
// receiving region's headroom or the link's share. A receiving region's spare slots are divided among the other
// regions by their entry VMs; a part that one does not need goes to the others only while its figures are fresh.
RegionPlan planRegions(const RegionPlanInput&);

// The inputs of one run, with Context::admitted.
RegionPlanInput makeRegionPlanInput(const Context&);

// Part of a link that spill-overs may fill with answers. The rest carries the system's and the users' other traffic.
inline constexpr double maxSpillShareOfLink = 0.5;

// Mbit/s over the link for this rate of requests of the class.
double linkLoadMbit(const RegionPlanInput::Class&, double rate);

}
