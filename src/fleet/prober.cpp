#include "fleet/prober.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration probePeriod = 1s;
    // Longer than an indirect round trip between the farthest regions (4 x 55 ms) plus a delayed timer.
    constexpr core::Duration stepTimeout = 450ms;
    constexpr int directSteps = 3;
    constexpr int firstIndirectStep = 2;
    constexpr int stepCount = 4;
    constexpr std::size_t helpersPerIndirectStep = 3;
    constexpr core::Duration relayLifetime = 2s;
    constexpr std::size_t maxRelays = 256; // bounds the memory for requests of other members

}

Prober::Prober(core::TimePoint now)
    : nextProbe(now + probePeriod)
{
}

// Takes the next member of the round that is still live; shuffles a new round when the current one is complete.
std::optional<Prober::Target> Prober::nextTarget(const LivePeers& livePeers, core::RandomEngine& random)
{
    if (this->probeOrder.empty()) {
        this->probeOrder = livePeers.ids;
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), random);
    }
    while (!this->probeOrder.empty()) {
        const MemberId id = this->probeOrder.back();
        this->probeOrder.pop_back();
        std::string address = livePeers.addressOf(id);
        if (!address.empty())
            return Target { .id = id, .address = std::move(address) };
    }
    return std::nullopt;
}

void Prober::sendPingRequests(const Probe& probe, const LivePeers& livePeers, core::RandomEngine& random, Outbox& outbox)
{
    std::vector<MemberId> helpers;
    std::sample(livePeers.ids.begin(), livePeers.ids.end(), std::back_inserter(helpers), helpersPerIndirectStep + 1, random);
    std::erase(helpers, probe.target.id);
    for (std::size_t i = 0; i < std::min(helpersPerIndirectStep, helpers.size()); ++i)
        outbox.push_back(outgoingMessage(livePeers.addressOf(helpers[i]), PingRequest { .sequence = probe.sequence, .target = probe.target.id, .address = probe.target.address }));
}

// Sends the pings of a probe's next step. Returns false if the probe failed.
bool Prober::advance(Probe& probe, const LivePeers& livePeers, core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (probe.stepsSent == stepCount)
        return false;
    if (probe.stepsSent < directSteps)
        outbox.push_back(outgoingMessage(probe.target.address, Ping { probe.sequence }));
    if (probe.stepsSent >= firstIndirectStep)
        sendPingRequests(probe, livePeers, random, outbox);
    ++probe.stepsSent;
    probe.nextStepAt = now + stepTimeout;
    return true;
}

std::vector<MemberId> Prober::onTimer(const LivePeers& livePeers, core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now >= this->nextProbe) {
        this->nextProbe = std::max(this->nextProbe + probePeriod, now + probePeriod / 2);
        if (auto target = this->nextTarget(livePeers, random))
            this->probes.push_back({ .target = *target, .sequence = this->nextSequence++, .nextStepAt = now });
    }
    std::vector<MemberId> failed;
    std::erase_if(this->probes, [&](Probe& probe) {
        if (livePeers.addressOf(probe.target.id).empty())
            return true;
        if (probe.nextStepAt > now || this->advance(probe, livePeers, now, random, outbox))
            return false;
        failed.push_back(probe.target.id);
        return true;
    });
    std::erase_if(this->relays, [&](const Relay& relay) { return relay.expiresAt <= now; });
    return failed;
}

core::TimePoint Prober::nextTimer() const
{
    core::TimePoint next = this->nextProbe;
    for (const Probe& probe : this->probes)
        next = std::min(next, probe.nextStepAt);
    return next;
}

void Prober::ping(const std::string& address, const std::vector<MemberFact>& facts, Outbox& outbox)
{
    outbox.push_back(outgoingMessage(address, Ping { this->nextSequence++ }));
    outbox.back().message.facts = facts;
}

void Prober::onAck(const Ack& ack, Outbox& outbox)
{
    // Compares the member as well as the sequence, because another process may have taken the pinged address.
    std::erase_if(this->probes, [&](const Probe& probe) { return probe.sequence == ack.sequence && probe.target.id == ack.from; });
    std::erase_if(this->relays, [&](const Relay& relay) {
        if (relay.sequence != ack.sequence || relay.target != ack.from)
            return false;
        outbox.push_back(outgoingMessage(relay.requester, Ack { .sequence = relay.requesterSequence, .from = ack.from }));
        return true;
    });
}

void Prober::onPingRequest(Context& context, const PingRequest& request, core::TimePoint now)
{
    if (this->relays.size() >= maxRelays)
        return;
    const std::uint32_t sequence = this->nextSequence++;
    this->relays.push_back({ .sequence = sequence, .requesterSequence = request.sequence, .target = request.target, .requester = context.replyAddress(), .expiresAt = now + relayLifetime });
    context.outbox->push_back(outgoingMessage(request.address, Ping { sequence }));
}

void Prober::onMessageFrom(MemberId id)
{
    std::erase_if(this->probes, [&](const Probe& probe) { return probe.target.id == id; });
}

void Prober::reset(core::TimePoint now)
{
    this->probes.clear();
    this->nextProbe = now + probePeriod;
}

}
