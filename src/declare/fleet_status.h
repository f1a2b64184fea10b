#pragma once

#include "core/object.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// What one class was measured to get, for the fleet as a whole.
struct ClassStatus {
    std::string className;
    core::Duration latency {}; // p99 of an answer's first byte
    double headroom = 0; // share of capacity that is free, 0 to 1
    double requestsPerSecond = 0;
    double rejectedPerSecond = 0;
};

// How far the drain of one batch is.
struct DrainStatus {
    std::string batch;
    double remainingShare = 0; // share of the batch's work that it still gets, 0 to 1
    core::WallTime expectedEnd {};
    bool endsInTime = true; // whether that is before the contract's end
};

// The content of the object "status/fleet", which one member writes every 10 s.
struct FleetStatus {
    core::WallTime writtenAt {};
    std::uint32_t members = 0; // alive
    std::vector<ClassStatus> classes;
    std::vector<DrainStatus> drains;
};

constexpr const char* fleetStatusName = "fleet";

// The object for the store, without version.
core::Object fleetStatusObject(const FleetStatus& status);

// Returns nothing if the content breaks the schema.
std::optional<FleetStatus> parseFleetStatus(const std::string& content);

}
