#pragma once

#include "fleet/bucket_hashes.h"
#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::fleet {

// How long a deletion is remembered. It exceeds any outage of the store and any pause of a member after which an old
// copy of the object can come back.
constexpr core::Duration deletionRetention = std::chrono::hours(7 * 24);

// The size of an object in a message without its strings.
constexpr std::size_t objectOverheadBytes = 80;

// The size of an object in a message, in bytes.
std::size_t wireSize(const core::Object&);

ObjectId objectIdOf(const core::Object&);

// How a new object reaches the other members.
enum class Propagation : std::uint8_t {
    Gossip, // sent to random members at once
    OnSync, // found by anti-entropy only; for objects that every member reads from the store itself
};

// The objects that are replicated to all members: operators' declarations and gossip items.
//
// A higher ObjectVersion replaces a lower one and never the reverse, in whatever order, how often and from wherever
// messages arrive. A new version is sent to a few random members at once and in several gossip rounds after that, with
// its content if that is small. Members that miss it find it by anti-entropy with a random member.
class Objects {
public:
    explicit Objects(const Membership&);

    // Adds an object from outside the fleet. Returns whether it is newer than the version held so far.
    bool publish(core::Object, Propagation, core::TimePoint now);
    void publish(const Item&, core::TimePoint now); // see Node::publish()

    // Applies and answers messages about objects.
    void handle(Context&, core::TimePoint now, core::RandomEngine&);

    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Asks a member for the versions of all its objects.
    static void requestCatalogue(const std::string& address, Outbox&);

    std::uint64_t hash() const { return this->hashes.setHash(); }
    std::uint64_t changes() const { return this->changeCount; }
    std::vector<std::shared_ptr<const core::Object>> objects() const; // without items; ordered by kind and name
    std::vector<Item> items(core::TimePoint now) const; // neither withdrawn nor expired
    // The version of the object that is held, also a deletion; null if there is none.
    std::shared_ptr<const core::Object> find(const core::Object&) const;
    // The member that sent the version of the object that is held; nothing if it was published here or is unknown.
    std::optional<MemberId> senderOf(const core::Object&) const;

private:
    struct Entry {
        std::shared_ptr<const core::Object> object;
        core::TimePoint deletedAt {}; // only for a deletion
        core::TimePoint expiresAt = core::TimePoint::max(); // when an item or a deletion is removed
        bool isItem = false;
        std::optional<MemberId> sender {}; // empty: published here
    };

    // Content that was requested and has not arrived.
    struct PendingFetch {
        core::TimePoint retryAt {}; // when it can be requested again
        bool isNews = true; // gossip it when it arrives
    };

    bool replaceIfNewer(ObjectId, Entry, core::TimePoint now, Propagation propagation = Propagation::Gossip);
    void countRumorReceived(ObjectId);
    void erase(ObjectId);
    void expire(core::TimePoint now);
    void sendRumors(core::TimePoint now, core::RandomEngine&, Outbox&);
    std::vector<ObjectId> takeRumors(const std::function<std::size_t(ObjectId)>& size);
    bool isBurst() const;

    ObjectFact factOf(ObjectId, const Entry&) const;
    ObjectEntry toWire(const Entry&, core::TimePoint now) const;
    void onPush(const ObjectPush&, MemberId sender, core::TimePoint now);
    void onFacts(Context&, const std::vector<ObjectFact>&, bool isNews, core::TimePoint now);
    void onWanted(Context&, const ObjectsWanted&, core::TimePoint now) const;
    void onSync(Context&, const Sync&) const;
    void onBuckets(Context&, const Buckets&, core::RandomEngine&) const;
    void onBucket(Context&, const ObjectBucket&, core::TimePoint now);
    void onCatalogueWanted(Context&) const;
    void sendObjects(Context&, const std::vector<ObjectId>&, core::TimePoint now) const;

    const Membership& membership;
    std::map<ObjectId, Entry> entries;
    std::map<ObjectId, int> rumors; // how often the object was sent, plus how often its version was received from others
    std::unordered_map<ObjectId, PendingFetch> pendingFetches;
    BucketHashes hashes;
    core::TimePoint nextGossip = core::TimePoint::max();
    core::TimePoint lastGossip {};
    core::TimePoint nextExpiry = core::TimePoint::max();
    std::uint64_t changeCount = 0;
};

}
