#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryshed::core {

// The load of one class, as measured by the entry VMs of one failure domain.
struct ClassLoad {
    std::string className;
    double demand = 0; // requests per second that arrive at these entry VMs
    // Requests per second that were rejected for lack of capacity, or that were accepted and then answered with an
    // error of this system. Requests whose callers disconnected are not included.
    double rejected = 0;
    std::uint32_t inFlight = 0; // estimated slots in use: demand times meanTime, so rejected requests are included
    Duration meanTime {}; // mean time for which an answered attempt holds a slot
    Duration tailLatency {}; // p99 of that time
};

// The slots of one service in one region, as counted by the entry VMs of one failure domain.
struct ServiceCapacity {
    std::string service;
    std::string region;
    std::uint32_t slots = 0; // of backend servers that can get new requests; warming servers count in part
    std::uint32_t busy = 0; // slots in use by requests of these entry VMs
};

// Load digest of one failure domain: loads and capacities, added up over its entry VMs.
struct DomainDigest {
    std::string domain;
    TimePoint measuredAt {}; // in this process's monotonic time: time of receipt minus the age stated by the sender
    std::uint32_t members = 0; // number of entry VMs in the sum
    std::vector<ClassLoad> classes;
    std::vector<ServiceCapacity> capacities;
};

}
