#pragma once

#include "fleet/bucket_hashes.h"
#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cranberryshed::fleet {

// Longer than any outage of the store or pause of a member after which an old copy may come back.
constexpr core::Duration deletionRetention = std::chrono::hours(7 * 24);

// The bytes that an object takes in a message, its strings left out.
constexpr std::size_t objectOverheadBytes = 80;

// The bytes that an object takes in a message.
std::size_t wireSize(const core::Object&);

// How a new object reaches the other members.
enum class Propagation : std::uint8_t {
    Gossip, // it is sent to some of them at once
    OnSync, // they learn it when they compare what they hold; for objects that they all read from the store
};

// The objects that all members hold: operators' declarations and gossip items.
//
// A higher ObjectVersion replaces a lower one and never the other way round, whatever the order, number and
// source of messages. A new version is sent to a few random members at once and in a few rounds after it,
// with its content if that is small; what is missed is found by comparing hashes with a random member.
class Objects {
public:
    explicit Objects(const Membership&);

    // Takes an object from outside the fleet. Returns whether it is newer than the known one.
    bool publish(core::Object, Propagation, core::TimePoint now);
    void publish(const Item&, core::TimePoint now);

    // Filter: learns from and answers the messages about objects.
    void handle(Context&, core::TimePoint now, core::RandomEngine&);

    void onTimer(core::TimePoint now, core::RandomEngine&, Outbox&);
    core::TimePoint nextTimer() const;

    // Asks a member for everything, to start from nothing.
    static void requestCatalogue(const std::string& address, Outbox&);

    std::uint64_t hash() const { return this->hashes.setHash(); }
    std::uint64_t changes() const { return this->changeCount; }
    std::vector<std::shared_ptr<const core::Object>> objects() const;
    std::vector<Item> items(core::TimePoint now) const;

private:
    struct Entry {
        std::shared_ptr<const core::Object> object;
        core::TimePoint deletedAt {}; // of a deletion
        core::TimePoint expiresAt = core::TimePoint::max(); // an item, or a deletion that is forgotten then
        bool isItem = false;
    };

    struct PendingFetch {
        core::TimePoint retryAt {}; // when it may be asked for again
        bool isNews = true; // it is spread when it arrives
    };

    bool replaceIfNewer(ObjectId, Entry, core::TimePoint now, Propagation propagation = Propagation::Gossip);
    void countRumorHeard(ObjectId);
    void erase(ObjectId);
    void expire(core::TimePoint now);
    void sendRumors(core::TimePoint now, core::RandomEngine&, Outbox&);
    std::vector<ObjectId> takeRumors(const std::function<std::size_t(ObjectId)>& size);
    bool isBurst() const;

    ObjectFact factOf(ObjectId, const Entry&) const;
    ObjectEntry toWire(const Entry&, core::TimePoint now) const;
    void onPush(const ObjectPush&, core::TimePoint now);
    void onFacts(Context&, const std::vector<ObjectFact>&, bool isNews, core::TimePoint now);
    void onWanted(Context&, const ObjectsWanted&, core::TimePoint now) const;
    void onSync(Context&, const Sync&) const;
    void onBuckets(Context&, const Buckets&, core::RandomEngine&) const;
    void onBucket(Context&, const ObjectBucket&, core::TimePoint now);
    void onCatalogueWanted(Context&) const;
    void sendObjects(Context&, const std::vector<ObjectId>&, core::TimePoint now) const;

    const Membership& membership;
    std::map<ObjectId, Entry> entries;
    std::map<ObjectId, int> rumors; // how often the object was sent, and heard from others that know it
    std::unordered_map<ObjectId, PendingFetch> pendingFetches; // content under way
    BucketHashes hashes;
    core::TimePoint nextGossip = core::TimePoint::max();
    core::TimePoint lastGossip {};
    core::TimePoint nextExpiry = core::TimePoint::max();
    std::uint64_t changeCount = 0;
};

}
