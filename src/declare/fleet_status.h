#pragma once

#include "core/object.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// Measurements of one class across the whole fleet.
struct ClassStatus {
    std::string className;
    core::Duration latency {}; // p99 of the time until an answer's first byte
    double headroom = 0; // free share of the capacity, 0 to 1
    double requestsPerSecond = 0;
    double rejectedPerSecond = 0;
};

// Progress of the drain of one batch.
struct DrainStatus {
    std::string batch;
    double remainingShare = 0; // share of its usual traffic that the batch still gets, 0 to 1
    core::WallTime expectedEnd {};
    bool endsInTime = true; // the drain is expected to end before the contract does
};

// The content of the object "status/fleet", which one member writes every 10 s.
struct FleetStatus {
    core::WallTime writtenAt {};
    std::uint32_t members = 0; // number of live members
    std::vector<ClassStatus> classes;
    std::vector<DrainStatus> drains;
};

constexpr const char* fleetStatusName = "fleet";

// Converts the status into an object for the store, without a version.
core::Object fleetStatusObject(const FleetStatus& status);

// Parses the content of a status object. Returns nothing if it violates the schema.
std::optional<FleetStatus> parseFleetStatus(const std::string& content);

}
