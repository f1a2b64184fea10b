#include "fleet/objects.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

std::size_t wireSize(const core::Object& object)
{
    return object.content.size() + object.kind.size() + object.name.size() + objectOverheadBytes;
}

namespace {

    // A content larger than this is announced and fetched; with its header it fits a datagram of 1,200 bytes.
    constexpr std::size_t maxPushBytes = 900;
    constexpr std::size_t burstThresholdBytes = 4 * maxPushBytes;
    constexpr core::Duration gossipInterval = 200ms;
    // Twelve sends per member reach a given member with probability 1 - e^-12 (e^-9 with 20 % loss).
    constexpr std::size_t gossipFanout = 3;
    constexpr int maxSendsPerRumor = 12;

    ObjectId idOf(const core::Object& object)
    {
        return ObjectId { core::hashCombine(core::hashBytes(object.kind), core::hashBytes(object.name)) };
    }

    std::uint64_t hashOf(ObjectId id, const core::ObjectVersion& version)
    {
        return core::hashCombine(core::hashCombine(static_cast<std::uint64_t>(id), version.revision), version.version);
    }

}

Objects::Objects(const Membership& fleetMembership)
    : membership(fleetMembership)
{
}

bool Objects::publish(core::Object object, Propagation propagation, core::TimePoint now)
{
    Entry entry;
    if (object.deleted) {
        entry.deletedAt = now;
        entry.expiresAt = now + deletionRetention;
        object.content.clear();
    }
    const ObjectId id = idOf(object);
    entry.object = std::make_shared<const core::Object>(std::move(object));
    return this->replaceIfNewer(id, std::move(entry), now, propagation);
}

void Objects::publish(const Item& item, core::TimePoint now)
{
    if (item.remaining <= 0ms)
        return;
    core::Object object { .kind = std::string(core::nameOf(item.kind)), .name = item.key, .version = {}, .deleted = item.withdrawn, .content = item.content };
    const ObjectId id = idOf(object);
    auto known = this->entries.find(id);
    // All members that see the same thing state it; only the first statement has to travel.
    if (known != this->entries.end() && known->second.object->deleted == object.deleted && known->second.object->content == object.content
        && known->second.expiresAt - now >= item.remaining / 2)
        return;
    // The member's id makes versions of different members differ, so that all members keep the same one.
    object.version = { .revision = known == this->entries.end() ? 1 : known->second.object->version.revision + 1,
        .version = static_cast<std::uint64_t>(this->membership.self().fact.id) };
    this->replaceIfNewer(id, { .object = std::make_shared<const core::Object>(std::move(object)), .deletedAt = now, .expiresAt = now + item.remaining, .isItem = true }, now);
}

// Keeps the entry if it is newer than the known one, and starts to spread it.
bool Objects::replaceIfNewer(ObjectId id, Entry entry, core::TimePoint now, Propagation propagation)
{
    auto known = this->entries.find(id);
    if (known != this->entries.end() && known->second.object->version >= entry.object->version) {
        if (known->second.object->version == entry.object->version)
            this->countRumorHeard(id);
        return false;
    }
    if (known != this->entries.end())
        this->hashes.toggle(static_cast<std::uint64_t>(id), hashOf(id, known->second.object->version));
    this->hashes.toggle(static_cast<std::uint64_t>(id), hashOf(id, entry.object->version));
    this->nextExpiry = std::min(this->nextExpiry, entry.expiresAt);
    this->entries.insert_or_assign(id, std::move(entry));
    auto pending = this->pendingFetches.find(id);
    if (propagation == Propagation::Gossip && (pending == this->pendingFetches.end() || pending->second.isNews)) {
        this->rumors[id] = 0;
        this->nextGossip = std::min(this->nextGossip, std::max(now, this->lastGossip + gossipInterval));
    }
    if (pending != this->pendingFetches.end())
        this->pendingFetches.erase(pending);
    ++this->changeCount;
    return true;
}

// Another member knows the rumor as well, so it needs to be sent less often.
void Objects::countRumorHeard(ObjectId id)
{
    auto rumor = this->rumors.find(id);
    if (rumor != this->rumors.end() && ++rumor->second >= maxSendsPerRumor)
        this->rumors.erase(rumor);
}

void Objects::erase(ObjectId id)
{
    auto known = this->entries.find(id);
    this->hashes.toggle(static_cast<std::uint64_t>(id), hashOf(id, known->second.object->version));
    this->entries.erase(known);
    this->rumors.erase(id);
    ++this->changeCount;
}

// Forgets expired items and old deletions.
void Objects::expire(core::TimePoint now)
{
    std::vector<ObjectId> expired;
    this->nextExpiry = core::TimePoint::max();
    for (const auto& [id, entry] : this->entries) {
        if (entry.expiresAt <= now)
            expired.push_back(id);
        else
            this->nextExpiry = std::min(this->nextExpiry, entry.expiresAt);
    }
    for (ObjectId id : expired)
        this->erase(id);
}

core::TimePoint Objects::nextTimer() const
{
    return std::min(this->nextGossip, this->nextExpiry);
}

void Objects::onTimer(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    if (now >= this->nextExpiry)
        this->expire(now);
    if (now >= this->nextGossip)
        this->sendRumors(now, random, outbox);
}

// The rumors of one round: those sent least often, as many as fit one datagram. A rumor takes the part of the
// datagram that `size` gives.
std::vector<ObjectId> Objects::takeRumors(const std::function<std::size_t(ObjectId)>& size)
{
    std::vector<std::pair<int, ObjectId>> order;
    order.reserve(this->rumors.size());
    for (const auto& [id, sends] : this->rumors)
        order.emplace_back(sends, id);
    std::sort(order.begin(), order.end());
    std::vector<ObjectId> result;
    std::size_t bytes = 0;
    for (const auto& [sends, id] : order) {
        bytes += size(id);
        if (!result.empty() && bytes > maxPushBytes)
            break;
        result.push_back(id);
        if (sends + static_cast<int>(gossipFanout) >= maxSendsPerRumor)
            this->rumors.erase(id);
        else
            this->rumors[id] = sends + static_cast<int>(gossipFanout);
    }
    return result;
}

// Whether there is more to tell than a few datagrams hold. Then versions are announced instead of content,
// so that each member fetches each content once.
bool Objects::isBurst() const
{
    std::size_t bytes = 0;
    for (const auto& [id, sends] : this->rumors) {
        bytes += std::min(wireSize(*this->entries.at(id).object), maxPushBytes);
        if (bytes > burstThresholdBytes)
            return true;
    }
    return false;
}

void Objects::sendRumors(core::TimePoint now, core::RandomEngine& random, Outbox& outbox)
{
    this->lastGossip = now;
    ObjectPush push;
    ObjectAnnounce announce;
    const bool burst = this->isBurst();
    const auto isPushed = [&](ObjectId id) { return !burst && wireSize(*this->entries.at(id).object) <= maxPushBytes; };
    for (ObjectId id : this->takeRumors([&](ObjectId rumor) { return isPushed(rumor) ? wireSize(*this->entries.at(rumor).object) : sizeof(ObjectFact); })) {
        const Entry& entry = this->entries.at(id);
        if (isPushed(id))
            push.entries.push_back(this->toWire(entry, now));
        else
            announce.facts.push_back(this->factOf(id, entry));
    }
    for (const MemberRecord* peer : this->membership.randomPeers(gossipFanout, random)) {
        if (!push.entries.empty())
            outbox.push_back(outgoingMessage(peer->peerAddress, push));
        if (!announce.facts.empty())
            outbox.push_back(outgoingMessage(peer->peerAddress, announce));
    }
    this->nextGossip = this->rumors.empty() ? core::TimePoint::max() : now + gossipInterval;
}

std::vector<std::shared_ptr<const core::Object>> Objects::objects() const
{
    std::vector<std::shared_ptr<const core::Object>> result;
    for (const auto& [id, entry] : this->entries) {
        if (!entry.isItem)
            result.push_back(entry.object);
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) {
        return std::tie(left->kind, left->name) < std::tie(right->kind, right->name);
    });
    return result;
}

std::vector<Item> Objects::items(core::TimePoint now) const
{
    std::vector<Item> result;
    for (const auto& [id, entry] : this->entries) {
        auto kind = core::parseName<ItemKind>(entry.object->kind);
        if (!entry.isItem || entry.object->deleted || entry.expiresAt <= now || !kind)
            continue;
        result.push_back({ .kind = *kind,
            .key = entry.object->name,
            .sequence = entry.object->version.revision,
            .withdrawn = false,
            .remaining = entry.expiresAt - now,
            .content = entry.object->content });
    }
    return result;
}

ObjectFact Objects::factOf(ObjectId id, const Entry& entry) const
{
    return { .id = id, .version = entry.object->version, .bytes = static_cast<std::uint32_t>(entry.object->content.size()) };
}

ObjectEntry Objects::toWire(const Entry& entry, core::TimePoint now) const
{
    ObjectEntry result { .object = entry.object };
    if (entry.isItem)
        result.remainingMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, (entry.expiresAt - now) / 1ms));
    else if (entry.object->deleted)
        result.ageSeconds = static_cast<std::uint32_t>((now - entry.deletedAt) / 1s);
    return result;
}

}
