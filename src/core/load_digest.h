#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryshed::core {

// The load of one class, as the entry VMs of one failure domain see it.
struct ClassLoad {
    std::string className;
    double demand = 0; // requests that arrive at these entry VMs per second
    double rejected = 0; // requests rejected for lack of capacity per second
    std::uint32_t inFlight = 0; // requests at backend servers
    Duration meanTime {}; // mean time that a request holds a slot
    Duration tailLatency {}; // p99 of the answer's first byte
};

// The slots of one service in one region, as the entry VMs of one failure domain see them.
struct ServiceCapacity {
    std::string service;
    std::string region;
    std::uint32_t slots = 0; // of backend servers that may get new work, warming ones in part
    std::uint32_t busy = 0; // taken by requests of these entry VMs
};

// The sum over the entry VMs of one failure domain.
struct DomainDigest {
    std::string domain;
    TimePoint measuredAt {}; // this process's time: receipt less the age stated by the sender
    std::uint32_t members = 0; // entry VMs in the sum
    std::vector<ClassLoad> classes;
    std::vector<ServiceCapacity> capacities;
};

}
