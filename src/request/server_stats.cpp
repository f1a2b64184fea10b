#include "request/server_stats.h"

#include "core/hash.h"

#include <algorithm>
#include <string_view>

namespace cranberryshed::request {

bool canReceiveRequests(const core::ServerEntry& server)
{
    return (server.state == core::ServerState::Active || server.state == core::ServerState::Warming) && server.warmth > 0;
}

void ServerStats::refresh(const core::SteeringTable& table)
{
    if (this->lastTable == &table && this->generation == table.generation)
        return;
    this->lastTable = &table;
    this->generation = table.generation;
    this->entryVmCount = static_cast<double>(std::max<std::ptrdiff_t>(1, std::ranges::count(table.members, core::MemberState::Alive, &core::MemberEntry::state)));
    this->rebuildRecords(table);
    this->classes.assign(table.classes.size(), {});
    for (std::size_t i = 0; i < table.classes.size(); ++i)
        this->rebuildClass(table, table.classes[i], this->classes[i]);
}

// Moves the records of servers and services to the indexes of the new table.
void ServerStats::rebuildRecords(const core::SteeringTable& table)
{
    std::vector<ServerRecord> carried(table.servers.size());
    std::unordered_map<std::uint64_t, std::uint32_t> newIndexes;
    std::unordered_map<std::string_view, std::size_t> serviceIndexes;
    std::vector<std::uint64_t> keys;
    for (std::uint32_t i = 0; i < table.servers.size(); ++i) {
        const core::ServerEntry& server = table.servers[i];
        const auto previousIndex = this->indexes.find(server.key);
        if (previousIndex != this->indexes.end())
            carried[i] = this->records[previousIndex->second];
        carried[i].serviceIndex = serviceIndexes.try_emplace(server.service, serviceIndexes.size()).first->second;
        if (server.report && server.report->receivedAt != carried[i].reportedAt) {
            const double localInFlight = server.slotCounter->inFlight();
            carried[i].peerRequestsAtReport = std::max(0.0, server.report->inFlight - localInFlight);
            carried[i].reportedAt = server.report->receivedAt;
        }
        carried[i].isHome = server.isHome;
        newIndexes[server.key] = i;
        keys.push_back(server.key);
    }
    std::vector<ServiceRecord> carriedServices(serviceIndexes.size());
    for (const ServerRecord& entry : carried)
        carriedServices[entry.serviceIndex].spilledRequests += entry.spilledRequests;
    for (const auto& [service, number] : serviceIndexes)
        carriedServices[number].key = core::hashBytes(service);
    for (const ServiceRecord& previous : this->services) {
        const auto carriedService = std::ranges::find(carriedServices, previous.key, &ServiceRecord::key);
        if (carriedService != carriedServices.end())
            carriedService->demand = previous.demand;
        for (core::ServerIndex old : previous.recentGoodServers) {
            const auto found = newIndexes.find(this->serverKeys[old.value]);
            if (found != newIndexes.end() && !carried[found->second].isHome)
                carriedServices[carried[found->second].serviceIndex].recentGoodServers.push_back({ found->second });
        }
    }
    this->services = std::move(carriedServices);
    this->records = std::move(carried);
    this->indexes = std::move(newIndexes);
    this->outliers.setServers(keys);
    this->serverKeys = std::move(keys);
}

void ServerStats::rebuildClass(const core::SteeringTable& table, const core::ClassEntry& entry, ClassRecord& classRecord)
{
    classRecord.key = core::hashBytes(entry.name);
    for (core::ServerIndex index : entry.servers) {
        const core::ServerEntry& server = table.at(index);
        if (!canReceiveRequests(server))
            continue;
        classRecord.servers.push_back(index);
        auto group = std::ranges::find(classRecord.groups, server.region, &ServerGroup::region);
        if (group == classRecord.groups.end())
            group = classRecord.groups.insert(group, { .region = server.region, .homeServers = {}, .otherServers = {} });
        (server.isHome ? group->homeServers : group->otherServers).push_back(index);
        const double usable = usableSlots(server);
        const double used = server.report ? server.report->inFlight : this->options.assumedUtilization * usable;
        group->slots += usable;
        group->maxWarmth = std::max(group->maxWarmth, server.warmth);
        group->freeSlots += std::max(0.0, usable - used);
        group->meanPeerRequests += std::max(0.0, used - server.slotCounter->inFlight());
    }
    for (ServerGroup& group : classRecord.groups)
        group.meanPeerRequests /= static_cast<double>(group.homeServers.size() + group.otherServers.size());
}

double ServerStats::reportWeight(core::TimePoint reportedAt, core::TimePoint now) const
{
    const double age = std::max(0.0, std::chrono::duration<double>(now - reportedAt).count());
    const double half = std::chrono::duration<double>(this->options.reportHalfWeightAge).count();
    return half / (half + age);
}

double ServerStats::peerRequests(const core::ServerEntry& server, core::ServerIndex index, const ServerGroup& group, core::TimePoint now) const
{
    if (!server.report)
        return group.meanPeerRequests;
    const ServerRecord& entry = this->records[index.value];
    const double weight = this->reportWeight(entry.reportedAt, now);
    return weight * entry.peerRequestsAtReport + (1 - weight) * group.meanPeerRequests;
}

void ServerStats::recordStart(const core::SteeringTable& table, core::ClassIndex classIndex, core::ServerIndex index, core::TimePoint now)
{
    const core::ServerEntry& server = table.at(index);
    this->outliers.recordStart({ .serverKey = server.key, .classKey = this->classKey(classIndex), .length = table.at(classIndex).length, .startedAt = now });
    if (server.isHome)
        return;
    ServerRecord& entry = this->records[index.value];
    ++entry.spilledRequests;
    ++this->services[entry.serviceIndex].spilledRequests;
}

void ServerStats::recordEnd(const AttemptFeedback& attempt, core::TimePoint now)
{
    const double medianTime = this->outliers.medianSeconds(attempt.classKey);
    this->outliers.recordEnd({ .serverKey = attempt.serverKey, .classKey = attempt.classKey, .length = attempt.length, .startedAt = attempt.startedAt }, attempt.result, now);
    const auto found = this->indexes.find(attempt.serverKey);
    if (found == this->indexes.end())
        return;
    ServerRecord& entry = this->records[found->second];
    this->services[entry.serviceIndex].demand.add(attempt.length, now - attempt.startedAt, now);
    if (entry.spilledRequests > 0) {
        --entry.spilledRequests;
        --this->services[entry.serviceIndex].spilledRequests;
    }
    if (attempt.length != core::WorkLength::Short || attempt.result != core::AttemptResult::Answered || medianTime <= 0)
        return;
    const double ratio = std::chrono::duration<double>(now - attempt.startedAt).count() / medianTime;
    entry.relativeLatency += this->options.latencySampleWeight * (ratio - entry.relativeLatency);
    if (ratio <= this->options.maxGoodTimeToMedian && !entry.isHome)
        this->addRecentGoodServer({ found->second });
}

void ServerStats::addRecentGoodServer(core::ServerIndex index)
{
    std::vector<core::ServerIndex>& recentGoodServers = this->services[this->records[index.value].serviceIndex].recentGoodServers;
    const auto position = std::ranges::find(recentGoodServers, index);
    if (position != recentGoodServers.end())
        recentGoodServers.erase(position);
    else if (recentGoodServers.size() >= this->options.maxRecentGoodServers)
        recentGoodServers.pop_back();
    recentGoodServers.insert(recentGoodServers.begin(), index);
}

}
