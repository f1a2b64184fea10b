#pragma once

#include "core/pipe.h"
#include "fleet/digests.h"
#include "fleet/membership.h"
#include "fleet/messages.h"
#include "fleet/objects.h"
#include "fleet/snapshot.h"

#include <string>
#include <vector>

namespace cranberryshed::fleet {

struct NodeOptions {
    std::string fleet; // the same text in all members' settings
    std::string name; // unique in the fleet
    std::string peerAddress; // "IP:port"; fill in the port that was bound
    std::string callerAddress; // "IP:port" for callers
    std::string region;
    std::string domain;
    core::Incarnation incarnation {};
    std::vector<std::string> seeds; // "IP:port" of any members
    std::uint64_t randomSeed = 0;
};

// Filter: drops messages of other fleets and of this process itself.
struct CheckSender {
    std::uint64_t fleet = 0;
    MemberId self {};

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: membership.
struct UpdateMembership {
    Membership& membership;
    core::RandomEngine& random;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: objects and gossip items.
struct UpdateObjects {
    Objects& objects;
    core::RandomEngine& random;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: loads.
struct UpdateDigests {
    Digests& digests;

    Step operator()(Context, core::TimePoint now) const;
};

// Filter: completes the messages in the outbox with their header and with gossip.
struct AddHeaders {
    std::uint64_t fleet = 0;
    Membership& membership;

    Step operator()(Context, core::TimePoint now) const;
    void addTo(Outbox&) const;
};

// The way of a received message through the fleet.
using FleetPipe = core::Pipe<CheckSender, UpdateMembership, UpdateObjects, UpdateDigests, AddHeaders>;

// One member's part in the fleet: a pure state machine that the control thread drives.
//
// After each call the caller sends what is in the outbox and sets its timer to nextTimer().
class Node {
public:
    Node(const NodeOptions&, core::TimePoint now);
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Joins through the seeds. Call once, when the peer address can receive.
    void start(core::TimePoint now, Outbox&);

    // Takes one message that was received.
    void handle(ReceivedMessage, core::TimePoint now, Outbox&);

    // Does what is due. A call more than 2 s late is taken for a pause of this process.
    void onTimer(core::TimePoint now, Outbox&);
    core::TimePoint nextTimer() const;

    // Takes an object from the store or from an operator. Returns whether it is newer than the known one;
    // if so, it is sent to other members at the next onTimer(), which nextTimer() then asks for at once.
    bool publish(core::Object, core::TimePoint now, Propagation propagation = Propagation::Gossip);

    // Asks these members to let this one join, beside the seeds.
    void joinThrough(const std::vector<std::string>& addresses, Outbox&);

    // States something about a key for a limited time. It replaces what was known about that key, unless that says
    // the same for at least half as long.
    void publish(const Item&, core::TimePoint now);

    // The loads of this member. `domain`, `measuredAt` and `members` are filled in here.
    void setLoad(const core::DomainDigest&, core::TimePoint now);

    // Announces that this member stops soon (Leaving), and that it stops now (Left).
    void announceLeaving(core::TimePoint now, Outbox&);
    void announceLeft(core::TimePoint now, Outbox&);

    Snapshot snapshot(core::TimePoint now) const;
    ChangeCounts changes() const;

    // One member's record, or null. Valid until the next call that is not const.
    const MemberRecord* member(MemberId id) const { return this->membership.find(id); }

private:
    void refreshAfterPause(core::TimePoint now, Outbox&);
    void sendSync(core::TimePoint now, Outbox&);

    core::RandomEngine random;
    Membership membership;
    Objects objects;
    Digests digests;
    FleetPipe pipe;
    AddHeaders addHeaders;
    core::TimePoint nextSync;
    int cataloguesToRequest = 0; // from the next members that answer a join
    bool isStarted = false;
};

}
