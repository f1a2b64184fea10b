#include "fleet/pipeline.h"

#include "core/hash.h"
#include "fleet/rendezvous.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration maxTimerDelay = 2s;
    constexpr core::Duration syncPeriod = 1s;
    // After a join, two members are asked for their catalogue of objects, in case one of them does not answer.
    constexpr int cataloguesPerJoin = 2;

    MemberRecord recordOf(const NodeOptions& options)
    {
        return { .fact = { .id = MemberId { core::hashBytes(options.name) }, .incarnation = options.incarnation },
            .name = options.name,
            .peerAddress = options.peerAddress,
            .callerAddress = options.callerAddress,
            .region = options.region,
            .domain = options.domain };
    }

    // Whether a message with this body is small enough for gossip in the same datagram.
    bool canCarryGossip(const Body& body)
    {
        return std::holds_alternative<Ping>(body) || std::holds_alternative<Ack>(body) || std::holds_alternative<PingRequest>(body)
            || std::holds_alternative<Sync>(body) || std::holds_alternative<Join>(body) || std::holds_alternative<JoinReply>(body);
    }

}

Step CheckSender::operator()(Context context, core::TimePoint) const
{
    if (context.received.message.fleet != this->fleet)
        return Step::end(DropReason::OtherFleet);
    if (context.received.message.sender == this->self)
        return Step::end(DropReason::OwnMessage);
    return Step::pass(std::move(context));
}

Step UpdateMembership::operator()(Context context, core::TimePoint now) const
{
    this->membership.handle(context, now, this->random);
    return Step::pass(std::move(context));
}

Step UpdateObjects::operator()(Context context, core::TimePoint now) const
{
    this->objects.handle(context, now, this->random);
    return Step::pass(std::move(context));
}

Step UpdateDigests::operator()(Context context, core::TimePoint now) const
{
    this->digests.handle(context, now);
    return Step::pass(std::move(context));
}

Step UpdateConfirmations::operator()(Context context, core::TimePoint now) const
{
    this->confirmations.handle(context.received.message, now);
    return Step::pass(std::move(context));
}

Step AddHeaders::operator()(Context context, core::TimePoint now) const
{
    this->addTo(*context.outbox, now);
    return Step::pass(std::move(context));
}

void AddHeaders::addTo(Outbox& outbox, core::TimePoint now) const
{
    const MemberRecord& self = this->membership.self();
    for (OutgoingMessage& out : outbox) {
        if (out.message.sender == self.fact.id)
            continue;
        out.message.fleet = this->fleet;
        out.message.sender = self.fact.id;
        if (out.transport == Transport::Stream)
            out.message.senderAddress = self.peerAddress;
        if (canCarryGossip(out.message.body))
            this->membership.piggyback(out.message);
        this->confirmations.addTo(out.message, now);
    }
}

Node::Node(const NodeOptions& options, core::TimePoint now)
    : random(options.randomSeed)
    , membership({ .self = recordOf(options), .seeds = options.seeds }, now)
    , objects(this->membership)
    , digests(this->membership, now)
    , pipe(CheckSender { .fleet = core::hashBytes(options.fleet), .self = this->membership.self().fact.id },
          UpdateMembership { .membership = this->membership, .random = this->random },
          UpdateObjects { .objects = this->objects, .random = this->random },
          UpdateDigests { .digests = this->digests },
          UpdateConfirmations { .confirmations = this->confirmations },
          AddHeaders { .fleet = core::hashBytes(options.fleet), .membership = this->membership, .confirmations = this->confirmations })
    , addHeaders { .fleet = core::hashBytes(options.fleet), .membership = this->membership, .confirmations = this->confirmations }
    , nextSync(now)
{
}

void Node::start(core::TimePoint now, Outbox& outbox)
{
    this->isStarted = true;
    this->cataloguesToRequest = cataloguesPerJoin;
    // Spreads the syncs of members that start together over the period.
    this->nextSync = now + syncPeriod * std::uniform_int_distribution<int>(1, 100)(this->random) / 100;
    this->membership.start(now, this->random, outbox);
    this->addHeaders.addTo(outbox, now);
}

// A late timer means that this process was paused and that its view is outdated. It asks peers for the current state
// before it suspects any member or declares one dead.
void Node::refreshAfterPause(core::TimePoint now, Outbox& outbox)
{
    if (!this->isStarted || now <= this->nextTimer() + maxTimerDelay)
        return;
    this->cataloguesToRequest = cataloguesPerJoin;
    this->membership.refresh(now, this->random, outbox);
    this->nextSync = now;
}

void Node::handle(ReceivedMessage received, core::TimePoint now, Outbox& outbox)
{
    if (this->isStarted && now > this->nextTimer() + maxTimerDelay)
        this->onTimer(now, outbox);
    const bool isJoinReply = std::holds_alternative<JoinReply>(received.message.body);
    auto result = this->pipe(Context { .received = std::move(received), .outbox = &outbox }, now);
    if (isJoinReply && !result.ended() && this->cataloguesToRequest > 0) {
        --this->cataloguesToRequest;
        Objects::requestCatalogue(result.output().replyAddress(), outbox);
    }
    this->addHeaders.addTo(outbox, now);
}

void Node::onTimer(core::TimePoint now, Outbox& outbox)
{
    this->refreshAfterPause(now, outbox);
    this->membership.onTimer(now, this->random, outbox);
    this->objects.onTimer(now, this->random, outbox);
    this->digests.onTimer(now, this->random, outbox);
    if (now >= this->nextSync)
        this->sendSync(now, outbox);
    this->addHeaders.addTo(outbox, now);
}

// Starts anti-entropy with a random member.
void Node::sendSync(core::TimePoint now, Outbox& outbox)
{
    this->nextSync = now + syncPeriod;
    for (const MemberRecord* peer : this->membership.randomPeers(1, this->random))
        outbox.push_back(outgoingMessage(peer->peerAddress, Sync { .members = this->membership.hash(), .objects = this->objects.hash(), .digests = this->digests.ages(now) }));
}

core::TimePoint Node::nextTimer() const
{
    return std::min({ this->membership.nextTimer(), this->objects.nextTimer(), this->digests.nextTimer(), this->nextSync });
}

bool Node::publish(core::Object object, core::TimePoint now, Propagation propagation)
{
    return this->objects.publish(std::move(object), propagation, now);
}

void Node::joinThrough(const std::vector<std::string>& addresses, core::TimePoint now, Outbox& outbox)
{
    this->membership.joinThrough(addresses, outbox);
    this->addHeaders.addTo(outbox, now);
}

void Node::publish(const Item& item, core::TimePoint now)
{
    this->objects.publish(item, now);
}

void Node::setLoad(const core::DomainDigest& load, core::TimePoint now)
{
    this->digests.setLoad(load, now);
}

void Node::announceLeaving(core::TimePoint now, Outbox& outbox)
{
    this->membership.announce(core::MemberState::Leaving, now, this->random, outbox);
    this->addHeaders.addTo(outbox, now);
}

void Node::announceLeft(core::TimePoint now, Outbox& outbox)
{
    this->membership.announce(core::MemberState::Left, now, this->random, outbox);
    this->addHeaders.addTo(outbox, now);
}

Snapshot Node::snapshot(core::TimePoint now) const
{
    Snapshot result;
    const MemberRecord& self = this->membership.self();
    const std::vector<const MemberRecord*> members = this->membership.all();
    const std::vector<MemberId> watching = storeWatchers(members, self.domain);
    result.self = self.fact.id;
    result.hasJoined = this->membership.hasJoined();
    result.isRefreshing = this->membership.isRefreshing();
    result.isSuperseded = this->membership.isSuperseded();
    result.isStoreWatcher = std::find(watching.begin(), watching.end(), self.fact.id) != watching.end();
    for (const MemberRecord* member : members)
        result.members.push_back(*member);
    std::sort(result.members.begin(), result.members.end(), [](const auto& left, const auto& right) { return left.name < right.name; });
    result.objects = this->objects.objects();
    result.items = this->objects.items(now);
    result.digests = this->digests.digests();
    return result;
}

ChangeCounts Node::changes() const
{
    return { .members = this->membership.changes(), .objects = this->objects.changes(), .digests = this->digests.changes() };
}

}
