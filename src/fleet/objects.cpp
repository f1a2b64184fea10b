#include "fleet/objects.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

std::size_t wireSize(const core::Object& object)
{
    return object.content.size() + object.kind.size() + object.name.size() + objectOverheadBytes;
}

ObjectId objectIdOf(const core::Object& object)
{
    return ObjectId { core::hashCombine(core::hashBytes(object.kind), core::hashBytes(object.name)) };
}

namespace {

    // A larger object is announced by its version and then fetched. With its header, an object of this size fits a
    // datagram of 1,200 bytes.
    constexpr std::size_t maxPushBytes = 900;
    constexpr std::size_t burstThresholdBytes = 4 * maxPushBytes;
    constexpr core::Duration gossipInterval = 200ms;
    // With 12 sends by each member, a rumor misses a given member with probability e^-12 (e^-9 with 20 % loss).
    constexpr std::size_t gossipFanout = 3;
    constexpr int maxSendsPerRumor = 12;

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
    const ObjectId id = objectIdOf(object);
    entry.object = std::make_shared<const core::Object>(std::move(object));
    return this->replaceIfNewer(id, std::move(entry), now, propagation);
}

void Objects::publish(const Item& item, core::TimePoint now)
{
    if (item.remaining <= 0ms)
        return;
    core::Object object { .kind = std::string(core::nameOf(item.kind)), .name = item.key, .version = {}, .deleted = item.withdrawn, .content = item.content };
    const ObjectId id = objectIdOf(object);
    auto known = this->entries.find(id);
    // Several members publish the same observation; only the first has to be sent.
    if (known != this->entries.end() && known->second.object->deleted == object.deleted && known->second.object->content == object.content
        && known->second.expiresAt - now >= item.remaining / 2)
        return;
    // Contains the member's id, so that versions of different members differ and all members keep the same one.
    object.version = { .revision = known == this->entries.end() ? 1 : known->second.object->version.revision + 1,
        .version = static_cast<std::uint64_t>(this->membership.self().fact.id) };
    this->replaceIfNewer(id, { .object = std::make_shared<const core::Object>(std::move(object)), .deletedAt = now, .expiresAt = now + item.remaining, .isItem = true }, now);
}

// Stores the entry and queues a rumor if it is newer than the one held. Returns whether it is.
bool Objects::replaceIfNewer(ObjectId id, Entry entry, core::TimePoint now, Propagation propagation)
{
    auto known = this->entries.find(id);
    if (known != this->entries.end() && known->second.object->version >= entry.object->version) {
        if (known->second.object->version == entry.object->version)
            this->countRumorReceived(id);
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

// Counts a rumor that was received from another member as one send, since that member spreads it as well.
void Objects::countRumorReceived(ObjectId id)
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

// Removes expired items and old deletions.
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

// Returns the rumors of one round, those sent least often first, as many as fit one datagram, and counts their sends.
// `size` returns the bytes that a rumor takes in the datagram.
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

// Whether the queued rumors exceed a few datagrams. If so, versions are announced instead of pushing content, so that
// each member receives each content only once.
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
    const bool announceOnly = this->isBurst();
    const auto isPushed = [&](ObjectId id) { return !announceOnly && wireSize(*this->entries.at(id).object) <= maxPushBytes; };
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

std::shared_ptr<const core::Object> Objects::find(const core::Object& object) const
{
    const auto known = this->entries.find(objectIdOf(object));
    return known == this->entries.end() ? nullptr : known->second.object;
}

std::optional<MemberId> Objects::senderOf(const core::Object& object) const
{
    const auto known = this->entries.find(objectIdOf(object));
    return known == this->entries.end() ? std::nullopt : known->second.sender;
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
