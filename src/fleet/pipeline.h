#pragma once

#include "core/pipe.h"
#include "fleet/confirmations.h"
#include "fleet/digests.h"
#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/objects.h"
#include "fleet/snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::fleet {

struct NodeOptions {
    std::string fleet; // name of the fleet; the same in the settings of all members
    std::string name; // unique in the fleet
    std::string peerAddress; // "IP:port", with the port that was bound
    std::string callerAddress; // "IP:port" to which callers send requests
    std::string region;
    std::string domain;
    core::Incarnation incarnation {};
    std::vector<std::string> seeds; // "IP:port" of any members, to join through
    std::uint64_t randomSeed = 0;
};

// Filter: drops messages of other fleets and messages that this member sent itself.
struct CheckSender {
    std::uint64_t fleet = 0;
    MemberId self {};

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: handles messages about the membership, and the facts and records in any message's header.
struct UpdateMembership {
    Membership& membership;
    core::RandomEngine& random;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: handles messages about objects and gossip items.
struct UpdateObjects {
    Objects& objects;
    core::RandomEngine& random;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: handles messages about loads.
struct UpdateDigests {
    Digests& digests;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: takes over the store's confirmations in the header of any message.
struct UpdateConfirmations {
    Confirmations& confirmations;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: adds the header and gossip to the messages in the outbox.
struct AddHeaders {
    std::uint64_t fleet = 0;
    Membership& membership;
    const Confirmations& confirmations;

    Step operator()(Context, core::TimePoint now) const;
    void addTo(Outbox&, core::TimePoint now) const;
};

// The filters that a received message passes through, in this order.
using FleetPipe = core::Pipe<CheckSender, UpdateMembership, UpdateObjects, UpdateDigests, UpdateConfirmations, AddHeaders>;

// A member of the fleet: a state machine without I/O that the control thread drives.
//
// After each call the caller sends the messages in the outbox and sets its timer to nextTimer().
class Node {
public:
    Node(const NodeOptions&, core::TimePoint now);
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Joins through the seeds. Call once, when the peer address can receive messages.
    void start(core::TimePoint now, Outbox&);

    // Handles one received message.
    void handle(ReceivedMessage, core::TimePoint now, Outbox&);

    // Runs every timer that is due. A call more than 2 s late is treated as a pause of this process.
    void onTimer(core::TimePoint now, Outbox&);
    core::TimePoint nextTimer() const;

    // Adds an object from the store or from an operator. Returns whether it is newer than the version held so far. If
    // so, and with Propagation::Gossip, nextTimer() moves to the next gossip round, in which onTimer() sends it to
    // other members.
    bool publish(core::Object, core::TimePoint now, Propagation propagation = Propagation::Gossip);

    // Sends a join request to these addresses, in addition to the seeds.
    void joinThrough(const std::vector<std::string>& addresses, core::TimePoint now, Outbox&);

    // Records that the store has just confirmed to this member that no object of the kind changed after `revision`.
    void confirm(std::string_view kind, std::uint64_t revision, core::TimePoint now) { this->confirmations.confirm(kind, revision, now); }
    // The store's newest confirmation of a kind, received by this or another member.
    std::optional<Confirmation> confirmation(std::string_view kind) const { return this->confirmations.find(kind); }

    // Publishes an item for a limited time. It replaces the item with the same kind and key, unless that one has the
    // same content and state of withdrawal, and at least half as much time remaining.
    void publish(const Item&, core::TimePoint now);

    // Sets the load of this member. `domain`, `measuredAt` and `members` are filled in by the node.
    void setLoad(const core::DomainDigest&, core::TimePoint now);

    // Gossips that this member stops soon (state Leaving), or that it stops now (state Left).
    void announceLeaving(core::TimePoint now, Outbox&);
    void announceLeft(core::TimePoint now, Outbox&);

    Snapshot snapshot(core::TimePoint now) const;
    ChangeCounts changes() const;

    // A member's record, or null if there is none. Valid until the next call of a non-const function.
    const MemberRecord* member(MemberId id) const { return this->membership.find(id); }

    // The version of an object that this member holds, also a deletion; null if there is none.
    std::shared_ptr<const core::Object> find(const core::Object& object) const { return this->objects.find(object); }

    // The member that sent the version of the object that is held; nothing if it was published here or is unknown.
    std::optional<MemberId> senderOf(const core::Object& object) const { return this->objects.senderOf(object); }

private:
    void refreshAfterPause(core::TimePoint now, Outbox&);
    void sendSync(core::TimePoint now, Outbox&);

    core::RandomEngine random;
    Membership membership;
    Objects objects;
    Digests digests;
    Confirmations confirmations;
    FleetPipe pipe;
    AddHeaders addHeaders;
    core::TimePoint nextSync;
    int cataloguesToRequest = 0; // how many of the next members that answer a join are asked for their catalogue
    bool isStarted = false;
};

}
