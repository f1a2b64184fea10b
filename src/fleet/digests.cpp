#include "fleet/digests.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration shortestInterval = 1s;
    constexpr core::Duration longestInterval = 10s;
    // The interval is chosen so that a member receives sums, and an aggregator reports, at most at these rates.
    // Both are parts of the 6 KB/s that control may take per member.
    constexpr double sumBytesPerSecond = 800;
    constexpr double reportBytesPerSecond = 2000;
    constexpr std::size_t reportOverhead = 60; // headers of the message and of its datagram
    // Intervals after which a member's report no longer counts. Several datagrams in a row may be lost; the
    // report of a member that died goes with the member.
    constexpr int reportLife = 8;
    // Intervals after which the second aggregator publishes. A sum is about one interval old when it is formed, and one
    // push may be lost.
    constexpr int overdueAfter = 4;
    constexpr core::Duration sumLife = 10min;
    constexpr core::Duration askAgain = 1s;
    constexpr std::size_t datagramContent = 1000;
    constexpr std::size_t namesPerMessage = 32;
    constexpr std::size_t firstReceivers = 2;

    std::size_t wireSize(const PackedDigest& digest)
    {
        return 60 + digest.classes.size() * sizeof(PackedClass) + digest.capacities.size() * sizeof(PackedCapacity);
    }

}

Digests::Digests(const Membership& fleetMembership, core::TimePoint now)
    : membership(fleetMembership)
    , nextReport(now + shortestInterval)
{
}

void Digests::chooseInterval()
{
    std::size_t sumBytes = 0;
    for (const auto& [domain, sum] : this->sums)
        sumBytes += wireSize(sum.load);
    const std::size_t reportBytes = this->own ? this->domainMembers * (wireSize(this->own->load) + reportOverhead) : 0;
    const double wanted = std::max(static_cast<double>(sumBytes) / sumBytesPerSecond, static_cast<double>(reportBytes) / reportBytesPerSecond);
    this->currentInterval = std::clamp(std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(wanted)), shortestInterval, longestInterval);
}

void Digests::setLoad(const core::DomainDigest& load, core::TimePoint now)
{
    this->own = Measured { .load = packDigest(load, this->names), .at = now };
    this->own->load.domain = nameId(this->membership.self().domain);
    this->own->load.members = 1;
}

// The names of regions and failure domains are in the members' records.
void Digests::learnMembers()
{
    if (this->learntMembers == this->membership.changes())
        return;
    this->learntMembers = this->membership.changes();
    const std::vector<const MemberRecord*> members = this->membership.all();
    this->domainMembers = 0;
    for (const MemberRecord* member : members) {
        this->names.learn(member->domain);
        this->names.learn(member->region);
        this->domainMembers += isLive(member->fact.state) && member->domain == this->membership.self().domain;
    }
    this->aggregators = membersWithRole(members, this->membership.self().domain, Role::AggregateLoads);
}

void Digests::onTimer(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now < this->nextReport)
        return;
    this->learnMembers();
    this->chooseInterval();
    this->nextReport = now + this->interval();
    std::erase_if(this->sums, [&](const auto& sum) { return now - sum.second.at > sumLife; });
    const MemberId self = this->membership.self().fact.id;
    if (std::find(this->aggregators.begin(), this->aggregators.end(), self) == this->aggregators.end()) {
        this->aggregatingSince = core::TimePoint::max();
        this->reports.clear();
    } else {
        this->aggregatingSince = std::min(this->aggregatingSince, now);
        if (this->own)
            this->reports[self] = *this->own;
        if (this->mayPublish(now)) {
            this->sum(now);
            this->spreadSum(now, random, outbox);
        }
    }
    this->report(now, outbox);
}

// Reports to the first aggregator in each interval and to the second one, which only stands by, in every other.
void Digests::report(core::TimePoint now, Outbox& outbox)
{
    this->standByTurn = !this->standByTurn;
    if (!this->own)
        return;
    for (MemberId id : this->aggregators) {
        if (id != this->membership.self().fact.id && (id == this->aggregators.front() || this->standByTurn))
            outbox.push_back(outgoingMessage(this->membership.find(id)->peerAddress, LoadReport { this->aged(*this->own, now) }));
    }
}

// A member that just became aggregator waits until all others have reported to it. The second one publishes only
// while no sum arrives from the first.
bool Digests::mayPublish(core::TimePoint now) const
{
    if (now - this->aggregatingSince < 2 * this->interval())
        return false;
    if (this->aggregators.front() == this->membership.self().fact.id)
        return true;
    auto known = this->sums.find(nameId(this->membership.self().domain));
    return known == this->sums.end() || now - known->second.at > overdueAfter * this->interval();
}

// Adds the reports of the live members of this failure domain, each once.
void Digests::sum(core::TimePoint now)
{
    const std::string& domain = this->membership.self().domain;
    std::vector<const PackedDigest*> loads;
    core::Duration age {};
    std::erase_if(this->reports, [&](const auto& report) {
        const MemberRecord* member = this->membership.find(report.first);
        return !member || !isLive(member->fact.state) || member->domain != domain || now - report.second.at > reportLife * this->interval();
    });
    for (const auto& [id, report] : this->reports) {
        loads.push_back(&report.load);
        age += now - report.at;
    }
    if (loads.empty())
        return;
    PackedDigest total = sumDigests(loads);
    total.domain = nameId(domain);
    this->keep(std::move(total), now - age / loads.size());
}

// Sends the own sum to the other aggregator, which publishes if it hears nothing, and to a few random members.
void Digests::spreadSum(core::TimePoint now, core::RandomEngine& random, Outbox& outbox) const
{
    auto known = this->sums.find(nameId(this->membership.self().domain));
    if (known == this->sums.end())
        return;
    const DigestPush push { .digests = { this->aged(known->second, now) } };
    for (MemberId id : this->aggregators) {
        if (id != this->membership.self().fact.id)
            outbox.push_back(outgoingMessage(this->membership.find(id)->peerAddress, push));
    }
    for (const MemberRecord* peer : this->membership.randomPeers(firstReceivers, random))
        outbox.push_back(outgoingMessage(peer->peerAddress, push));
}

// Keeps a sum if it was measured clearly later than the known one. The same sum seems a little younger with each
// hop, because its age leaves out the time on the way.
bool Digests::keep(PackedDigest sum, core::TimePoint measuredAt)
{
    auto known = this->sums.find(sum.domain);
    if (known != this->sums.end() && measuredAt <= known->second.at + this->interval() / 2)
        return false;
    const NameId domain = sum.domain;
    this->sums.insert_or_assign(domain, Measured { .load = std::move(sum), .at = measuredAt });
    ++this->changeCount;
    return true;
}

PackedDigest Digests::aged(const Measured& measured, core::TimePoint now) const
{
    PackedDigest result = measured.load;
    result.ageMs = static_cast<std::uint32_t>(std::max<std::int64_t>((now - measured.at) / 1ms, 0));
    return result;
}

std::vector<Sync::DigestAge> Digests::ages(core::TimePoint now) const
{
    std::vector<Sync::DigestAge> result;
    result.reserve(this->sums.size());
    for (const auto& [domain, sum] : this->sums)
        result.push_back({ .domain = domain, .ageMs = static_cast<std::uint32_t>((now - sum.at) / 1ms) });
    return result;
}

std::vector<core::DomainDigest> Digests::digests() const
{
    std::vector<core::DomainDigest> result;
    for (const auto& [domain, sum] : this->sums) {
        if (!this->names.find(domain))
            continue;
        result.push_back(unpackDigest(sum.load, this->names));
        result.back().measuredAt = sum.at;
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.domain < right.domain; });
    return result;
}

void Digests::accept(Context& context, core::TimePoint now)
{
    if (const auto* report = context.body<LoadReport>()) {
        this->reports[context.received.message.sender] = { .load = report->load, .at = now - report->load.ageMs * 1ms };
        this->askForNames(context, report->load, now);
    } else if (const auto* sync = context.body<Sync>())
        this->onSync(context, *sync, now);
    else if (const auto* newer = context.body<DigestPush>())
        this->onPush(context, *newer, now);
    else if (const auto* wanted = context.body<DigestsWanted>())
        this->push(context, wanted->domains, now);
    else if (const auto* unknown = context.body<NamesWanted>())
        this->onNamesWanted(context, *unknown);
    else if (const auto* texts = context.body<NamesReply>()) {
        for (const std::string& text : texts->names)
            this->names.learn(text);
        ++this->changeCount;
    }
}

// Sends the sums that the other member holds older or not at all, and asks for those that it holds newer.
void Digests::onSync(Context& context, const Sync& sync, core::TimePoint now) const
{
    const core::Duration margin = this->interval() / 2;
    std::map<NameId, core::TimePoint> theirs;
    DigestsWanted wanted;
    for (const Sync::DigestAge& their : sync.digests) {
        const core::TimePoint at = now - their.ageMs * 1ms;
        theirs[their.domain] = at;
        auto known = this->sums.find(their.domain);
        if (at + sumLife > now && (known == this->sums.end() || at > known->second.at + margin))
            wanted.domains.push_back(their.domain);
    }
    std::vector<NameId> newer;
    for (const auto& [domain, sum] : this->sums) {
        auto their = theirs.find(domain);
        if (their == theirs.end() || sum.at > their->second + margin)
            newer.push_back(domain);
    }
    this->push(context, newer, now);
    if (!wanted.domains.empty())
        context.reply(std::move(wanted));
}

void Digests::push(Context& context, const std::vector<NameId>& domains, core::TimePoint now) const
{
    DigestPush next;
    std::size_t bytes = 0;
    for (NameId domain : domains) {
        auto known = this->sums.find(domain);
        if (known == this->sums.end())
            continue;
        const std::size_t size = wireSize(known->second.load);
        if (!next.digests.empty() && bytes + size > datagramContent) {
            context.reply(std::exchange(next, {}));
            bytes = 0;
        }
        next.digests.push_back(this->aged(known->second, now));
        bytes += size;
    }
    if (!next.digests.empty())
        context.reply(std::move(next), bytes <= datagramContent ? Transport::Datagram : Transport::Stream);
}

void Digests::onPush(Context& context, const DigestPush& newer, core::TimePoint now)
{
    for (const PackedDigest& sum : newer.digests) {
        const core::TimePoint measuredAt = now - sum.ageMs * 1ms;
        if (now - measuredAt < sumLife && this->keep(sum, measuredAt))
            this->askForNames(context, sum, now);
    }
}

void Digests::askForNames(Context& context, const PackedDigest& load, core::TimePoint now)
{
    NamesWanted wanted;
    for (NameId id : unknownNames(load, this->names)) {
        auto [asking, first] = this->askedNames.try_emplace(id, now);
        if ((first || now - asking->second >= askAgain) && wanted.ids.size() < namesPerMessage) {
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
        if (text && reply.names.size() < namesPerMessage)
            reply.names.push_back(*text);
    }
    if (!reply.names.empty())
        context.reply(std::move(reply));
}

}
