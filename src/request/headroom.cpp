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

std::optional<core::ErrorKind> Headroom::admit(const core::SteeringTable& table, core::ClassIndex classIndex, core::Duration untilDeadline, core::Duration slotTime, core::TimePoint now)
{
    if (seconds(untilDeadline) < this->options.minTimeShare * seconds(slotTime))
        return core::ErrorKind::DeadlineTooShort;
    this->refresh(table, now);
    const Capacity& capacity = this->capacities[classIndex.value];
    Usage& used = this->usage[capacity.serviceKey];
    if (now > used.updatedAt) {
        used.slotSeconds *= std::exp(-seconds(now - used.updatedAt) / seconds(this->options.averagingTime));
        used.updatedAt = now;
    }
    const double headroom = table.at(classIndex).headroom;
    if (headroom > 0 && this->exceedsAllowed(capacity, used, 1 - headroom, this->entryVms))
        return core::ErrorKind::Overloaded;
    used.slotSeconds += seconds(slotTime);
    return std::nullopt;
}

void Headroom::refresh(const core::SteeringTable& table, core::TimePoint now)
{
    if (this->lastTable == &table && this->generation == table.generation)
        return;
    this->lastTable = &table;
    this->generation = table.generation;
    this->entryVms = std::max<std::size_t>(1, std::ranges::count(table.members, core::MemberState::Alive, &core::MemberEntry::state));
    this->capacities.clear();
    for (const core::ClassEntry& entry : table.classes) {
        Capacity capacity { .serviceKey = core::hashBytes(entry.service), .utilization = entry.serviceUtilization };
        for (core::ServerIndex index : entry.servers) {
            const core::ServerEntry& server = table.at(index);
            if (server.state != core::ServerState::Active && server.state != core::ServerState::Warming)
                continue;
            const double usable = std::clamp(server.warmth, 0.0, 1.0) * server.slots;
            capacity.slots += usable;
            if (!server.report || now - server.report->receivedAt > this->options.maxReportAge)
                continue;
            capacity.reported += server.report->inFlight;
            capacity.reportedSlots += usable;
        }
        this->capacities.push_back(capacity);
    }
}

bool Headroom::exceedsAllowed(const Capacity& capacity, const Usage& used, double allowed, std::size_t entryVmCount) const
{
    const double localSlots = capacity.slots / static_cast<double>(entryVmCount) / this->options.threads;
    if (used.slotSeconds / seconds(this->options.averagingTime) < allowed * localSlots)
        return false;
    if (capacity.utilization)
        return *capacity.utilization >= allowed;
    const bool hasReports = capacity.reportedSlots * 2 >= capacity.slots;
    return !hasReports || capacity.reported >= allowed * capacity.reportedSlots;
}

}
