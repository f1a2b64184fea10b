#include "fleet/membership.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;
using core::MemberState;

// Handling of received messages in Membership.

namespace {

    constexpr core::Duration recordRetryInterval = 1s;
    constexpr std::size_t maxIdsPerRequest = 24;
    constexpr std::size_t maxRecordsPerDatagram = 6; // about 120 bytes each
    constexpr std::size_t maxFactsPerDatagram = 40; // 24 bytes each

    void sendRecords(Context& context, const std::vector<MemberRecord>& records, const std::vector<MemberFact>& facts)
    {
        for (std::size_t first = 0; first < records.size(); first += maxRecordsPerDatagram) {
            context.reply(Records {});
            const std::size_t last = std::min(first + maxRecordsPerDatagram, records.size());
            context.outbox->back().message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(first), records.begin() + static_cast<std::ptrdiff_t>(last));
        }
        for (std::size_t first = 0; first < facts.size(); first += maxFactsPerDatagram) {
            context.reply(Records {});
            const std::size_t last = std::min(first + maxFactsPerDatagram, facts.size());
            context.outbox->back().message.facts.assign(facts.begin() + static_cast<std::ptrdiff_t>(first), facts.begin() + static_cast<std::ptrdiff_t>(last));
        }
    }

}

void Membership::handle(Context& context, core::TimePoint now, core::RandomEngine& random)
{
    this->applyHeader(context, now);
    this->prober.onMessageFrom(context.received.message.sender);
    this->handleProbeMessages(context, now);
    if (context.body<Join>())
        this->answerJoin(context);
    else if (context.body<JoinReply>())
        this->onJoinReply(now);
    else if (const auto* wanted = context.body<RecordsWanted>())
        this->answerRecordsWanted(context, *wanted);
    else if (const auto* sync = context.body<Sync>())
        this->answerSync(context, *sync);
    else if (const auto* buckets = context.body<Buckets>())
        this->answerBuckets(context, *buckets, random);
    else if (const auto* bucket = context.body<MemberBucket>()) {
        for (const MemberFact& fact : bucket->facts)
            this->applyFact(fact, nullptr, true, now);
        this->answerBucket(context, *bucket);
    }
    this->requestMissingRecords(context, now);
}

void Membership::applyHeader(Context& context, core::TimePoint now)
{
    const Message& message = context.received.message;
    // The fleet already knows the members in a join reply, so they are not gossiped.
    const bool isNews = !context.body<JoinReply>();
    for (const MemberRecord& record : message.records)
        this->applyFact(record.fact, &record, isNews, now);
    for (const MemberFact& fact : message.facts)
        this->applyFact(fact, nullptr, true, now);
    if (!this->find(message.sender))
        this->missingRecords.try_emplace(message.sender, core::TimePoint::min());
}

void Membership::handleProbeMessages(Context& context, core::TimePoint now)
{
    if (const auto* ping = context.body<Ping>()) {
        context.reply(Ack { .sequence = ping->sequence, .from = this->selfId });
        this->addFactAboutSender(context);
    } else if (const auto* ack = context.body<Ack>())
        this->prober.onAck(*ack, *context.outbox);
    else if (const auto* request = context.body<PingRequest>())
        this->prober.onPingRequest(context, *request, now);
}

// Tells a sender that is suspected, dead or left here about that state, so that it can refute it.
void Membership::addFactAboutSender(Context& context) const
{
    const MemberRecord* sender = this->find(context.received.message.sender);
    if (sender && (sender->fact.state == MemberState::Suspect || !isLive(sender->fact.state)))
        context.outbox->back().message.facts.push_back(sender->fact);
}

// Asks the sender for the records of members that are known only by their id.
void Membership::requestMissingRecords(Context& context, core::TimePoint now)
{
    RecordsWanted wanted;
    for (auto& [id, askedAt] : this->missingRecords) {
        if (wanted.ids.size() == maxIdsPerRequest)
            break;
        if (askedAt != core::TimePoint::min() && now - askedAt < recordRetryInterval)
            continue;
        askedAt = now;
        wanted.ids.push_back(id);
    }
    if (!wanted.ids.empty())
        context.reply(std::move(wanted));
}

void Membership::answerJoin(Context& context) const
{
    context.reply(JoinReply {}, Transport::Stream);
    this->addFactAboutSender(context);
    for (const auto& [id, member] : this->members) {
        if (isLive(member.record.fact.state) && id != context.received.message.sender)
            context.outbox->back().message.records.push_back(member.record);
    }
}

void Membership::answerRecordsWanted(Context& context, const RecordsWanted& wanted) const
{
    std::vector<MemberRecord> records;
    for (std::size_t i = 0; i < std::min(wanted.ids.size(), maxIdsPerRequest); ++i) {
        if (const MemberRecord* record = this->find(wanted.ids[i]))
            records.push_back(*record);
    }
    sendRecords(context, records, {});
}

void Membership::answerSync(Context& context, const Sync& sync) const
{
    if (sync.members == this->hash())
        return;
    context.reply(Buckets { .members = this->hashes.shortHashes(), .objects = {} });
    this->addFactAboutSender(context);
}

void Membership::answerBuckets(Context& context, const Buckets& buckets, core::RandomEngine& random) const
{
    auto bucket = this->hashes.randomDifferingBucket(buckets.members, random);
    if (!bucket)
        return;
    MemberBucket content { .bucket = *bucket, .facts = {} };
    for (const auto& [id, member] : this->members) {
        if (BucketHashes::bucketOf(static_cast<std::uint64_t>(id)) == *bucket)
            content.facts.push_back(member.record.fact);
    }
    const Transport transport = content.facts.size() <= maxFactsPerDatagram ? Transport::Datagram : Transport::Stream;
    context.reply(std::move(content), transport);
}

// Sends the records that the sender lacks in this bucket, and the facts in which this member differs from it.
void Membership::answerBucket(Context& context, const MemberBucket& bucket) const
{
    std::vector<MemberRecord> records;
    std::vector<MemberFact> facts;
    for (const auto& [id, member] : this->members) {
        if (BucketHashes::bucketOf(static_cast<std::uint64_t>(id)) != bucket.bucket)
            continue;
        const MemberFact& own = member.record.fact;
        auto theirs = std::find_if(bucket.facts.begin(), bucket.facts.end(), [&](const MemberFact& fact) { return fact.id == own.id; });
        if (theirs == bucket.facts.end() || theirs->incarnation < own.incarnation) {
            if (isLive(own.state))
                records.push_back(member.record);
        } else if (*theirs != own)
            facts.push_back(own);
    }
    sendRecords(context, records, facts);
}

}
