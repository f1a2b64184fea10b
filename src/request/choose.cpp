#include "request/choose.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace cranberryshed::request {

namespace {

    constexpr std::size_t latencySampleSize = 8; // servers that LeastLatency compares per choice
    constexpr double probePenalty = 1; // a server outside the home subset is probed only if all others compared are busy
    constexpr std::size_t suspectPenalty = 100; // larger than any score of a server that is not suspect

    bool contains(std::span<const core::ServerIndex> list, core::ServerIndex index)
    {
        return std::ranges::find(list, index) != list.end();
    }

    core::ServerIndex draw(std::span<const core::ServerIndex> list, core::RandomEngine& random)
    {
        // Scales the high 32 bits to the size: cheaper than uniform_int_distribution, with a bias below 2^-20.
        return list[((random() >> 32) * list.size()) >> 32];
    }

    // Number of further draws after the first before a chooser gives up. Keeps the cost of a choice at O(log n).
    std::size_t extraDraws(std::size_t servers)
    {
        return static_cast<std::size_t>(std::bit_width(servers));
    }

    const ServerGroup& groupOf(const ServerStats& stats, core::ClassIndex classIndex, core::RegionIndex region)
    {
        return *std::ranges::find(stats.groups(classIndex), region, &ServerGroup::region);
    }

}

std::optional<core::ServerIndex> RoundRobin::choose(const ChooserInput& input, core::RandomEngine&, core::TimePoint)
{
    const core::SteeringTable& table = input.table;
    const core::ClassIndex classIndex = input.classIndex;
    const std::span<const core::ServerIndex> excluded = input.excluded;
    const std::vector<core::ServerIndex>& servers = table.at(classIndex).servers;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const core::ServerIndex candidate = servers[this->next++ % servers.size()];
        const core::ServerEntry& server = table.at(candidate);
        if (server.state != core::ServerState::Active && server.state != core::ServerState::Warming)
            continue;
        if (contains(excluded, candidate))
            continue;
        if (server.slotCounter->tryAcquire(server.slots))
            return candidate;
    }
    return std::nullopt;
}

std::optional<core::ServerIndex> TwoChoices::choose(const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
{
    const core::SteeringTable& table = input.table;
    const core::ClassIndex classIndex = input.classIndex;
    const std::span<const core::ServerIndex> excluded = input.excluded;
    this->stats.refresh(table);
    const std::span<const core::ServerIndex> servers = this->stats.servers(classIndex);
    if (servers.empty())
        return std::nullopt;
    const auto load = [&](core::ServerIndex index) {
        const core::ServerEntry& server = table.at(index);
        return server.slotCounter->inFlight() + this->stats.peerRequests(server, index, groupOf(this->stats, classIndex, server.region), now);
    };
    for (std::size_t i = 0; i <= extraDraws(servers.size()); ++i) {
        core::ServerIndex first = draw(servers, random);
        core::ServerIndex second = draw(servers, random);
        if (load(second) < load(first))
            std::swap(first, second);
        for (core::ServerIndex index : { first, second }) {
            if (contains(excluded, index) || !table.at(index).slotCounter->tryAcquire(usableSlots(table.at(index))))
                continue;
            this->stats.recordStart(table, classIndex, index, now);
            return index;
        }
    }
    return std::nullopt;
}

std::optional<core::ServerIndex> LeastLatency::choose(const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
{
    const core::SteeringTable& table = input.table;
    const core::ClassIndex classIndex = input.classIndex;
    const std::span<const core::ServerIndex> excluded = input.excluded;
    this->stats.refresh(table);
    const std::span<const core::ServerIndex> servers = this->stats.servers(classIndex);
    struct Sample {
        core::ServerIndex index;
        double load;
        double latency;
    };
    std::vector<Sample> samples;
    samples.reserve(latencySampleSize);
    for (std::size_t i = 0; i < std::min(latencySampleSize, servers.size()); ++i) {
        const core::ServerIndex index = draw(servers, random);
        const core::ServerEntry& server = table.at(index);
        if (contains(excluded, index) || server.slotCounter->inFlight() >= usableSlots(server))
            continue;
        samples.push_back({ index, server.slotCounter->inFlight() + this->stats.peerRequests(server, index, groupOf(this->stats, classIndex, server.region), now), this->stats.relativeLatency(index) });
    }
    if (samples.empty())
        return std::nullopt;
    std::ranges::sort(samples, {}, &Sample::load);
    // Servers below the sample's 5/6 quantile of load are cold. The paper's default quantile is 0.84.
    const double hot = samples[samples.size() * 5 / 6].load;
    std::ranges::stable_sort(samples, {}, [&](const Sample& sample) { return sample.load < hot ? sample.latency : std::numeric_limits<double>::max(); });
    for (const Sample& sample : samples) {
        if (!table.at(sample.index).slotCounter->tryAcquire(usableSlots(table.at(sample.index))))
            continue;
        this->stats.recordStart(table, classIndex, sample.index, now);
        return sample.index;
    }
    return std::nullopt;
}

std::optional<core::ServerIndex> HomeSubset::choose(const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
{
    const core::SteeringTable& table = input.table;
    const core::ClassIndex classIndex = input.classIndex;
    const std::span<const core::ServerIndex> excluded = input.excluded;
    this->stats.refresh(table);
    const core::ClassEntry& classEntry = table.at(classIndex);
    const std::uint64_t classKey = this->stats.classKey(classIndex);
    const std::vector<ServerGroup>& groups = this->stats.groups(classIndex);
    const auto tryGroup = [&](const ServerGroup& group) {
        return this->chooseInGroup({ .table = table, .classEntry = classEntry, .group = group, .excluded = excluded, .random = random, .now = now });
    };
    std::optional<core::ServerIndex> chosen;
    if (classEntry.regionShares.empty()) {
        for (std::size_t i = 0; !chosen && i < groups.size(); ++i)
            chosen = tryGroup(groups[i]);
    } else {
        for (core::RegionIndex region : this->regionShares.eligibleRegions(table, classEntry, classKey)) {
            const auto group = std::ranges::find(groups, region, &ServerGroup::region);
            if (group == groups.end())
                continue;
            chosen = tryGroup(*group);
            if (chosen) {
                this->regionShares.recordStart(table, classEntry, classKey, *chosen);
                break;
            }
        }
    }
    if (chosen)
        this->stats.recordStart(table, classIndex, *chosen, now);
    return chosen;
}

void HomeSubset::recordEnd(const AttemptFeedback& attempt, core::TimePoint now)
{
    this->stats.recordEnd(attempt, now);
    this->regionShares.recordEnd(attempt.classKey, attempt.serverKey);
}

std::optional<core::ServerIndex> HomeSubset::chooseInGroup(const Request& request)
{
    if (const std::optional<core::ServerIndex> home = this->chooseHome(request, OutlierState::Probing))
        return home;
    if (this->canSpill(request)) {
        if (const std::optional<core::ServerIndex> other = this->chooseOther(request))
            return other;
    }
    return this->chooseHome(request, OutlierState::Suspect);
}

// Chooses the least loaded server of the home subset, or of a random sample if the subset is large.
std::optional<core::ServerIndex> HomeSubset::chooseHome(const Request& request, OutlierState worstState)
{
    const std::vector<core::ServerIndex>& home = request.group.homeServers;
    const std::size_t count = std::min(home.size(), this->options.homeSampleSize);
    std::optional<core::ServerIndex> best;
    double bestScore = std::numeric_limits<double>::max();
    const std::size_t offset = home.empty() ? 0 : request.random() % home.size();
    for (std::size_t i = 0; i < count; ++i) {
        const core::ServerIndex index = home[(offset + i) % home.size()];
        const std::optional<double> candidate = this->score(request, index, worstState);
        if (!candidate || *candidate >= bestScore)
            continue;
        best = index;
        bestScore = *candidate;
    }
    if (!best)
        return std::nullopt;
    const core::ServerEntry& server = request.table.at(*best);
    if (!server.slotCounter->tryAcquire(this->slotLimit(request, server)))
        return std::nullopt;
    return best;
}

std::optional<core::ServerIndex> HomeSubset::chooseOther(const Request& request)
{
    const std::optional<core::TimePoint> ejection = this->detector().lastEjectionAt();
    if (ejection && request.now - *ejection < this->options.cautionPeriod) {
        if (const std::optional<core::ServerIndex> recent = this->chooseRecentlyGood(request))
            return recent;
    }
    return this->chooseRoundRobin(request);
}

// Chooses the idle server with the latest good answer. Otherwise each entry VM would detect each slow server only by
// sending one of its requests there.
std::optional<core::ServerIndex> HomeSubset::chooseRecentlyGood(const Request& request)
{
    for (core::ServerIndex index : this->stats.recentGoodServers(request.group.otherServers.front())) {
        const core::ServerEntry& server = request.table.at(index);
        if (!canReceiveRequests(server) || server.region != request.group.region || server.slotCounter->inFlight() > 0)
            continue;
        if (this->score(request, index, OutlierState::Usable) && server.slotCounter->tryAcquire(this->slotLimit(request, server)))
            return index;
    }
    return std::nullopt;
}

// Chooses the least loaded of the next few servers in turn. Round robin finds fewer full servers than random draws, and
// load reports are too old to show which server is free.
std::optional<core::ServerIndex> HomeSubset::chooseRoundRobin(const Request& request)
{
    const std::vector<core::ServerIndex>& otherServers = request.group.otherServers;
    std::optional<core::ServerIndex> best;
    double bestScore = std::numeric_limits<double>::max();
    const std::size_t tries = std::min(otherServers.size(), this->options.otherSampleSize + extraDraws(otherServers.size()));
    std::size_t positionAfterBest = this->nextOther;
    for (std::size_t i = 0; i < tries; ++i) {
        const std::size_t position = this->nextOther++ % otherServers.size();
        std::optional<double> candidate = this->score(request, otherServers[position], OutlierState::Probing);
        if (candidate && this->stats.outlierState(request.table.at(otherServers[position]), request.now) == OutlierState::Probing)
            *candidate += probePenalty;
        if (!candidate || *candidate >= bestScore)
            continue;
        best = otherServers[position];
        bestScore = *candidate;
        positionAfterBest = this->nextOther;
        if (bestScore == 0)
            break;
    }
    if (!best)
        return std::nullopt;
    this->nextOther = positionAfterBest;
    const core::ServerEntry& server = request.table.at(*best);
    if (!server.slotCounter->tryAcquire(this->slotLimit(request, server)))
        return std::nullopt;
    return best;
}

// Limits the requests outside the home subset, because other entry VMs spill over at the same time.
bool HomeSubset::canSpill(const Request& request) const
{
    const ServerGroup& group = request.group;
    if (group.otherServers.empty())
        return false;
    if (request.classEntry.length == core::WorkLength::Long && !group.homeServers.empty())
        return false;
    const double allowed = this->options.maxSpillFactor * group.freeSlots / this->stats.entryVms();
    return static_cast<double>(this->stats.spilledRequests(group.otherServers.front())) < std::max(allowed, static_cast<double>(this->options.minSpillLimit));
}

// Number of slots of the server that the request's class can fill.
std::uint32_t HomeSubset::slotLimit(const Request& request, const core::ServerEntry& server) const
{
    if (request.classEntry.length == core::WorkLength::Short)
        return usableSlots(server);
    const ServerGroup& group = request.group;
    const core::ServerIndex anyServer = group.homeServers.empty() ? group.otherServers.front() : group.homeServers.front();
    const double localSlots = group.slots / this->stats.entryVms() / this->options.threads;
    return LaneLimits::forShortUtilization(this->stats.meanShortSlots(anyServer, request.now), localSlots).maxSlots(server, core::WorkLength::Long);
}

// Decides at random whether a server that warms up or is drained accepts the request. The probability is its warmth
// relative to the warmest server of its group: if all servers are cold, rejecting requests would only delay them.
bool HomeSubset::acceptsByWarmth(const Request& request, const core::ServerEntry& server) const
{
    if (server.warmth >= request.group.maxWarmth)
        return true;
    const double draw = static_cast<double>(request.random() >> 11) * 0x1.0p-53;
    return draw * request.group.maxWarmth < server.warmth;
}

// This entry VM's requests per usable slot, or nothing if the server must not get this request.
std::optional<double> HomeSubset::score(const Request& request, core::ServerIndex index, OutlierState worstState) const
{
    const core::ServerEntry& server = request.table.at(index);
    const std::uint32_t localInFlight = server.slotCounter->inFlight();
    if (server.slotCounter->isReserved() || localInFlight >= this->slotLimit(request, server) || contains(request.excluded, index))
        return std::nullopt;
    const OutlierState state = this->stats.outlierState(server, request.now);
    if (state > worstState || !this->acceptsByWarmth(request, server))
        return std::nullopt;
    return static_cast<double>(localInFlight) / usableSlots(server) + (state == OutlierState::Suspect ? suspectPenalty : 0);
}

}
