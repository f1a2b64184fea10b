#include "request/headroom.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::request {

namespace {

    double seconds(core::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

std::optional<core::ErrorKind> Headroom::admit(const core::SteeringTable& table, core::ClassIndex classIndex, core::Duration untilDeadline, core::Duration serviceTime, core::TimePoint now)
{
    if (seconds(untilDeadline) < this->options.leastTime * seconds(serviceTime))
        return core::ErrorKind::DeadlineTooShort;
    this->refresh(table, now);
    const Capacity& capacity = this->capacities[classIndex.value];
    Usage& used = this->usage[capacity.pool];
    if (now > used.updatedAt) {
        used.work *= std::exp(-seconds(now - used.updatedAt) / seconds(this->options.memory));
        used.updatedAt = now;
    }
    const double headroom = table.at(classIndex).headroom;
    if (headroom > 0 && this->exceeds(capacity, used, 1 - headroom, this->members))
        return core::ErrorKind::Overloaded;
    used.work += seconds(serviceTime);
    return std::nullopt;
}

void Headroom::refresh(const core::SteeringTable& table, core::TimePoint now)
{
    if (this->seen == &table && this->generation == table.generation)
        return;
    this->seen = &table;
    this->generation = table.generation;
    this->members = std::max<std::size_t>(1, std::ranges::count(table.members, core::MemberState::Alive, &core::MemberEntry::state));
    this->capacities.clear();
    for (const core::ClassEntry& entry : table.classes) {
        Capacity capacity { .pool = core::hashBytes(entry.service), .use = entry.serviceUtilization };
        for (core::ServerIndex index : entry.servers) {
            const core::ServerEntry& server = table.at(index);
            if (server.state != core::ServerState::Active && server.state != core::ServerState::Warming)
                continue;
            const double usable = std::clamp(server.warmth, 0.0, 1.0) * server.slots;
            capacity.slots += usable;
            if (!server.report || now - server.report->receivedAt > this->options.reportLimit)
                continue;
            capacity.reported += server.report->inFlight;
            capacity.reportedSlots += usable;
        }
        this->capacities.push_back(capacity);
    }
}

bool Headroom::exceeds(const Capacity& capacity, const Usage& used, double allowed, std::size_t memberCount) const
{
    const double part = capacity.slots / static_cast<double>(memberCount) / this->options.threads;
    if (used.work / seconds(this->options.memory) < allowed * part)
        return false;
    if (capacity.use)
        return *capacity.use >= allowed;
    const bool known = capacity.reportedSlots * 2 >= capacity.slots;
    return !known || capacity.reported >= allowed * capacity.reportedSlots;
}

}
