#include "request/earliest_answer.h"

#include "core/hash.h"
#include "request/recent_failures.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <unordered_set>
#include <utility>

namespace cranberryshed::request {

namespace {

    constexpr double bytesPerKilobyte = 1024;

    // A connection time below the current round trip estimate replaces it. A longer one moves it by this share of the
    // difference.
    constexpr double slowerRoundTripWeight = 0.05;

    // Assumed time of a cold run before the first measurement, relative to the target latency of the class.
    constexpr double assumedColdRunRatio = 0.8;

    core::Duration scaled(core::Duration duration, double factor)
    {
        return core::Duration(static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    std::uint64_t classKeyOf(const core::ClassEntry& entry)
    {
        return core::hashBytes(entry.name);
    }

    std::uint64_t serviceKeyOf(const core::ClassEntry& entry)
    {
        return core::hashBytes(entry.service);
    }

    // Key of the data that a server keeps warm for this request: object and class. 0 if the class has no affinity or
    // the object is unknown.
    std::uint64_t warmKeyOf(const ChooserInput& input)
    {
        const core::ClassEntry& entry = input.classEntry();
        return entry.usesAffinity && input.affinity != 0 ? core::hashCombine(input.affinity, classKeyOf(entry)) : 0;
    }

}

std::optional<core::ServerIndex> EarliestAnswer::choose(const ChooserInput& input, core::RandomEngine&, core::TimePoint now)
{
    const std::optional<Candidate> best = this->selectCandidate(input, this->findBestByRegion(input, now), now);
    // The best server is full. Queueing here until it has a free slot costs less than using another server now.
    if (!best || !best->canSend)
        return std::nullopt;
    const core::ServerEntry& server = input.table.at(best->index);
    if (!server.slotCounter->tryAcquire(std::numeric_limits<std::int32_t>::max()))
        return std::nullopt;
    if (server.coldUntil && now < *server.coldUntil)
        this->coldBuckets[server.key].tokens -= 1;
    this->estimateOf(server.key).recordStart(warmKeyOf(input), now);
    this->shareLimiter.recordSent(serviceKeyOf(input.classEntry()), server.region, now);
    this->lastBasis = best->basis;
    return best->index;
}

EarliestAnswer::BestByRegion EarliestAnswer::findBestByRegion(const ChooserInput& input, core::TimePoint now)
{
    BestByRegion bestByRegion(input.table.regions.size());
    for (const std::vector<core::ServerIndex>& region : this->rankedServersOf(input)) {
        for (std::size_t rank = 0; rank < region.size(); ++rank)
            this->addCandidate(input, region[rank], rank == 0, now, bestByRegion);
    }
    if (std::ranges::any_of(bestByRegion, [](const auto& candidate) { return candidate.has_value(); }))
        return bestByRegion;
    for (core::ServerIndex index : input.classEntry().servers)
        this->addCandidate(input, index, false, now, bestByRegion);
    return bestByRegion;
}

template <typename Predicate>
std::optional<core::RegionIndex> EarliestAnswer::cheapestRegion(const BestByRegion& bestByRegion, Predicate predicate)
{
    std::optional<core::RegionIndex> best;
    for (std::uint32_t i = 0; i < bestByRegion.size(); ++i) {
        if (bestByRegion[i] && predicate(*bestByRegion[i]) && (!best || bestByRegion[i]->cost < bestByRegion[best->value]->cost))
            best = core::RegionIndex { i };
    }
    return best;
}

// Returns the cheapest candidate among the regions that the share limiter allows. A region that is behind its share
// takes precedence if its candidate is in time and can be sent now. If no allowed region has a usable server, the
// limiter is ignored. If the cheapest candidate is late and its server is full, the request goes to the cheapest
// allowed candidate with a free slot instead of waiting.
std::optional<EarliestAnswer::Candidate> EarliestAnswer::selectCandidate(const ChooserInput& input, const BestByRegion& bestByRegion, core::TimePoint now)
{
    const std::uint64_t serviceKey = serviceKeyOf(input.classEntry());
    const std::optional<core::RegionIndex> cheapest = cheapestRegion(bestByRegion, [](const Candidate&) { return true; });
    if (!cheapest)
        return std::nullopt;
    // Only new requests count as preferences: queued requests are late in every region, so their choice does not show
    // which region has capacity.
    const std::optional<core::RegionIndex> preferred = cheapestRegion(bestByRegion, [](const Candidate& candidate) { return candidate.canSend; });
    if (input.isNewRequest && preferred)
        this->shareLimiter.recordPreference(serviceKey, *preferred, this->regionSlotsOf(input, now).initialShares, now);
    if (const std::optional<core::RegionIndex> behind = this->shareLimiter.regionBehindShare(serviceKey, now); behind && bestByRegion[behind->value]) {
        const Candidate& candidate = *bestByRegion[behind->value];
        if (candidate.inTime && candidate.canSend)
            return candidate;
    }
    const auto isAllowed = [&](const Candidate& candidate) {
        return this->shareLimiter.allows(serviceKey, input.table.at(candidate.index).region, now);
    };
    const std::optional<core::RegionIndex> allowed = cheapestRegion(bestByRegion, isAllowed);
    const Candidate& best = *bestByRegion[allowed.value_or(*cheapest).value];
    const std::optional<core::RegionIndex> idle = cheapestRegion(bestByRegion, [&](const Candidate& candidate) { return candidate.canSend && isAllowed(candidate); });
    return best.inTime || best.canSend || !idle ? best : bestByRegion[idle->value];
}

// Returns the slots of a service by region, cached per steering table. If a region's slots changed by more than
// minSlotChange, the share limiter is suspended so that the shares can follow at once.
const EarliestAnswer::RegionSlots& EarliestAnswer::regionSlotsOf(const ChooserInput& input, core::TimePoint now)
{
    const core::SteeringTable& table = input.table;
    const std::uint64_t serviceKey = serviceKeyOf(input.classEntry());
    RegionSlots& cached = this->regionSlots[serviceKey];
    if (cached.generation == table.generation)
        return cached;
    std::vector<double> slots(table.regions.size(), 0);
    for (core::ServerIndex index : input.classEntry().servers) {
        if (isActiveOrWarming(table.at(index)))
            slots[table.at(index).region.value] += table.at(index).slots;
    }
    const bool isComparable = cached.slots.size() == slots.size();
    for (std::size_t i = 0; isComparable && i < slots.size(); ++i) {
        if (std::abs(slots[i] - cached.slots[i]) > this->options.minSlotChange * std::max(slots[i], cached.slots[i]))
            this->shareLimiter.suspend(serviceKey, now);
    }
    cached = { .generation = table.generation, .slots = slots, .initialShares = initialShares(slots, table.at(table.self).region) };
    return cached;
}

// Region shares before the first measurement. Assuming equal load in all regions, the local region serves as much of
// its load as its slots allow, and the other regions get the rest in proportion to their slots.
std::vector<double> EarliestAnswer::initialShares(const std::vector<double>& slots, core::RegionIndex localRegion)
{
    const double totalSlots = std::accumulate(slots.begin(), slots.end(), 0.0);
    const double localShare = totalSlots > 0 ? std::min(1.0, slots[localRegion.value] * static_cast<double>(slots.size()) / totalSlots) : 1;
    const double otherSlots = totalSlots - slots[localRegion.value];
    std::vector<double> shares;
    shares.reserve(slots.size());
    for (const double slotCount : slots)
        shares.push_back(otherSlots > 0 ? slotCount / otherSlots * (1 - localShare) : 0);
    shares[localRegion.value] = localShare;
    return shares;
}

const EarliestAnswer::RankedServers& EarliestAnswer::rankedServersOf(const ChooserInput& input)
{
    const core::SteeringTable& table = input.table;
    if (this->rankedGeneration != table.generation) {
        this->rankedGeneration = table.generation;
        this->rankedServers.clear();
        this->forgetRemovedServers(table);
    }
    const std::uint64_t object = warmKeyOf(input);
    const auto [entry, added] = this->rankedServers.try_emplace(core::hashCombine(object, input.classIndex.value));
    if (!added)
        return entry->second;
    std::vector<std::vector<std::pair<std::uint64_t, core::ServerIndex>>> scores(table.regions.size());
    for (core::ServerIndex index : input.classEntry().servers) {
        if (isActiveOrWarming(table.at(index)))
            scores[table.at(index).region.value].emplace_back(core::hashCombine(object, table.at(index).key), index);
    }
    for (auto& region : scores) {
        const std::size_t count = std::min(region.size(), object == 0 ? region.size() : this->options.rankedPerRegion);
        std::ranges::partial_sort(region, region.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater());
        region.resize(count);
        std::vector<core::ServerIndex>& indexes = entry->second.emplace_back();
        for (const auto& [score, index] : region)
            indexes.push_back(index);
    }
    return entry->second;
}

// Removes the state of servers that left the steering table. Without this, memory would grow for as long as the process
// runs, because servers are replaced all the time.
void EarliestAnswer::forgetRemovedServers(const core::SteeringTable& table)
{
    std::unordered_set<std::uint64_t> present;
    for (const core::ServerEntry& server : table.servers)
        present.insert(server.key);
    std::erase_if(this->serverEstimates, [&](const auto& estimate) { return !present.contains(estimate.first); });
    std::erase_if(this->coldBuckets, [&](const auto& bucket) { return !present.contains(bucket.first); });
}

bool EarliestAnswer::isUsable(const ChooserInput& input, core::ServerIndex index, core::TimePoint now)
{
    const core::ServerEntry& server = input.table.at(index);
    return isActiveOrWarming(server) && std::ranges::find(input.excluded, index) == input.excluded.end() && this->canUseCold(server, now);
}

void EarliestAnswer::addCandidate(const ChooserInput& input, core::ServerIndex index, bool preferred, core::TimePoint now, BestByRegion& bestByRegion)
{
    if (!this->isUsable(input, index, now))
        return;
    const Candidate candidate = this->estimateCandidate(input, index, preferred, now);
    std::optional<Candidate>& best = bestByRegion[input.table.at(index).region.value];
    if (!best || candidate.cost < best->cost)
        best = candidate;
}

EarliestAnswer::Candidate EarliestAnswer::estimateCandidate(const ChooserInput& input, core::ServerIndex index, bool preferred, core::TimePoint now)
{
    const core::ServerEntry& server = input.table.at(index);
    const core::ClassEntry& entry = input.classEntry();
    const ClassEstimates::Estimate& classEstimate = this->classEstimates.of(classKeyOf(entry), scaled(entry.targetLatency, assumedColdRunRatio));
    const ServerEstimate& estimate = this->estimateOf(server.key);
    const std::uint64_t object = warmKeyOf(input);
    const bool warm = object != 0 && (preferred || estimate.isWarm(object));
    const core::Duration run = warm ? classEstimate.warm : classEstimate.cold;
    const double peerRequests = estimate.peerRequests(now);
    const double occupied = server.slotCounter->inFlight() + peerRequests;
    const double queuedAhead = std::max(0.0, occupied + 1 - server.slots);
    const core::Duration roundTrip = this->roundTrip(input.table, server);
    const core::Duration wait = scaled(classEstimate.warm, queuedAhead / server.slots);
    const core::Duration connect = estimate.hasIdleConnection(now) ? core::Duration::zero() : roundTrip;
    core::Duration expected = connect + roundTrip + scaled(wait + run, estimate.slowdown(now));
    if (const std::optional<core::TimePoint> since = estimate.unansweredSince(); since && now - *since > scaled(roundTrip + classEstimate.cold, this->options.stuckRatio))
        expected += now - *since;
    const bool inTime = now + expected <= input.targetAt;
    Candidate candidate { .index = index, .inTime = inTime, .cost = expected + scaled(run, this->options.slotCostFactor) + this->transferCost(input.table, server, classEstimate.bytes) };
    if (!inTime)
        candidate.cost += this->options.latenessPenalty;
    candidate.canSend = occupied < (inTime ? server.slots + this->options.maxQueuedAtServer : server.slots - this->options.idleSlotShare);
    const std::optional<core::TimePoint> reported = estimate.reportedAt();
    candidate.basis = { .others = peerRequests, .reportAge = reported ? now - *reported : core::Duration {}, .expected = expected, .roundTrip = roundTrip, .connect = connect, .hasFreeSlot = queuedAhead < 1, .isWarm = warm };
    return candidate;
}

core::Duration EarliestAnswer::roundTrip(const core::SteeringTable& table, const core::ServerEntry& server) const
{
    const auto measured = this->roundTrips.find(core::hashBytes(table.at(server.domain).name));
    if (measured != this->roundTrips.end())
        return measured->second;
    const core::MemberEntry& self = table.at(table.self);
    if (server.domain == self.domain)
        return this->options.sameDomainRoundTrip;
    return server.region == self.region ? this->options.sameRegionRoundTrip : this->options.otherRegionRoundTrip;
}

core::Duration EarliestAnswer::transferCost(const core::SteeringTable& table, const core::ServerEntry& server, double bytes) const
{
    const core::MemberEntry& self = table.at(table.self);
    if (server.domain == self.domain)
        return core::Duration::zero();
    const bool sameRegion = server.region == self.region;
    return scaled(sameRegion ? this->options.sameRegionTransferPerKilobyte : this->options.otherRegionTransferPerKilobyte, bytes / bytesPerKilobyte);
}

// A cold server crashes if the total request rate of all entry VMs exceeds its limit (maxColdRequestsPerSecond).
// Therefore control lets one entry VM use it, whose traffic threads share the rate.
bool EarliestAnswer::canUseCold(const core::ServerEntry& server, core::TimePoint now)
{
    if (!server.coldUntil || now >= *server.coldUntil)
        return true;
    if (!server.isUsableCold)
        return false;
    TokenBucket& bucket = this->coldBuckets[server.key];
    const std::chrono::duration<double> passed = now - std::exchange(bucket.filledAt, now);
    bucket.tokens = std::min(1.0, bucket.tokens + std::min(1.0, passed.count()) * server.maxColdRequestsPerSecond / this->options.threads);
    return bucket.tokens >= 1;
}

ServerEstimate& EarliestAnswer::estimateOf(std::uint64_t serverKey)
{
    return this->serverEstimates.try_emplace(serverKey, this->options.serverEstimate).first->second;
}

void EarliestAnswer::recordEnd(const AttemptFeedback& attempt, core::TimePoint now)
{
    ServerEstimate& estimate = this->estimateOf(attempt.serverKey);
    estimate.recordEnd(attempt.startedAt, attempt.result == core::AttemptResult::Answered, now);
    if (attempt.connectTime) {
        const auto [entry, added] = this->roundTrips.try_emplace(attempt.domainKey, *attempt.connectTime);
        core::Duration& roundTrip = entry->second;
        if (!added)
            roundTrip = std::min(*attempt.connectTime, roundTrip + scaled(*attempt.connectTime - roundTrip, slowerRoundTripWeight));
    }
    if (attempt.load)
        estimate.recordReport(*attempt.load, attempt.localInFlight + 1, now); // the server's load includes the request that it is answering
    if (attempt.result != core::AttemptResult::Answered)
        return;
    const core::Duration connect = attempt.connectTime.value_or(core::Duration::zero());
    const core::Duration run = std::max(core::Duration(1), attempt.slotTime - connect - attempt.basis.roundTrip);
    const core::Duration expected = std::max(core::Duration(1), attempt.basis.expected - attempt.basis.connect - attempt.basis.roundTrip);
    estimate.recordRelativeTime(static_cast<double>(run.count()) / static_cast<double>(expected.count()), now);
    if (attempt.basis.hasFreeSlot)
        this->classEstimates.add(attempt.classKey, attempt.basis.isWarm, run, attempt.bytes);
}

}
