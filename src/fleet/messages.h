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

// The hash of an entry VM's name. The name itself travels only in a MemberRecord.
enum class MemberId : std::uint64_t {};

// The hash of an object's kind and name.
enum class ObjectId : std::uint64_t {};

// The hash of a class's, service's, region's or failure domain's name.
enum class NameId : std::uint32_t {};

// Whether a member takes part in the fleet: it gets messages and counts as a member.
inline bool isLive(core::MemberState state)
{
    return state != core::MemberState::Dead && state != core::MemberState::Left;
}

// What one member says about the state of another (or of itself).
struct MemberFact {
    MemberId id {};
    core::Incarnation incarnation {};
    std::uint32_t refutation = 0; // raised by the member itself, when it refutes or leaves
    core::MemberState state = core::MemberState::Alive;

    bool operator==(const MemberFact&) const = default;
};

// A fact together with everything that a member that did not know this one needs.
struct MemberRecord {
    MemberFact fact;
    std::string name;
    std::string peerAddress {}; // "IP:port" for both datagrams and streams
    std::string callerAddress {}; // "IP:port" for callers
    std::string region {};
    std::string domain {};

    bool operator==(const MemberRecord&) const = default;
};

struct Ping {
    std::uint32_t sequence = 0;
};

struct Ack {
    std::uint32_t sequence = 0;
    MemberId from {}; // the member that was pinged, also if the acknowledgement is passed on
};

// Asks the receiver to ping `target` and to pass its acknowledgement on.
struct PingRequest {
    std::uint32_t sequence = 0;
    MemberId target {};
    std::string address; // of the target
};

// Asks for the whole membership. The sender's own record is in the message's header.
struct Join { };

struct JoinReply { };

// Asks for the records of members whose facts came without one.
struct RecordsWanted {
    std::vector<MemberId> ids;
};

// Carries nothing but the records in the header.
struct Records { };

// The version of one object, and its size for the decision to fetch it.
struct ObjectFact {
    ObjectId id {};
    core::ObjectVersion version;
    std::uint32_t bytes = 0; // of the content

    bool operator==(const ObjectFact&) const = default;
};

// An object on its way between members.
struct ObjectEntry {
    std::shared_ptr<const core::Object> object;
    std::uint32_t ageSeconds = 0; // of a deletion
    std::uint32_t remainingMs = 0; // until an item expires; 0: not an item
};

// The first message of an exchange with a random member: what the sender holds, in short.
struct Sync {
    std::uint64_t members = 0; // hash over the live members
    std::uint64_t objects = 0; // hash over all objects
    struct DigestAge {
        NameId domain {};
        std::uint32_t ageMs = 0;

        bool operator==(const DigestAge&) const = default;
    };
    std::vector<DigestAge> digests;
};

// Hashes per bucket, sent when the hash over the whole differs.
struct Buckets {
    std::vector<std::uint32_t> members;
    std::vector<std::uint32_t> objects;
};

// All facts that the sender holds in one bucket. The receiver answers with what it knows better.
struct MemberBucket {
    std::uint16_t bucket = 0;
    std::vector<MemberFact> facts;
};

struct ObjectBucket {
    std::uint16_t bucket = 0;
    std::vector<ObjectFact> facts;
};

// Objects with their content.
struct ObjectPush {
    std::vector<ObjectEntry> entries;
};

// Versions whose content is too large for a datagram; the receiver fetches what it lacks.
struct ObjectAnnounce {
    std::vector<ObjectFact> facts;
    bool catalogue = false; // everything that the sender holds, as asked for; no news
};

// Asks for the content of these objects.
struct ObjectsWanted {
    std::vector<ObjectId> ids;
};

// Asks for the versions of all objects, to start from nothing.
struct CatalogueWanted { };

// A class's load in few bytes, see digests.h for the 16-bit numbers.
struct PackedClass {
    NameId name {};
    std::uint16_t demand = 0;
    std::uint16_t rejected = 0;
    std::uint16_t inFlight = 0;
    std::uint16_t meanTime = 0; // of units of 10 us
    std::uint16_t tailLatency = 0; // of units of 10 us

    bool operator==(const PackedClass&) const = default;
};

struct PackedCapacity {
    NameId service {};
    NameId region {};
    std::uint16_t slots = 0;
    std::uint16_t busy = 0;

    bool operator==(const PackedCapacity&) const = default;
};

// The loads of one member or the sum over a failure domain.
struct PackedDigest {
    NameId domain {};
    std::uint32_t ageMs = 0; // when sent
    std::uint16_t members = 0;
    std::vector<PackedClass> classes {};
    std::vector<PackedCapacity> capacities {};

    bool operator==(const PackedDigest&) const = default;
};

// One member's loads, to the aggregators of its failure domain.
struct LoadReport {
    PackedDigest load;
};

// Sums that the receiver holds older or not at all.
struct DigestPush {
    std::vector<PackedDigest> digests;
};

// Asks for sums that the receiver holds newer.
struct DigestsWanted {
    std::vector<NameId> domains;
};

// Asks for the text of hashed names.
struct NamesWanted {
    std::vector<NameId> ids;
};

struct NamesReply {
    std::vector<std::string> names;
};

using Body = std::variant<Ping, Ack, PingRequest, Join, JoinReply, RecordsWanted, Records, Sync, Buckets, MemberBucket, ObjectBucket, ObjectPush,
    ObjectAnnounce, ObjectsWanted, CatalogueWanted, LoadReport, DigestPush, DigestsWanted, NamesWanted, NamesReply>;

struct Message {
    std::uint64_t fleet = 0; // hash of the fleet's name; a message of another fleet is dropped
    MemberId sender {};
    std::string senderAddress {}; // only in messages over a stream, whose source port says nothing
    std::vector<MemberFact> facts {}; // piggybacked gossip
    std::vector<MemberRecord> records {};
    Body body {};
};

// A message with the address that its transport saw it come from.
struct ReceivedMessage {
    std::string address;
    Message message;
};

enum class Transport : std::uint8_t { Datagram,
    Stream };

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

// A received message on its way through the fleet's filters, with the place for answers.
struct Context {
    ReceivedMessage received;
    Outbox* outbox = nullptr;

    // Where an answer to the sender goes.
    const std::string& replyAddress() const
    {
        return this->received.message.senderAddress.empty() ? this->received.address : this->received.message.senderAddress;
    }

    // The body if it is of this type, else null.
    template <typename Type>
    const Type* body() const { return std::get_if<Type>(&this->received.message.body); }

    void reply(Body body, Transport transport = Transport::Datagram)
    {
        this->outbox->push_back(outgoingMessage(this->replyAddress(), std::move(body), transport));
    }
};

// Why a message ends its way through the filters before the last one.
enum class DropReason : std::uint8_t {
    OtherFleet, // the sender belongs to another fleet
    OwnMessage, // sent by this process
};

using Step = core::Outcome<Context, DropReason>;

}
