#include "fleet/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;
using core::MemberState;

namespace {

    // The timeout of a suspicion grows with each doubling of the fleet, because gossip then takes one more round to the
    // suspected member and one more back.
    constexpr core::Duration suspicionTimeoutBase = 3s;
    constexpr core::Duration suspicionTimeoutPerDoubling = 300ms;
    constexpr core::Duration deadRetention = 1h;
    // The members on one side of a partition together ping a lost member about once per period, so that the sides find
    // each other again. Each ping is one datagram, or two if a seed is not live.
    constexpr core::Duration lostPingPeriod = 1s;
    constexpr core::Duration maxLostPingPeriod = 10s; // of one member; reached in a fleet of ten
    constexpr core::Duration joinRetryInterval = 1s;
    constexpr core::Duration slowJoinRetryInterval = 5s;
    // When many members start together, the first replies contain only few of them, so the member joins once more.
    constexpr core::Duration rejoinDelay = 2s;
    constexpr int fastJoinAttempts = 5;
    constexpr int unansweredJoinsBeforeServing = 3;
    constexpr std::size_t joinTargets = 3;
    constexpr core::Duration maxRefreshTime = 5s;
    constexpr core::Duration recordRetryInterval = 1s;
    constexpr std::size_t announceTargets = 4;

    // Orders statements with the same incarnation and refutation: suspicion, death and departure, as stated by others,
    // override the state that the member announced itself.
    int statePrecedence(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
        case MemberState::Leaving:
            return 0;
        case MemberState::Suspect:
            return 1;
        case MemberState::Dead:
            return 2;
        case MemberState::Left:
            return 3;
        }
        return 0;
    }

    bool overrides(const MemberFact& fact, const MemberFact& known)
    {
        return std::make_tuple(fact.incarnation, fact.refutation, statePrecedence(fact.state))
            > std::make_tuple(known.incarnation, known.refutation, statePrecedence(known.state));
    }

    // Excludes the state, because suspicions are short-lived and need no anti-entropy.
    std::uint64_t hashOf(const MemberFact& fact)
    {
        return core::hashCombine(core::hashCombine(static_cast<std::uint64_t>(fact.id), static_cast<std::uint64_t>(fact.incarnation)), fact.refutation);
    }

}

Membership::Membership(MembershipOptions options, core::TimePoint now)
    : selfId(options.self.fact.id)
    , seeds(std::move(options.seeds))
    , prober(now)
    , nextLostPing(now + maxLostPingPeriod)
{
    std::erase(this->seeds, options.self.peerAddress);
    const MemberFact fact = options.self.fact;
    this->members.emplace(this->selfId, Member { .record = std::move(options.self) });
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    this->queueRumor(this->selfId, true, now);
}

void Membership::start(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->prober.reset(now);
    this->nextGossip = now;
    this->nextLostPing = this->nextLostPingTime(now, random);
    this->joined = this->seeds.empty();
    this->needsRejoin = !this->seeds.empty();
    if (!this->joined)
        this->join(now, random, outbox);
}

const MemberRecord* Membership::find(MemberId id) const
{
    auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second.record;
}

std::vector<const MemberRecord*> Membership::all() const
{
    std::vector<const MemberRecord*> result;
    result.reserve(this->members.size());
    for (const auto& [id, member] : this->members)
        result.push_back(&member.record);
    return result;
}

std::vector<const MemberRecord*> Membership::randomPeers(std::size_t count, core::RandomEngine& random) const
{
    std::vector<const MemberRecord*> result;
    std::vector<MemberId> ids;
    std::sample(this->liveIds.begin(), this->liveIds.end(), std::back_inserter(ids), static_cast<std::ptrdiff_t>(count), random);
    result.reserve(ids.size());
    for (MemberId id : ids)
        result.push_back(this->find(id));
    return result;
}

core::Duration Membership::suspicionTimeout() const
{
    return suspicionTimeoutBase + suspicionTimeoutPerDoubling * std::bit_width(this->liveCount());
}

// Enough sends for a rumor to reach every member with high probability; anti-entropy repairs the remaining cases.
int Membership::maxSendsPerRumor() const
{
    return 2 + 3 * std::bit_width(this->liveCount()) / 2;
}

Prober::LivePeers Membership::proberPeers() const
{
    return { .ids = this->liveIds, .addressOf = [this](MemberId id) {
                const MemberRecord* record = this->find(id);
                return record && isLive(record->fact.state) ? record->peerAddress : std::string();
            } };
}

core::TimePoint Membership::nextTimer() const
{
    return std::min({ this->prober.nextTimer(), this->nextDeadline, this->nextGossip, this->nextJoin, this->nextRejoin, this->nextLostPing, this->refreshDeadline });
}

void Membership::onTimer(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now >= this->refreshDeadline) {
        this->refreshing = false;
        this->refreshDeadline = core::TimePoint::max();
    }
    for (MemberId id : this->prober.onTimer(this->proberPeers(), now, random, outbox))
        this->suspectMember(id, now, outbox);
    if (now >= this->nextDeadline)
        this->expireDeadlines(now);
    if (now >= this->nextJoin)
        this->join(now, random, outbox);
    if (now >= this->nextGossip)
        this->sendRumors(now, random, outbox);
    if (now >= this->nextRejoin) {
        this->nextRejoin = core::TimePoint::max();
        for (const MemberRecord* peer : this->randomPeers(1, random))
            this->askToJoin(peer->peerAddress, outbox);
    }
    if (now >= this->nextLostPing)
        this->pingLostMembers(now, random, outbox);
}

void Membership::askToJoin(const std::string& address, Outbox& outbox) const
{
    outbox.push_back(outgoingMessage(address, Join {}, Transport::Stream));
    outbox.back().message.records.push_back(this->self());
}

void Membership::joinThrough(const std::vector<std::string>& addresses, Outbox& outbox) const
{
    for (const std::string& address : addresses)
        this->askToJoin(address, outbox);
}

// Sends join requests to a few random peers and seeds. Repeated by a timer until one of them answers.
void Membership::join(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    ++this->joinAttempts;
    std::vector<std::string> targets;
    for (const MemberRecord* peer : this->randomPeers(joinTargets - 1, random))
        targets.push_back(peer->peerAddress);
    std::sample(this->seeds.begin(), this->seeds.end(), std::back_inserter(targets), static_cast<std::ptrdiff_t>(joinTargets - targets.size()), random);
    for (const std::string& address : targets)
        this->askToJoin(address, outbox);
    // The first member of a fleet gets no answer. It counts as joined, so that it serves, and continues to ask.
    if (this->joinAttempts > unansweredJoinsBeforeServing)
        this->joined = true;
    this->nextJoin = now + (this->joinAttempts < fastJoinAttempts ? joinRetryInterval : slowJoinRetryInterval);
}

void Membership::onJoinReply(core::TimePoint now)
{
    this->joined = true;
    this->refreshing = false;
    this->refreshDeadline = core::TimePoint::max();
    this->nextJoin = core::TimePoint::max();
    this->joinAttempts = 0;
    if (std::exchange(this->needsRejoin, false))
        this->nextRejoin = now + rejoinDelay;
}

void Membership::refresh(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->prober.reset(now);
    for (auto& [id, member] : this->members) {
        if (member.record.fact.state == MemberState::Suspect)
            member.deadline = now + this->suspicionTimeout();
    }
    if (this->liveIds.empty() && this->seeds.empty())
        return;
    this->refreshing = true;
    this->refreshDeadline = now + maxRefreshTime;
    this->join(now, random, outbox);
}

core::Duration Membership::ownLostPingPeriod() const
{
    return std::min<core::Duration>(maxLostPingPeriod, lostPingPeriod * this->liveCount());
}

// A random time, because members that started together would otherwise ping together.
core::TimePoint Membership::nextLostPingTime(core::TimePoint now, core::RandomEngine& random) const
{
    return now + this->ownLostPingPeriod() * std::uniform_int_distribution<int>(50, 150)(random) / 100;
}

// Pings one random dead member and one random seed that is not a live member, in case a partition has ended.
void Membership::pingLostMembers(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->nextLostPing = this->nextLostPingTime(now, random);
    std::vector<const MemberRecord*> dead;
    std::vector<std::string> unknownSeeds = this->seeds;
    for (const auto& [id, member] : this->members) {
        if (member.record.fact.state == MemberState::Dead)
            dead.push_back(&member.record);
        else if (isLive(member.record.fact.state))
            std::erase(unknownSeeds, member.record.peerAddress);
    }
    if (!dead.empty()) {
        const MemberRecord* record = dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random)];
        this->prober.ping(record->peerAddress, { record->fact }, outbox);
    }
    if (!unknownSeeds.empty())
        this->prober.ping(unknownSeeds[std::uniform_int_distribution<std::size_t>(0, unknownSeeds.size() - 1)(random)], {}, outbox);
}

void Membership::suspectMember(MemberId id, core::TimePoint now, Outbox& outbox)
{
    Member& member = this->members.at(id);
    MemberFact fact = member.record.fact;
    fact.state = MemberState::Suspect;
    if (!overrides(fact, member.record.fact))
        return;
    this->updateMember(member, fact, now);
    this->prober.ping(member.record.peerAddress, { fact }, outbox);
}

// Declares members dead whose suspicion timed out, and removes dead and left members after deadRetention.
void Membership::expireDeadlines(core::TimePoint now)
{
    std::vector<MemberId> expired;
    for (const auto& [id, member] : this->members) {
        if (member.deadline <= now)
            expired.push_back(id);
    }
    for (MemberId id : expired) {
        Member& member = this->members.at(id);
        if (member.record.fact.state == MemberState::Suspect) {
            MemberFact fact = member.record.fact;
            fact.state = MemberState::Dead;
            this->updateMember(member, fact, now);
        } else {
            this->members.erase(id);
            this->rumors.erase(id);
            ++this->changeCount;
        }
    }
    std::erase_if(this->missingRecords, [&](const auto& asked) { return asked.second + 10 * recordRetryInterval < now; });
    this->nextDeadline = core::TimePoint::max();
    for (const auto& [id, member] : this->members)
        this->nextDeadline = std::min(this->nextDeadline, member.deadline);
}

void Membership::announce(MemberState state, core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    Member& own = this->members.at(this->selfId);
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(own.record.fact));
    ++own.record.fact.refutation;
    own.record.fact.state = state;
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(own.record.fact));
    ++this->changeCount;
    this->queueRumor(this->selfId, false, now);
    for (const MemberRecord* peer : this->randomPeers(announceTargets, random))
        this->prober.ping(peer->peerAddress, { own.record.fact }, outbox);
}

void Membership::addLive(const MemberFact& fact)
{
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    this->liveIndex[fact.id] = this->liveIds.size();
    this->liveIds.push_back(fact.id);
}

void Membership::removeLive(const MemberFact& fact)
{
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    const std::size_t position = this->liveIndex.at(fact.id);
    this->liveIds[position] = this->liveIds.back();
    this->liveIndex[this->liveIds[position]] = position;
    this->liveIds.pop_back();
    this->liveIndex.erase(fact.id);
}

void Membership::addMember(const MemberRecord& record, core::TimePoint now)
{
    Member& member = this->members.emplace(record.fact.id, Member { .record = record }).first->second;
    this->addLive(record.fact);
    this->missingRecords.erase(record.fact.id);
    this->updateMember(member, record.fact, now);
    this->queueRumor(record.fact.id, true, now);
}

void Membership::updateMember(Member& member, const MemberFact& fact, core::TimePoint now)
{
    if (isLive(member.record.fact.state))
        this->removeLive(member.record.fact);
    member.record.fact = fact;
    if (isLive(fact.state))
        this->addLive(fact);
    member.deadline = core::TimePoint::max();
    if (fact.state == MemberState::Suspect)
        member.deadline = now + this->suspicionTimeout();
    else if (!isLive(fact.state)) {
        member.deadline = now + deadRetention;
        this->nextLostPing = std::min(this->nextLostPing, now + this->ownLostPingPeriod());
    }
    this->nextDeadline = std::min(this->nextDeadline, member.deadline);
    this->queueRumor(fact.id, false, now);
    ++this->changeCount;
}

void Membership::applyFactAboutSelf(const MemberFact& fact, core::TimePoint now)
{
    Member& own = this->members.at(this->selfId);
    MemberFact& known = own.record.fact;
    if (fact.incarnation > known.incarnation)
        this->superseded = true;
    if (fact.incarnation != known.incarnation || known.state == MemberState::Left || !overrides(fact, known))
        return;
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(known));
    known.refutation = fact.refutation + 1;
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(known));
    ++this->changeCount;
    this->queueRumor(this->selfId, false, now);
}

void Membership::applyFact(const MemberFact& fact, const MemberRecord* record, bool isNews, core::TimePoint now)
{
    if (fact.id == this->selfId) {
        this->applyFactAboutSelf(fact, now);
        return;
    }
    auto known = this->members.find(fact.id);
    const bool isNewIncarnation = known == this->members.end() || fact.incarnation > known->second.record.fact.incarnation;
    if (isNewIncarnation && !record) {
        if (isLive(fact.state))
            this->missingRecords.try_emplace(fact.id, core::TimePoint::min());
        return;
    }
    if (known == this->members.end()) {
        if (isLive(fact.state))
            this->addMember(*record, now);
        if (!isNews)
            this->rumors.erase(fact.id);
        return;
    }
    Member& member = known->second;
    MemberFact effectiveFact = fact;
    // A member that is not suspected here is reported dead: the report comes from the other side of a partition or
    // overtook the suspicion. The member becomes a suspect first, so that it has time to refute.
    if (effectiveFact.state == MemberState::Dead && isLive(member.record.fact.state) && member.record.fact.state != MemberState::Suspect)
        effectiveFact.state = MemberState::Suspect;
    if (!overrides(effectiveFact, member.record.fact)) {
        if (effectiveFact == member.record.fact)
            this->countRumorReceived(fact.id);
        return;
    }
    if (isNewIncarnation) {
        const MemberFact before = member.record.fact;
        member.record = *record;
        member.record.fact = before;
    }
    this->updateMember(member, effectiveFact, now);
    if (isNewIncarnation)
        this->queueRumor(fact.id, true, now);
}

}
