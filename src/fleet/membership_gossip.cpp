#include "fleet/membership.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

// Gossip of facts in Membership.

namespace {

    constexpr core::Duration gossipInterval = 200ms;
    constexpr std::size_t gossipFanout = 3;
    // Piggybacked facts take at most 400 bytes of a datagram, and so do records. The limit on facts is that high
    // because a failure domain of 35 members can fail at once; while no facts are queued they take no bytes.
    constexpr std::size_t maxFactsPerMessage = 16;
    constexpr std::size_t maxRecordsPerMessage = 3;

}

void Membership::queueRumor(MemberId id, bool withRecord, core::TimePoint now)
{
    this->rumors[id] = { .sends = 0, .withRecord = withRecord };
    this->nextGossip = std::min(this->nextGossip, std::max(now, this->lastGossip + gossipInterval));
}

// Sends queued rumors to a few random members. Probes carry rumors too, but one probe per second is too slow: the
// suspicion timeout of a suspect is running, and callers are still sent to members that are dead or leaving.
void Membership::sendRumors(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->lastGossip = now;
    for (const MemberRecord* peer : this->randomPeers(gossipFanout, random)) {
        if (this->rumors.empty())
            break;
        outbox.push_back(outgoingMessage(peer->peerAddress, Records {}));
        this->piggyback(outbox.back().message);
    }
    this->nextGossip = this->rumors.empty() || this->liveIds.empty() ? core::TimePoint::max() : now + gossipInterval;
}

// Counts a rumor that was received from another member as one send, since that member spreads it as well.
void Membership::countRumorReceived(MemberId id)
{
    auto rumor = this->rumors.find(id);
    if (rumor != this->rumors.end() && ++rumor->second.sends >= this->maxSendsPerRumor())
        this->rumors.erase(rumor);
}

void Membership::piggyback(Message& message)
{
    std::vector<std::pair<int, MemberId>> order;
    order.reserve(this->rumors.size());
    for (const auto& [id, rumor] : this->rumors)
        order.emplace_back(rumor.sends, id);
    const std::size_t count = std::min(maxFactsPerMessage, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    const int limit = this->maxSendsPerRumor();
    for (std::size_t i = 0; i < count; ++i) {
        const MemberId id = order[i].second;
        Rumor& rumor = this->rumors.at(id);
        const MemberRecord& record = this->members.at(id).record;
        if (rumor.withRecord && message.records.size() < maxRecordsPerMessage)
            message.records.push_back(record);
        else
            message.facts.push_back(record.fact);
        if (++rumor.sends >= limit)
            this->rumors.erase(id);
    }
}

}
