#include "fleet/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;
using core::MemberState;

namespace {

    // A suspect has this long to refute, and more for each doubling of the fleet, for which gossip takes one
    // more round each way.
    constexpr core::Duration suspicionBase = 3s;
    constexpr core::Duration suspicionPerDoubling = 300ms;
    constexpr core::Duration deadMemory = 1h;
    // Regions that lost each other find each other again this soon, with one datagram per member and period.
    constexpr core::Duration revisitPeriod = 10s;
    constexpr core::Duration joinRetry = 1s;
    constexpr core::Duration joinRetryLong = 5s;
    // When many members start together, the first answers name few of them.
    constexpr core::Duration joinRepeat = 2s;
    constexpr int quickJoinAttempts = 5;
    constexpr int attemptsBeforeAlone = 3;
    constexpr std::size_t joinTargets = 3;
    constexpr core::Duration refreshLimit = 5s;
    constexpr core::Duration askAgain = 1s;
    constexpr std::size_t announceTargets = 4;

    // Orders statements of one incarnation and refutation: what others say outdoes what the member said.
    int rank(MemberState state)
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

    bool outdoes(const MemberFact& fact, const MemberFact& known)
    {
        return std::make_tuple(fact.incarnation, fact.refutation, rank(fact.state))
            > std::make_tuple(known.incarnation, known.refutation, rank(known.state));
    }

    // The suspicion is left out: it comes and goes, and does not need anti-entropy.
    std::uint64_t hashOf(const MemberFact& fact)
    {
        return core::hashCombine(core::hashCombine(static_cast<std::uint64_t>(fact.id), static_cast<std::uint64_t>(fact.incarnation)), fact.refutation);
    }

}

Membership::Membership(MembershipOptions options, core::TimePoint now)
    : selfId(options.self.fact.id)
    , seeds(std::move(options.seeds))
    , prober(now)
    , nextRevisit(now + revisitPeriod)
{
    std::erase(this->seeds, options.self.peerAddress);
    const MemberFact fact = options.self.fact;
    this->members.emplace(this->selfId, Member { .record = std::move(options.self) });
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    this->spread(this->selfId, true, now);
}

void Membership::start(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->prober.reset(now);
    this->nextRound = now;
    this->nextRevisit = now + revisitPeriod;
    this->hasJoined = this->seeds.empty();
    this->joinAgain = !this->seeds.empty();
    if (!this->hasJoined)
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
    std::sample(this->live.begin(), this->live.end(), std::back_inserter(ids), static_cast<std::ptrdiff_t>(count), random);
    result.reserve(ids.size());
    for (MemberId id : ids)
        result.push_back(this->find(id));
    return result;
}

core::Duration Membership::suspicionTime() const
{
    return suspicionBase + suspicionPerDoubling * std::bit_width(this->liveCount());
}

// Enough for every member to hear a rumor with near certainty; anti-entropy repairs the rest.
int Membership::sendLimit() const
{
    return 2 + 3 * std::bit_width(this->liveCount()) / 2;
}

Prober::View Membership::proberView() const
{
    return { .live = this->live, .addressOf = [this](MemberId id) {
                const MemberRecord* record = this->find(id);
                return record && isLive(record->fact.state) ? record->peerAddress : std::string();
            } };
}

core::TimePoint Membership::nextTimer() const
{
    return std::min({ this->prober.nextTimer(), this->nextDeadline, this->nextRound, this->nextJoin, this->nextRepeat, this->nextRevisit, this->refreshEnds });
}

void Membership::onTimer(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now >= this->refreshEnds) {
        this->isRefreshing = false;
        this->refreshEnds = core::TimePoint::max();
    }
    for (MemberId id : this->prober.onTimer(this->proberView(), now, random, outbox))
        this->suspect(id, now, outbox);
    if (now >= this->nextDeadline)
        this->expire(now);
    if (now >= this->nextJoin)
        this->join(now, random, outbox);
    if (now >= this->nextRound)
        this->tell(now, random, outbox);
    if (now >= this->nextRepeat) {
        this->nextRepeat = core::TimePoint::max();
        for (const MemberRecord* peer : this->randomPeers(1, random))
            this->askToJoin(peer->peerAddress, outbox);
    }
    if (now >= this->nextRevisit)
        this->revisitLost(now, random, outbox);
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

// Asks a few peers or seeds for the whole membership, until one answers.
void Membership::join(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    ++this->joinAttempts;
    std::vector<std::string> targets;
    for (const MemberRecord* peer : this->randomPeers(joinTargets - 1, random))
        targets.push_back(peer->peerAddress);
    std::sample(this->seeds.begin(), this->seeds.end(), std::back_inserter(targets), static_cast<std::ptrdiff_t>(joinTargets - targets.size()), random);
    for (const std::string& address : targets)
        this->askToJoin(address, outbox);
    // A first member finds nobody. It serves, and goes on asking.
    if (this->joinAttempts > attemptsBeforeAlone)
        this->hasJoined = true;
    this->nextJoin = now + (this->joinAttempts < quickJoinAttempts ? joinRetry : joinRetryLong);
}

void Membership::onJoinReply(core::TimePoint now)
{
    this->hasJoined = true;
    this->isRefreshing = false;
    this->refreshEnds = core::TimePoint::max();
    this->nextJoin = core::TimePoint::max();
    this->joinAttempts = 0;
    if (std::exchange(this->joinAgain, false))
        this->nextRepeat = now + joinRepeat;
}

void Membership::refresh(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->prober.reset(now);
    for (auto& [id, member] : this->members) {
        if (member.record.fact.state == MemberState::Suspect)
            member.deadline = now + this->suspicionTime();
    }
    if (this->live.empty() && this->seeds.empty())
        return;
    this->isRefreshing = true;
    this->refreshEnds = now + refreshLimit;
    this->join(now, random, outbox);
}

// Pings one member that is held for dead and one seed that is not a live member: a partition may have ended.
void Membership::revisitLost(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->nextRevisit = now + revisitPeriod;
    std::vector<const MemberRecord*> dead;
    std::vector<std::string> strangers = this->seeds;
    for (const auto& [id, member] : this->members) {
        if (member.record.fact.state == MemberState::Dead)
            dead.push_back(&member.record);
        else if (isLive(member.record.fact.state))
            std::erase(strangers, member.record.peerAddress);
    }
    if (!dead.empty()) {
        const MemberRecord* record = dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random)];
        this->prober.ping(record->peerAddress, { record->fact }, outbox);
    }
    if (!strangers.empty())
        this->prober.ping(strangers[std::uniform_int_distribution<std::size_t>(0, strangers.size() - 1)(random)], {}, outbox);
}

void Membership::suspect(MemberId id, core::TimePoint now, Outbox& outbox)
{
    Member& member = this->members.at(id);
    MemberFact fact = member.record.fact;
    fact.state = MemberState::Suspect;
    if (!outdoes(fact, member.record.fact))
        return;
    this->change(member, fact, now);
    this->prober.ping(member.record.peerAddress, { fact }, outbox);
}

// Declares suspects dead whose time is up, and forgets the dead and left ones.
void Membership::expire(core::TimePoint now)
{
    std::vector<MemberId> due;
    for (const auto& [id, member] : this->members) {
        if (member.deadline <= now)
            due.push_back(id);
    }
    for (MemberId id : due) {
        Member& member = this->members.at(id);
        if (member.record.fact.state == MemberState::Suspect) {
            MemberFact fact = member.record.fact;
            fact.state = MemberState::Dead;
            this->change(member, fact, now);
        } else {
            this->members.erase(id);
            this->rumors.erase(id);
            ++this->changeCount;
        }
    }
    std::erase_if(this->unknown, [&](const auto& asked) { return asked.second + 10 * askAgain < now; });
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
    this->spread(this->selfId, false, now);
    for (const MemberRecord* peer : this->randomPeers(announceTargets, random))
        this->prober.ping(peer->peerAddress, { own.record.fact }, outbox);
}

void Membership::enter(const MemberFact& fact)
{
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    this->livePosition[fact.id] = this->live.size();
    this->live.push_back(fact.id);
}

void Membership::exit(const MemberFact& fact)
{
    this->hashes.toggle(static_cast<std::uint64_t>(fact.id), hashOf(fact));
    const std::size_t position = this->livePosition.at(fact.id);
    this->live[position] = this->live.back();
    this->livePosition[this->live[position]] = position;
    this->live.pop_back();
    this->livePosition.erase(fact.id);
}

void Membership::insert(const MemberRecord& record, core::TimePoint now)
{
    Member& member = this->members.emplace(record.fact.id, Member { .record = record }).first->second;
    this->enter(record.fact);
    this->unknown.erase(record.fact.id);
    this->change(member, record.fact, now);
    this->spread(record.fact.id, true, now);
}

void Membership::change(Member& member, const MemberFact& fact, core::TimePoint now)
{
    if (isLive(member.record.fact.state))
        this->exit(member.record.fact);
    member.record.fact = fact;
    if (isLive(fact.state))
        this->enter(fact);
    member.deadline = core::TimePoint::max();
    if (fact.state == MemberState::Suspect)
        member.deadline = now + this->suspicionTime();
    else if (!isLive(fact.state))
        member.deadline = now + deadMemory;
    this->nextDeadline = std::min(this->nextDeadline, member.deadline);
    this->spread(fact.id, false, now);
    ++this->changeCount;
}

void Membership::learnOfSelf(const MemberFact& fact, core::TimePoint now)
{
    Member& own = this->members.at(this->selfId);
    MemberFact& known = own.record.fact;
    if (fact.incarnation > known.incarnation)
        this->isSuperseded = true;
    if (fact.incarnation != known.incarnation || known.state == MemberState::Left || !outdoes(fact, known))
        return;
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(known));
    known.refutation = fact.refutation + 1;
    this->hashes.toggle(static_cast<std::uint64_t>(this->selfId), hashOf(known));
    ++this->changeCount;
    this->spread(this->selfId, false, now);
}

void Membership::learn(const MemberFact& fact, const MemberRecord* record, bool news, core::TimePoint now)
{
    if (fact.id == this->selfId) {
        this->learnOfSelf(fact, now);
        return;
    }
    auto known = this->members.find(fact.id);
    const bool newStart = known == this->members.end() || fact.incarnation > known->second.record.fact.incarnation;
    if (newStart && !record) {
        if (isLive(fact.state))
            this->unknown.try_emplace(fact.id, core::TimePoint::min());
        return;
    }
    if (known == this->members.end()) {
        if (isLive(fact.state))
            this->insert(*record, now);
        if (!news)
            this->rumors.erase(fact.id);
        return;
    }
    Member& member = known->second;
    MemberFact heard = fact;
    // A death that was not preceded by a suspicion here comes from the other side of a partition, or
    // overtook the suspicion. The member gets its time to refute.
    if (heard.state == MemberState::Dead && isLive(member.record.fact.state) && member.record.fact.state != MemberState::Suspect)
        heard.state = MemberState::Suspect;
    if (!outdoes(heard, member.record.fact)) {
        if (heard == member.record.fact)
            this->hearAgain(fact.id);
        return;
    }
    if (newStart) {
        const MemberFact before = member.record.fact;
        member.record = *record;
        member.record.fact = before;
    }
    this->change(member, heard, now);
    if (newStart)
        this->spread(fact.id, true, now);
}

}
