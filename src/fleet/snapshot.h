#pragma once

#include "core/load_digest.h"
#include "core/object.h"
#include "core/types.h"
#include "fleet/item_kind.h"
#include "fleet/messages.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryshed::fleet {

// How long an item of the kinds Quarantine, Suspect and Leaving is valid if it is not renewed.
constexpr core::Duration itemLifetime = std::chrono::minutes(10);

// A gossip item: an object that is replicated to all members for a limited time, independently of the store.
struct Item {
    ItemKind kind = ItemKind::Quarantine;
    std::string key; // the fingerprint in hexadecimal, or the backend server's name
    std::uint64_t sequence = 0; // 0 when published; increased by each later item with the same key
    bool withdrawn = false;
    core::Duration remaining {}; // time until it expires
    std::string content {}; // JSON text that the fleet does not interpret
};

// An immutable copy of the state that the members share, as this member holds it.
struct Snapshot {
    MemberId self {};
    bool hasJoined = false; // a peer has answered, there is none to ask, or several attempts to join stayed unanswered
    bool isRefreshing = false; // this process was paused, and its view is outdated until a peer has answered
    bool isStoreWatcher = false; // this member watches the store for its failure domain
    bool isSuperseded = false; // a process with this member's name and a later incarnation is in the fleet
    std::vector<MemberRecord> members; // including this one and dead or left members that are still remembered; ordered by name
    std::vector<std::shared_ptr<const core::Object>> objects; // including deletions, without items; ordered by kind and name
    std::vector<Item> items; // neither withdrawn nor expired
    std::vector<core::DomainDigest> digests; // load digests, at most one per failure domain
};

// Counts the changes of each part of a snapshot, so that the control thread rebuilds only what changed.
struct ChangeCounts {
    std::uint64_t members = 0;
    std::uint64_t objects = 0; // including items
    std::uint64_t digests = 0;

    bool operator==(const ChangeCounts&) const = default;
};

}
