#pragma once

#include "core/enums.h"
#include "core/object.h"
#include "core/pipe.h"
#include "core/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cranberryshed::fleet {

// The hash of an entry VM's name. Only MemberRecord carries the name itself.
enum class MemberId : std::uint64_t {};

// The hash of an object's kind and name.
enum class ObjectId : std::uint64_t {};

// The hash of a class's, service's, region's or failure domain's name.
enum class NameId : std::uint32_t {};

// Whether a member in this state takes part in the fleet: it receives messages and counts towards the fleet's size.
inline bool isLive(core::MemberState state)
{
    return state != core::MemberState::Dead && state != core::MemberState::Left;
}

// A statement of one member about the state of another member or of itself, as spread by gossip.
struct MemberFact {
    MemberId id {};
    core::Incarnation incarnation {};
    std::uint32_t refutation = 0; // incremented only by the member itself, when it refutes a suspicion or announces a state
    core::MemberState state = core::MemberState::Alive;

    bool operator==(const MemberFact&) const = default;
};

// A fact with the name, addresses and location of the member, for receivers that have no record of it.
struct MemberRecord {
    MemberFact fact;
    std::string name;
    std::string peerAddress {}; // "IP:port", for datagrams and streams
    std::string callerAddress {}; // "IP:port" to which callers send requests
    std::string region {};
    std::string domain {};

    bool operator==(const MemberRecord&) const = default;
};

struct Ping {
    std::uint32_t sequence = 0;
};

struct Ack {
    std::uint32_t sequence = 0;
    MemberId from {}; // the member that was pinged, also if another member relays the acknowledgement
};

// Asks the receiver to ping `target` and to relay the acknowledgement to the sender.
struct PingRequest {
    std::uint32_t sequence = 0;
    MemberId target {};
    std::string address; // "IP:port" of the target
};

// Asks for the records of all live members. The message's header carries the sender's record.
struct Join { };

// The answer to Join. The message's header carries the records.
struct JoinReply { };

// Asks for the records of members that the sender knows only by their id.
struct RecordsWanted {
    std::vector<MemberId> ids;
};

// Has no content of its own: it carries the facts and records in the message's header.
struct Records { };

// The version of one object, from which a receiver decides whether to fetch it, and its size.
struct ObjectFact {
    ObjectId id {};
    core::ObjectVersion version;
    std::uint32_t bytes = 0; // size of the content

    bool operator==(const ObjectFact&) const = default;
};

// An object with its content, as sent between members.
struct ObjectEntry {
    std::shared_ptr<const core::Object> object;
    std::uint32_t ageSeconds = 0; // time since the deletion, if the object is deleted
    std::uint32_t remainingMs = 0; // time until a gossip item expires; 0 if the object is not an item
};

// Starts anti-entropy with a random member: hashes over the sender's members and objects, and the ages of its
// load digests (see digests.h).
struct Sync {
    std::uint64_t members = 0; // a hash: BucketHashes::setHash() of the live members
    std::uint64_t objects = 0; // a hash: BucketHashes::setHash() of all objects
    struct DigestAge {
        NameId domain {};
        std::uint32_t ageMs = 0;

        bool operator==(const DigestAge&) const = default;
    };
    std::vector<DigestAge> digests;
};

// The hashes per bucket, sent when the hash in a Sync differs. One of the two lists is empty.
struct Buckets {
    std::vector<std::uint32_t> members;
    std::vector<std::uint32_t> objects;
};

// All facts that the sender holds in one bucket. The receiver answers with the facts and records that the sender lacks
// or that differ.
struct MemberBucket {
    std::uint16_t bucket = 0;
    std::vector<MemberFact> facts;
};

// The versions of all objects that the sender holds in one bucket. The receiver fetches newer ones and sends those that
// the sender lacks or holds older.
struct ObjectBucket {
    std::uint16_t bucket = 0;
    std::vector<ObjectFact> facts;
};

// Objects with their content.
struct ObjectPush {
    std::vector<ObjectEntry> entries;
};

// Versions of objects whose content is not sent along, because it is too large or because many objects changed at once.
// The receiver fetches those that it holds older or not at all.
struct ObjectAnnounce {
    std::vector<ObjectFact> facts;
    bool catalogue = false; // all objects of the sender, in answer to CatalogueWanted; the receiver does not gossip them further
};

// Asks for the content of these objects.
struct ObjectsWanted {
    std::vector<ObjectId> ids;
};

// Asks for the versions of all objects. Sent by a member that has just joined or was paused.
struct CatalogueWanted { };

// The load of one class of requests. The 16-bit numbers are packed as packCount() of packing.h describes.
struct PackedClass {
    NameId name {};
    std::uint16_t demand = 0; // in tenths of a request per second
    std::uint16_t rejected = 0; // in tenths of a request per second
    std::uint16_t inFlight = 0;
    std::uint16_t meanTime = 0; // in units of 10 us
    std::uint16_t tailLatency = 0; // in units of 10 us

    bool operator==(const PackedClass&) const = default;
};

// The slots of a service's backend servers in a region, and how many of them are busy.
struct PackedCapacity {
    NameId service {};
    NameId region {};
    std::uint16_t slots = 0;
    std::uint16_t busy = 0;

    bool operator==(const PackedCapacity&) const = default;
};

// The load of one member, or the load digest of a failure domain: the sum of its members' loads.
struct PackedDigest {
    NameId domain {};
    std::uint32_t ageMs = 0; // time since it was measured, at sending
    std::uint16_t members = 0; // number of members whose loads it includes
    std::vector<PackedClass> classes {};
    std::vector<PackedCapacity> capacities {};

    bool operator==(const PackedDigest&) const = default;
};

// The load of one member, sent to the aggregators of its failure domain.
struct LoadReport {
    PackedDigest load;
};

// Load digests of failure domains that the receiver holds older or not at all.
struct DigestPush {
    std::vector<PackedDigest> digests;
};

// Asks for the load digests of failure domains of which the receiver holds a newer one.
struct DigestsWanted {
    std::vector<NameId> domains;
};

// Asks for the names that have these hashes.
struct NamesWanted {
    std::vector<NameId> ids;
};

struct NamesReply {
    std::vector<std::string> names;
};

using Body = std::variant<Ping, Ack, PingRequest, Join, JoinReply, RecordsWanted, Records, Sync, Buckets, MemberBucket, ObjectBucket, ObjectPush,
    ObjectAnnounce, ObjectsWanted, CatalogueWanted, LoadReport, DigestPush, DigestsWanted, NamesWanted, NamesReply>;

// How long ago the store confirmed to the sender, or to another member, that `revision` was the last change of a kind of
// objects.
struct ConfirmationFact {
    NameId kind {};
    std::uint32_t ageMs = 0;
    std::uint64_t revision = 0;

    bool operator==(const ConfirmationFact&) const = default;
};

struct Message {
    std::uint64_t fleet = 0; // hash of the fleet's name; messages of other fleets are dropped
    MemberId sender {};
    std::string senderAddress {}; // only in messages over a stream, whose source port is ephemeral
    std::vector<MemberFact> facts {}; // piggybacked gossip, or the content of Records
    std::vector<MemberRecord> records {};
    std::vector<ConfirmationFact> confirmations {};
    Body body {};
};

// A message with its source address, as the transport reports it.
struct ReceivedMessage {
    std::string address;
    Message message;
};

enum class Transport : std::uint8_t { Datagram,
    Stream };

// A message to be sent, with its destination.
struct OutgoingMessage {
    std::string address; // "IP:port"
    Transport transport = Transport::Datagram;
    Message message;
};

using Outbox = std::vector<OutgoingMessage>;

inline OutgoingMessage outgoingMessage(const std::string& address, Body body, Transport transport = Transport::Datagram)
{
    return { .address = address, .transport = transport, .message = { .body = std::move(body) } };
}

// A received message as it passes through the filters of Node, and the outbox for answers to it.
struct Context {
    ReceivedMessage received;
    Outbox* outbox = nullptr;

    // The address to which answers to the sender are sent.
    const std::string& replyAddress() const
    {
        return this->received.message.senderAddress.empty() ? this->received.address : this->received.message.senderAddress;
    }

    // The message's body if it has this type, otherwise null.
    template <typename Type>
    const Type* body() const { return std::get_if<Type>(&this->received.message.body); }

    void reply(Body body, Transport transport = Transport::Datagram)
    {
        this->outbox->push_back(outgoingMessage(this->replyAddress(), std::move(body), transport));
    }
};

// Why a filter dropped a received message.
enum class DropReason : std::uint8_t {
    OtherFleet, // the sender belongs to another fleet
    OwnMessage, // the sender is this member itself
};

// The result of a filter: the context for the next filter, or the reason for which the message is dropped.
using Step = core::Outcome<Context, DropReason>;

}
