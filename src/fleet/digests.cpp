#include "fleet/digests.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration minInterval = 1s;
    constexpr core::Duration maxInterval = 10s;
    // The interval is long enough that a member receives load digests, and an aggregator receives reports, at most at
    // these rates. Both count towards the limit of 6 KB/s per member for control traffic.
    constexpr double maxSumBytesPerSecond = 800;
    constexpr double maxReportBytesPerSecond = 2000;
    constexpr std::size_t reportOverheadBytes = 60; // headers of the message and of the datagram
    // The number of intervals after which a member's report no longer counts. It allows for several lost datagrams in a
    // row. The report of a dead member is dropped at once.
    constexpr int reportLifetimeIntervals = 8;
    // The number of intervals without a new load digest after which the second aggregator publishes. A load digest is
    // about one interval old when it is formed, and one push can be lost.
    constexpr int overdueIntervals = 4;
    constexpr core::Duration sumLifetime = 10min;
    constexpr core::Duration nameRetryInterval = 1s;
    constexpr std::size_t maxDatagramContentBytes = 1000;
    constexpr std::size_t maxNamesPerMessage = 32;
    constexpr std::size_t sumFanout = 2;

    std::size_t wireSize(const PackedDigest& digest)
    {
        return 60 + digest.classes.size() * sizeof(PackedClass) + digest.capacities.size() * sizeof(PackedCapacity);
    }

}

Digests::Digests(const Membership& fleetMembership, core::TimePoint now)
    : membership(fleetMembership)
    , nextReport(now + minInterval)
{
}

void Digests::updateInterval()
{
    std::size_t sumBytes = 0;
    for (const auto& [domain, sum] : this->sumsByDomain)
        sumBytes += wireSize(sum.load);
    const std::size_t reportBytes = this->ownLoad ? this->domainMemberCount * (wireSize(this->ownLoad->load) + reportOverheadBytes) : 0;
    const double seconds = std::max(static_cast<double>(sumBytes) / maxSumBytesPerSecond, static_cast<double>(reportBytes) / maxReportBytesPerSecond);
    this->currentInterval = std::clamp(std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)), minInterval, maxInterval);
}

void Digests::setLoad(const core::DomainDigest& load, core::TimePoint now)
{
    this->ownLoad = MeasuredLoad { .load = packDigest(load, this->names), .measuredAt = now };
    this->ownLoad->load.domain = nameId(this->membership.self().domain);
    this->ownLoad->load.members = 1;
}

// Adds the names of regions and failure domains from the members' records, and selects the aggregators.
void Digests::updateMembers()
{
    if (this->seenMembershipChanges == this->membership.changes())
        return;
    this->seenMembershipChanges = this->membership.changes();
    const std::vector<const MemberRecord*> members = this->membership.all();
    this->domainMemberCount = 0;
    for (const MemberRecord* member : members) {
        this->names.add(member->domain);
        this->names.add(member->region);
        this->domainMemberCount += isLive(member->fact.state) && member->domain == this->membership.self().domain;
    }
    this->aggregators = membersWithRole(members, this->membership.self().domain, Role::AggregateLoads);
}

void Digests::onTimer(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now < this->nextReport)
        return;
    this->updateMembers();
    this->updateInterval();
    this->nextReport = now + this->interval();
    std::erase_if(this->sumsByDomain, [&](const auto& sum) { return now - sum.second.measuredAt > sumLifetime; });
    const MemberId self = this->membership.self().fact.id;
    if (std::find(this->aggregators.begin(), this->aggregators.end(), self) == this->aggregators.end()) {
        this->aggregatingSince = core::TimePoint::max();
        this->reports.clear();
    } else {
        this->aggregatingSince = std::min(this->aggregatingSince, now);
        if (this->ownLoad)
            this->reports[self] = *this->ownLoad;
        if (this->shouldPublish(now)) {
            this->sumReports(now);
            this->sendSum(now, random, outbox);
        }
    }
    this->sendReport(now, outbox);
}

// Reports to the first aggregator in every interval and to the second one, the standby, in every other interval.
void Digests::sendReport(core::TimePoint now, Outbox& outbox)
{
    this->includeStandby = !this->includeStandby;
    if (!this->ownLoad)
        return;
    for (MemberId id : this->aggregators) {
        if (id != this->membership.self().fact.id && (id == this->aggregators.front() || this->includeStandby))
            outbox.push_back(outgoingMessage(this->membership.find(id)->peerAddress, LoadReport { this->withAge(*this->ownLoad, now) }));
    }
}

// An aggregator publishes only after two intervals in this role, when all members have reported to it. The second
// aggregator publishes only while no load digest arrives from the first.
bool Digests::shouldPublish(core::TimePoint now) const
{
    if (now - this->aggregatingSince < 2 * this->interval())
        return false;
    if (this->aggregators.front() == this->membership.self().fact.id)
        return true;
    auto known = this->sumsByDomain.find(nameId(this->membership.self().domain));
    return known == this->sumsByDomain.end() || now - known->second.measuredAt > overdueIntervals * this->interval();
}

// Sums the reports of the live members of this failure domain, one report per member.
void Digests::sumReports(core::TimePoint now)
{
    const std::string& domain = this->membership.self().domain;
    std::vector<const PackedDigest*> loads;
    core::Duration age {};
    std::erase_if(this->reports, [&](const auto& report) {
        const MemberRecord* member = this->membership.find(report.first);
        return !member || !isLive(member->fact.state) || member->domain != domain || now - report.second.measuredAt > reportLifetimeIntervals * this->interval();
    });
    for (const auto& [id, report] : this->reports) {
        loads.push_back(&report.load);
        age += now - report.measuredAt;
    }
    if (loads.empty())
        return;
    PackedDigest total = sumDigests(loads);
    total.domain = nameId(domain);
    this->keepIfNewer(std::move(total), now - age / loads.size());
}

// Sends this failure domain's load digest to the other aggregator, which publishes if it receives none, and to a few
// random members.
void Digests::sendSum(core::TimePoint now, core::RandomEngine& random, Outbox& outbox) const
{
    auto known = this->sumsByDomain.find(nameId(this->membership.self().domain));
    if (known == this->sumsByDomain.end())
        return;
    const DigestPush push { .digests = { this->withAge(known->second, now) } };
    for (MemberId id : this->aggregators) {
        if (id != this->membership.self().fact.id)
            outbox.push_back(outgoingMessage(this->membership.find(id)->peerAddress, push));
    }
    for (const MemberRecord* peer : this->membership.randomPeers(sumFanout, random))
        outbox.push_back(outgoingMessage(peer->peerAddress, push));
}

// Keeps a load digest if it was measured more than half an interval later than the one held. With a smaller difference
// it can be the same one: it seems a little younger with each hop, because its age does not include the network delay.
bool Digests::keepIfNewer(PackedDigest sum, core::TimePoint measuredAt)
{
    auto known = this->sumsByDomain.find(sum.domain);
    if (known != this->sumsByDomain.end() && measuredAt <= known->second.measuredAt + this->interval() / 2)
        return false;
    const NameId domain = sum.domain;
    this->sumsByDomain.insert_or_assign(domain, MeasuredLoad { .load = std::move(sum), .measuredAt = measuredAt });
    ++this->changeCount;
    return true;
}

PackedDigest Digests::withAge(const MeasuredLoad& measured, core::TimePoint now) const
{
    PackedDigest result = measured.load;
    result.ageMs = static_cast<std::uint32_t>(std::max<std::int64_t>((now - measured.measuredAt) / 1ms, 0));
    return result;
}

std::vector<Sync::DigestAge> Digests::ages(core::TimePoint now) const
{
    std::vector<Sync::DigestAge> result;
    result.reserve(this->sumsByDomain.size());
    for (const auto& [domain, sum] : this->sumsByDomain)
        result.push_back({ .domain = domain, .ageMs = static_cast<std::uint32_t>((now - sum.measuredAt) / 1ms) });
    return result;
}

std::vector<core::DomainDigest> Digests::digests() const
{
    std::vector<core::DomainDigest> result;
    for (const auto& [domain, sum] : this->sumsByDomain) {
        if (!this->names.find(domain))
            continue;
        result.push_back(unpackDigest(sum.load, this->names));
        result.back().measuredAt = sum.measuredAt;
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.domain < right.domain; });
    return result;
}

void Digests::handle(Context& context, core::TimePoint now)
{
    if (const auto* report = context.body<LoadReport>()) {
        this->reports[context.received.message.sender] = { .load = report->load, .measuredAt = now - report->load.ageMs * 1ms };
        this->requestUnknownNames(context, report->load, now);
    } else if (const auto* sync = context.body<Sync>())
        this->onSync(context, *sync, now);
    else if (const auto* newer = context.body<DigestPush>())
        this->onPush(context, *newer, now);
    else if (const auto* wanted = context.body<DigestsWanted>())
        this->sendSums(context, wanted->domains, now);
    else if (const auto* unknown = context.body<NamesWanted>())
        this->onNamesWanted(context, *unknown);
    else if (const auto* texts = context.body<NamesReply>()) {
        for (const std::string& text : texts->names)
            this->names.add(text);
        ++this->changeCount;
    }
}

// Sends the load digests that the sender holds older or not at all, and requests those that it holds newer.
void Digests::onSync(Context& context, const Sync& sync, core::TimePoint now) const
{
    const core::Duration margin = this->interval() / 2;
    std::map<NameId, core::TimePoint> theirs;
    DigestsWanted wanted;
    for (const Sync::DigestAge& their : sync.digests) {
        const core::TimePoint at = now - their.ageMs * 1ms;
        theirs[their.domain] = at;
        auto known = this->sumsByDomain.find(their.domain);
        if (at + sumLifetime > now && (known == this->sumsByDomain.end() || at > known->second.measuredAt + margin))
            wanted.domains.push_back(their.domain);
    }
    std::vector<NameId> newer;
    for (const auto& [domain, sum] : this->sumsByDomain) {
        auto their = theirs.find(domain);
        if (their == theirs.end() || sum.measuredAt > their->second + margin)
            newer.push_back(domain);
    }
    this->sendSums(context, newer, now);
    if (!wanted.domains.empty())
        context.reply(std::move(wanted));
}

void Digests::sendSums(Context& context, const std::vector<NameId>& domains, core::TimePoint now) const
{
    DigestPush next;
    std::size_t bytes = 0;
    for (NameId domain : domains) {
        auto known = this->sumsByDomain.find(domain);
        if (known == this->sumsByDomain.end())
            continue;
        const std::size_t size = wireSize(known->second.load);
        if (!next.digests.empty() && bytes + size > maxDatagramContentBytes) {
            context.reply(std::exchange(next, {}));
            bytes = 0;
        }
        next.digests.push_back(this->withAge(known->second, now));
        bytes += size;
    }
    if (!next.digests.empty())
        context.reply(std::move(next), bytes <= maxDatagramContentBytes ? Transport::Datagram : Transport::Stream);
}

void Digests::onPush(Context& context, const DigestPush& newer, core::TimePoint now)
{
    for (const PackedDigest& sum : newer.digests) {
        const core::TimePoint measuredAt = now - sum.ageMs * 1ms;
        if (now - measuredAt < sumLifetime && this->keepIfNewer(sum, measuredAt))
            this->requestUnknownNames(context, sum, now);
    }
}

void Digests::requestUnknownNames(Context& context, const PackedDigest& load, core::TimePoint now)
{
    NamesWanted wanted;
    for (NameId id : unknownNames(load, this->names)) {
        auto [asking, first] = this->nameRequests.try_emplace(id, now);
        if ((first || now - asking->second >= nameRetryInterval) && wanted.ids.size() < maxNamesPerMessage) {
            asking->second = now;
            wanted.ids.push_back(id);
        }
    }
    if (!wanted.ids.empty())
        context.reply(std::move(wanted));
}

void Digests::onNamesWanted(Context& context, const NamesWanted& wanted) const
{
    NamesReply reply;
    for (NameId id : wanted.ids) {
        const std::string* text = this->names.find(id);
        if (text && reply.names.size() < maxNamesPerMessage)
            reply.names.push_back(*text);
    }
    if (!reply.names.empty())
        context.reply(std::move(reply));
}

}
