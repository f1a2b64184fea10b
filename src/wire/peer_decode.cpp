#include "wire/peer_codec.h"

#include "core/errors.h"
#include "core/hash.h"
#include "wire/generated/peer_generated.h"

#include <cstring>
#include <string>

namespace cranberryshed::wire {

namespace {

    constexpr std::size_t maxTextBytes = 255; // of a name or an address
    constexpr flatbuffers::uoffset_t maxTables = 200'000; // allows a name catalogue or a join reply of a large fleet
    constexpr flatbuffers::uoffset_t maxTableDepth = 8;
    constexpr std::uint32_t refutationEnd = 1U << 31U; // first invalid value; a member must be able to exceed it

    [[noreturn]] void throwMalformed(const char* reason)
    {
        throw core::Error(core::ErrorKind::BadMessage, std::string("peer message: ") + reason);
    }

    template <typename Pointer>
    const auto& required(const Pointer* value)
    {
        if (!value)
            throwMalformed("a required field is missing");
        return *value;
    }

    // Copies a struct out of the buffer, because the verifier of FlatBuffers 2.0 checks the bounds of structs but not
    // their alignment.
    template <typename Struct>
    Struct copyStruct(const Struct* value)
    {
        Struct result;
        std::memcpy(&result, static_cast<const void*>(value), sizeof(Struct));
        return result;
    }

    std::string readText(const flatbuffers::String* value)
    {
        if (!value)
            return {};
        if (value->size() > maxTextBytes)
            throwMalformed("a name or address is longer than 255 bytes");
        return value->str();
    }

    fleet::MemberFact readFact(const peer::MemberFact& fact)
    {
        if (fact.state() >= core::enumeratorCount<core::MemberState>())
            throwMalformed("a member's state is unknown");
        if (fact.refutation() >= refutationEnd)
            throwMalformed("a member's refutation is not below 2^31");
        return { .id = fleet::MemberId { fact.id() },
            .incarnation = core::Incarnation { fact.incarnation() },
            .refutation = fact.refutation(),
            .state = static_cast<core::MemberState>(fact.state()) };
    }

    fleet::ObjectFact readFact(const peer::ObjectFact& fact)
    {
        return { .id = fleet::ObjectId { fact.id() }, .version = { .revision = fact.revision(), .version = fact.version() }, .bytes = fact.bytes() };
    }

    fleet::ConfirmationFact readFact(const peer::Confirmation& fact)
    {
        return { .kind = fleet::NameId { fact.kind() }, .ageMs = fact.age_ms(), .revision = fact.revision() };
    }

    template <typename Fact, typename Vector>
    std::vector<Fact> readFacts(const Vector* facts)
    {
        std::vector<Fact> result;
        if (!facts)
            return result;
        result.reserve(facts->size());
        for (const auto* fact : *facts)
            result.push_back(readFact(copyStruct(fact)));
        return result;
    }

    template <typename Id, typename Vector>
    std::vector<Id> readIds(const Vector* ids)
    {
        std::vector<Id> result;
        if (!ids)
            return result;
        result.reserve(ids->size());
        for (auto id : *ids)
            result.push_back(Id { id });
        return result;
    }

    std::vector<std::uint32_t> readHashes(const flatbuffers::Vector<std::uint32_t>* hashes)
    {
        if (!hashes)
            return {};
        return { hashes->begin(), hashes->end() };
    }

    fleet::MemberRecord readRecord(const peer::MemberRecord& record)
    {
        fleet::MemberRecord result { .fact = readFact(record.fact() ? copyStruct(record.fact()) : peer::MemberFact()),
            .name = readText(record.name()),
            .peerAddress = readText(record.peer_address()),
            .callerAddress = readText(record.caller_address()),
            .region = readText(record.region()),
            .domain = readText(record.domain()) };
        if (result.fact.id != fleet::MemberId { core::hashBytes(result.name) })
            throwMalformed("a member's id is not the hash of its name");
        return result;
    }

    fleet::ObjectEntry readEntry(const peer::ObjectEntry& entry)
    {
        core::Object object { .kind = readText(entry.kind()),
            .name = readText(entry.name()),
            .version = { .revision = entry.revision(), .version = entry.version() },
            .deleted = entry.deleted(),
            .content = entry.content() ? entry.content()->str() : std::string() };
        return { .object = std::make_shared<const core::Object>(std::move(object)), .ageSeconds = entry.age_seconds(), .remainingMs = entry.remaining_ms() };
    }

    fleet::PackedDigest readDigest(const peer::Digest& digest)
    {
        fleet::PackedDigest result { .domain = fleet::NameId { digest.domain() }, .ageMs = digest.age_ms(), .members = digest.members() };
        for (const peer::ClassLoad* entry : required(digest.classes())) {
            const peer::ClassLoad load = copyStruct(entry);
            result.classes.push_back({ .name = fleet::NameId { load.name() },
                .demand = load.demand(),
                .rejected = load.rejected(),
                .inFlight = load.in_flight(),
                .meanTime = load.mean_time(),
                .tailLatency = load.tail_latency() });
        }
        for (const peer::Capacity* entry : required(digest.capacities())) {
            const peer::Capacity capacity = copyStruct(entry);
            result.capacities.push_back({ .service = fleet::NameId { capacity.service() },
                .region = fleet::NameId { capacity.region() },
                .slots = capacity.slots(),
                .busy = capacity.busy() });
        }
        return result;
    }

    fleet::Sync readSync(const peer::Sync& sync)
    {
        fleet::Sync result { .members = sync.members(), .objects = sync.objects(), .digests = {} };
        for (const peer::DigestAge* entry : required(sync.digests())) {
            const peer::DigestAge age = copyStruct(entry);
            result.digests.push_back({ .domain = fleet::NameId { age.domain() }, .ageMs = age.age_ms() });
        }
        return result;
    }

    fleet::ObjectPush readPush(const peer::ObjectPush& push)
    {
        fleet::ObjectPush result;
        for (const peer::ObjectEntry* entry : required(push.entries()))
            result.entries.push_back(readEntry(*entry));
        return result;
    }

    fleet::DigestPush readPush(const peer::DigestPush& push)
    {
        fleet::DigestPush result;
        for (const peer::Digest* digest : required(push.digests()))
            result.digests.push_back(readDigest(*digest));
        return result;
    }

    fleet::NamesReply readNames(const peer::NamesReply& reply)
    {
        fleet::NamesReply result;
        for (const flatbuffers::String* name : required(reply.names()))
            result.names.push_back(readText(name));
        return result;
    }

    fleet::Body readBody(const peer::Packet& packet)
    {
        switch (packet.body_type()) {
        case peer::Body::Ping:
            return fleet::Ping { .sequence = packet.body_as_Ping()->sequence() };
        case peer::Body::Ack:
            return fleet::Ack { .sequence = packet.body_as_Ack()->sequence(), .from = fleet::MemberId { packet.body_as_Ack()->from() } };
        case peer::Body::PingRequest: {
            const peer::PingRequest& body = *packet.body_as_PingRequest();
            return fleet::PingRequest { .sequence = body.sequence(), .target = fleet::MemberId { body.target() }, .address = readText(body.address()) };
        }
        case peer::Body::Join:
            return fleet::Join {};
        case peer::Body::JoinReply:
            return fleet::JoinReply {};
        case peer::Body::RecordsWanted:
            return fleet::RecordsWanted { .ids = readIds<fleet::MemberId>(packet.body_as_RecordsWanted()->ids()) };
        case peer::Body::Records:
            return fleet::Records {};
        case peer::Body::Sync:
            return readSync(*packet.body_as_Sync());
        case peer::Body::Buckets:
            return fleet::Buckets { .members = readHashes(packet.body_as_Buckets()->members()), .objects = readHashes(packet.body_as_Buckets()->objects()) };
        case peer::Body::MemberBucket: {
            const peer::MemberBucket& body = *packet.body_as_MemberBucket();
            return fleet::MemberBucket { .bucket = body.bucket(), .facts = readFacts<fleet::MemberFact>(body.facts()) };
        }
        case peer::Body::ObjectBucket: {
            const peer::ObjectBucket& body = *packet.body_as_ObjectBucket();
            return fleet::ObjectBucket { .bucket = body.bucket(), .facts = readFacts<fleet::ObjectFact>(body.facts()) };
        }
        case peer::Body::ObjectPush:
            return readPush(*packet.body_as_ObjectPush());
        case peer::Body::ObjectAnnounce: {
            const peer::ObjectAnnounce& body = *packet.body_as_ObjectAnnounce();
            return fleet::ObjectAnnounce { .facts = readFacts<fleet::ObjectFact>(body.facts()), .catalogue = body.catalogue() };
        }
        case peer::Body::ObjectsWanted:
            return fleet::ObjectsWanted { .ids = readIds<fleet::ObjectId>(packet.body_as_ObjectsWanted()->ids()) };
        case peer::Body::CatalogueWanted:
            return fleet::CatalogueWanted {};
        case peer::Body::LoadReport:
            return fleet::LoadReport { .load = readDigest(required(packet.body_as_LoadReport()->load())) };
        case peer::Body::DigestPush:
            return readPush(*packet.body_as_DigestPush());
        case peer::Body::DigestsWanted:
            return fleet::DigestsWanted { .domains = readIds<fleet::NameId>(packet.body_as_DigestsWanted()->domains()) };
        case peer::Body::NamesWanted:
            return fleet::NamesWanted { .ids = readIds<fleet::NameId>(packet.body_as_NamesWanted()->ids()) };
        case peer::Body::NamesReply:
            return readNames(*packet.body_as_NamesReply());
        case peer::Body::NONE:
            break;
        }
        throwMalformed("the body type is missing or unknown");
    }

}

fleet::Message decodePeerMessage(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < 2 * sizeof(flatbuffers::uoffset_t) || bytes.size() > maxFrameBytes)
        throwMalformed("the size is out of range");
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), maxTableDepth, maxTables);
    if (!peer::VerifyPacketBuffer(verifier))
        throwMalformed("the FlatBuffer is not valid");
    const peer::Packet& packet = *peer::GetPacket(bytes.data());
    if (!packet.body())
        throwMalformed("the body is missing");
    fleet::Message message { .fleet = packet.fleet(), .sender = fleet::MemberId { packet.sender() }, .senderAddress = readText(packet.sender_address()) };
    message.facts = readFacts<fleet::MemberFact>(packet.facts());
    if (packet.records()) {
        for (const peer::MemberRecord* record : *packet.records())
            message.records.push_back(readRecord(*record));
    }
    message.confirmations = readFacts<fleet::ConfirmationFact>(packet.confirmations());
    message.body = readBody(packet);
    return message;
}

}
