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

// How long a quarantine, a suspicion or a leaving mark is known to the fleet without being renewed.
constexpr core::Duration itemLifetime = std::chrono::minutes(10);

// A gossip item: it is known to all members for a limited time and needs no store.
struct Item {
    ItemKind kind = ItemKind::Quarantine;
    std::string key; // the fingerprint in hexadecimal, or the backend server's name
    std::uint64_t sequence = 0; // 0 when published; a later statement about the same key has a higher one
    bool withdrawn = false;
    core::Duration remaining {}; // until it expires
    std::string content {}; // JSON text, not read by the fleet
};

// One reading of everything that the members share. It does not change after it was taken.
struct Snapshot {
    MemberId self {};
    bool joined = false; // a peer has answered, or there is none to ask
    bool refreshing = false; // this process was paused; its beliefs are old until a peer has answered
    bool isStoreWatcher = false; // this member watches the store for its failure domain
    bool superseded = false; // a later start of an entry VM with this name is in the fleet
    std::vector<MemberRecord> members; // all that are remembered, this one included, ordered by name
    std::vector<std::shared_ptr<const core::Object>> objects; // deletions included, items not; ordered by kind and name
    std::vector<Item> items; // not withdrawn, not expired
    std::vector<core::DomainDigest> digests; // one per failure domain at most
};

// Counts changes, so that control rebuilds only what changed.
struct ChangeCounts {
    std::uint64_t members = 0;
    std::uint64_t objects = 0; // items included
    std::uint64_t digests = 0;

    bool operator==(const ChangeCounts&) const = default;
};

}
