#pragma once

#include "core/hash.h"
#include "core/steering_table.h"

#include <memory>
#include <string>

namespace cranberryshed::rig {

// Sizes of the steering table that makeTable() builds.
struct TableOptions {
    std::uint32_t servers = 9;
    std::uint32_t domains = 3;
    std::uint32_t slots = 3;
    std::uint32_t members = 1; // entry VMs; server s is in the home subset of member s % members
    std::uint32_t self = 0;
    core::Duration deadline = std::chrono::seconds(1);
};

// Builds a steering table with one region, an idempotent class with the path prefix /read and a non-idempotent one with
// the path prefix /write. Servers are assigned to the failure domains in turn.
inline std::shared_ptr<core::SteeringTable> makeTable(const TableOptions& options)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = 1;
    table->regions.push_back({ .name = "r0" });
    for (std::uint32_t i = 0; i < options.domains; ++i)
        table->domains.push_back({ .name = "d" + std::to_string(i), .region = core::RegionIndex { 0 } });
    std::vector<core::ServerIndex> all;
    for (std::uint32_t i = 0; i < options.servers; ++i) {
        const std::string name = "server" + std::to_string(i);
        core::ServerEntry server { .name = name, .address = {}, .service = "s", .batch = "b", .region = {}, .domain = core::DomainIndex { i % options.domains }, .report = {} };
        server.slots = options.slots;
        server.isHome = i % options.members == options.self;
        server.key = core::hashBytes(name);
        server.slotCounter = std::make_shared<core::SlotCounter>();
        table->servers.push_back(std::move(server));
        all.push_back(core::ServerIndex { i });
    }
    for (const core::Idempotency idempotency : { core::Idempotency::Idempotent, core::Idempotency::NonIdempotent }) {
        core::ClassEntry entry;
        entry.name = idempotency == core::Idempotency::Idempotent ? "read" : "write";
        entry.pathPrefix = "/" + entry.name;
        entry.service = "s";
        entry.idempotency = idempotency;
        entry.deadline = options.deadline;
        entry.targetLatency = std::chrono::milliseconds(100);
        entry.servers = all;
        entry.regionShares = { 1 };
        table->classes.push_back(std::move(entry));
    }
    for (std::uint32_t i = 0; i < options.members; ++i)
        table->members.push_back({ .name = "vm" + std::to_string(i), .address = {}, .region = {}, .domain = {} });
    table->self = core::MemberIndex { options.self };
    return table;
}

}
