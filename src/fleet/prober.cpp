#include "fleet/prober.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration probePeriod = 1s;
    // Longer than an indirect round trip between the farthest regions (4 x 55 ms) with a delayed timer.
    constexpr core::Duration stepTime = 450ms;
    constexpr int directSteps = 3;
    constexpr int firstIndirectStep = 2;
    constexpr int lastStep = 4;
    constexpr std::size_t helpersPerStep = 3;
    constexpr core::Duration relayTime = 2s;
    constexpr std::size_t relayLimit = 256; // bounds the memory that requests of others take

}

Prober::Prober(core::TimePoint now)
    : nextStart(now + probePeriod)
{
}

// Takes the next member in the order that is still live; shuffles a new round when the order is used up.
std::optional<Prober::Target> Prober::nextTarget(const View& view, core::RandomEngine& random)
{
    if (this->order.empty()) {
        this->order = view.live;
        std::shuffle(this->order.begin(), this->order.end(), random);
    }
    while (!this->order.empty()) {
        const MemberId id = this->order.back();
        this->order.pop_back();
        std::string address = view.addressOf(id);
        if (!address.empty())
            return Target { .id = id, .address = std::move(address) };
    }
    return std::nullopt;
}

void Prober::askOthers(const Probe& probe, const View& view, core::RandomEngine& random, Outbox& outbox)
{
    std::vector<MemberId> helpers;
    std::sample(view.live.begin(), view.live.end(), std::back_inserter(helpers), helpersPerStep + 1, random);
    std::erase(helpers, probe.target.id);
    for (std::size_t i = 0; i < std::min(helpersPerStep, helpers.size()); ++i)
        outbox.push_back(outgoingMessage(view.addressOf(helpers[i]), PingRequest { .sequence = probe.sequence, .target = probe.target.id, .address = probe.target.address }));
}

// Does the next step of a probe. Returns false when the probe failed.
bool Prober::advance(Probe& probe, const View& view, core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (probe.step == lastStep)
        return false;
    if (probe.step < directSteps)
        outbox.push_back(outgoingMessage(probe.target.address, Ping { probe.sequence }));
    if (probe.step >= firstIndirectStep)
        askOthers(probe, view, random, outbox);
    ++probe.step;
    probe.next = now + stepTime;
    return true;
}

std::vector<MemberId> Prober::onTimer(const View& view, core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now >= this->nextStart) {
        this->nextStart = std::max(this->nextStart + probePeriod, now + probePeriod / 2);
        if (auto target = this->nextTarget(view, random))
            this->probes.push_back({ .target = *target, .sequence = this->nextSequence++, .next = now });
    }
    std::vector<MemberId> failed;
    std::erase_if(this->probes, [&](Probe& probe) {
        if (view.addressOf(probe.target.id).empty())
            return true;
        if (probe.next > now || this->advance(probe, view, now, random, outbox))
            return false;
        failed.push_back(probe.target.id);
        return true;
    });
    std::erase_if(this->relays, [&](const Relay& relay) { return relay.expires <= now; });
    return failed;
}

core::TimePoint Prober::nextTimer() const
{
    core::TimePoint next = this->nextStart;
    for (const Probe& probe : this->probes)
        next = std::min(next, probe.next);
    return next;
}

void Prober::ping(const std::string& address, const std::vector<MemberFact>& facts, Outbox& outbox)
{
    outbox.push_back(outgoingMessage(address, Ping { this->nextSequence++ }));
    outbox.back().message.facts = facts;
}

void Prober::onAck(const Ack& ack, Outbox& outbox)
{
    // Another process may have taken the address of the member that was pinged, so the sequence is not enough.
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
    if (this->relays.size() >= relayLimit)
        return;
    const std::uint32_t sequence = this->nextSequence++;
    this->relays.push_back({ .sequence = sequence, .requesterSequence = request.sequence, .target = request.target, .requester = context.replyAddress(), .expires = now + relayTime });
    context.outbox->push_back(outgoingMessage(request.address, Ping { sequence }));
}

void Prober::onHeard(MemberId id)
{
    std::erase_if(this->probes, [&](const Probe& probe) { return probe.target.id == id; });
}

void Prober::reset(core::TimePoint now)
{
    this->probes.clear();
    this->nextStart = now + probePeriod;
}

}
