#include "fleet/objects.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

// Handling of received messages in Objects.

namespace {

    // Requested content is not requested again before this interval and the estimated time of its transfer have passed.
    constexpr core::Duration fetchRetryInterval = 1s;
    constexpr core::Duration timePerKilobyte = 100us; // at 10 MB/s
    constexpr std::size_t maxDatagramContentBytes = 900;
    constexpr std::size_t maxFrameContentBytes = 512U * 1024U; // half of the largest frame, because a single object can exceed this limit
    constexpr std::size_t maxIdsPerRequest = 64; // 8 bytes each, so a request fits a datagram
    constexpr std::size_t maxFactsPerDatagram = 30; // 32 bytes each

}

void Objects::handle(Context& context, core::TimePoint now, core::RandomEngine& random)
{
    if (const auto* push = context.body<ObjectPush>())
        this->onPush(*push, context.received.message.sender, now);
    else if (const auto* announce = context.body<ObjectAnnounce>())
        this->onFacts(context, announce->facts, !announce->catalogue, now);
    else if (const auto* wanted = context.body<ObjectsWanted>())
        this->onWanted(context, *wanted, now);
    else if (const auto* sync = context.body<Sync>())
        this->onSync(context, *sync);
    else if (const auto* buckets = context.body<Buckets>())
        this->onBuckets(context, *buckets, random);
    else if (const auto* bucket = context.body<ObjectBucket>())
        this->onBucket(context, *bucket, now);
    else if (context.body<CatalogueWanted>())
        this->onCatalogueWanted(context);
}

void Objects::requestCatalogue(const std::string& address, Outbox& outbox)
{
    outbox.push_back(outgoingMessage(address, CatalogueWanted {}, Transport::Stream));
}

void Objects::onPush(const ObjectPush& push, MemberId sender, core::TimePoint now)
{
    for (const ObjectEntry& received : push.entries) {
        Entry entry { .object = received.object, .sender = sender };
        if (received.remainingMs > 0) {
            entry.isItem = true;
            entry.expiresAt = now + received.remainingMs * 1ms;
        } else if (received.object->deleted) {
            entry.deletedAt = now - received.ageSeconds * 1s;
            entry.expiresAt = entry.deletedAt + deletionRetention;
        }
        if (entry.expiresAt > now)
            this->replaceIfNewer(objectIdOf(*received.object), std::move(entry), now);
    }
}

// Requests the objects of which the sender holds a newer version, unless their content is already being fetched.
void Objects::onFacts(Context& context, const std::vector<ObjectFact>& facts, bool isNews, core::TimePoint now)
{
    ObjectsWanted wanted;
    std::size_t bytes = 0;
    // Content that will arrive over a stream is also requested over a stream, which recovers lost packets.
    auto ask = [&] { context.reply(std::exchange(wanted, {}), bytes <= maxDatagramContentBytes ? Transport::Datagram : Transport::Stream); };
    std::erase_if(this->pendingFetches, [&](const auto& pending) { return pending.second.retryAt <= now; });
    for (const ObjectFact& fact : facts) {
        auto known = this->entries.find(fact.id);
        if (known != this->entries.end() && known->second.object->version >= fact.version) {
            if (isNews && known->second.object->version == fact.version)
                this->countRumorReceived(fact.id);
            continue;
        }
        const core::Duration transfer = (bytes + fact.bytes) * timePerKilobyte / 1000;
        if (!this->pendingFetches.try_emplace(fact.id, PendingFetch { .retryAt = now + fetchRetryInterval + transfer, .isNews = isNews }).second)
            continue;
        bytes += fact.bytes + objectOverheadBytes;
        wanted.ids.push_back(fact.id);
        if (wanted.ids.size() == maxIdsPerRequest)
            ask();
    }
    if (!wanted.ids.empty())
        ask();
}

void Objects::onWanted(Context& context, const ObjectsWanted& wanted, core::TimePoint now) const
{
    this->sendObjects(context, { wanted.ids.begin(), wanted.ids.begin() + static_cast<std::ptrdiff_t>(std::min(maxIdsPerRequest, wanted.ids.size())) }, now);
}

// Replies with the objects, in as few messages as maxFrameContentBytes allows.
void Objects::sendObjects(Context& context, const std::vector<ObjectId>& ids, core::TimePoint now) const
{
    ObjectPush next;
    std::size_t bytes = 0;
    auto flush = [&] {
        if (!next.entries.empty())
            context.reply(std::exchange(next, {}), bytes <= maxDatagramContentBytes ? Transport::Datagram : Transport::Stream);
        bytes = 0;
    };
    for (ObjectId id : ids) {
        auto known = this->entries.find(id);
        if (known == this->entries.end())
            continue;
        const std::size_t size = wireSize(*known->second.object);
        if (bytes + size > maxFrameContentBytes)
            flush();
        next.entries.push_back(this->toWire(known->second, now));
        bytes += size;
    }
    flush();
}

void Objects::onSync(Context& context, const Sync& sync) const
{
    if (sync.objects != this->hash())
        context.reply(Buckets { .members = {}, .objects = this->hashes.shortHashes() });
}

void Objects::onBuckets(Context& context, const Buckets& buckets, core::RandomEngine& random) const
{
    auto bucket = this->hashes.randomDifferingBucket(buckets.objects, random);
    if (!bucket)
        return;
    ObjectBucket content { .bucket = *bucket, .facts = {} };
    for (const auto& [id, entry] : this->entries) {
        if (BucketHashes::bucketOf(static_cast<std::uint64_t>(id)) == *bucket)
            content.facts.push_back(this->factOf(id, entry));
    }
    const Transport transport = content.facts.size() <= maxFactsPerDatagram ? Transport::Datagram : Transport::Stream;
    context.reply(std::move(content), transport);
}

// Requests the objects of the bucket that the sender holds newer, and sends those that it holds older or not at all.
void Objects::onBucket(Context& context, const ObjectBucket& bucket, core::TimePoint now)
{
    this->onFacts(context, bucket.facts, true, now);
    std::map<ObjectId, core::ObjectVersion> theirs;
    for (const ObjectFact& fact : bucket.facts)
        theirs.emplace(fact.id, fact.version);
    std::vector<ObjectId> newer;
    for (const auto& [id, entry] : this->entries) {
        if (BucketHashes::bucketOf(static_cast<std::uint64_t>(id)) != bucket.bucket)
            continue;
        auto their = theirs.find(id);
        if (their == theirs.end() || their->second < entry.object->version)
            newer.push_back(id);
    }
    this->sendObjects(context, newer, now);
}

void Objects::onCatalogueWanted(Context& context) const
{
    ObjectAnnounce announce { .facts = {}, .catalogue = true };
    for (const auto& [id, entry] : this->entries)
        announce.facts.push_back(this->factOf(id, entry));
    if (!announce.facts.empty())
        context.reply(std::move(announce), Transport::Stream);
}

}
