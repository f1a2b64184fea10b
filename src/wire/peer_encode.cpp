#include "wire/peer_codec.h"

#include "wire/generated/peer_generated.h"

#include <utility>

namespace cranberryshed::wire {

namespace {

    using Builder = flatbuffers::FlatBufferBuilder;
    using EncodedBody = std::pair<peer::Body, flatbuffers::Offset<void>>;

    template <typename Id>
    auto rawValue(Id id) { return static_cast<std::underlying_type_t<Id>>(id); }

    template <typename Id>
    auto encodeIds(Builder& builder, const std::vector<Id>& ids)
    {
        std::vector<std::underlying_type_t<Id>> values;
        values.reserve(ids.size());
        for (Id id : ids)
            values.push_back(rawValue(id));
        return builder.CreateVector(values);
    }

    peer::MemberFact encodeFact(const fleet::MemberFact& fact)
    {
        return { rawValue(fact.id), rawValue(fact.incarnation), fact.refutation, static_cast<std::uint8_t>(fact.state) };
    }

    peer::ObjectFact encodeFact(const fleet::ObjectFact& fact)
    {
        return { rawValue(fact.id), fact.version.revision, fact.version.version, fact.bytes };
    }

    peer::Confirmation encodeFact(const fleet::ConfirmationFact& fact)
    {
        return { rawValue(fact.kind), fact.ageMs, fact.revision };
    }

    template <typename Fact>
    auto encodeFacts(Builder& builder, const std::vector<Fact>& facts)
    {
        std::vector<decltype(encodeFact(std::declval<Fact>()))> values;
        values.reserve(facts.size());
        for (const Fact& fact : facts)
            values.push_back(encodeFact(fact));
        return builder.CreateVectorOfStructs(values);
    }

    auto encodeRecords(Builder& builder, const std::vector<fleet::MemberRecord>& records)
    {
        std::vector<flatbuffers::Offset<peer::MemberRecord>> values;
        values.reserve(records.size());
        for (const fleet::MemberRecord& record : records) {
            const peer::MemberFact fact = encodeFact(record.fact);
            // Many records have the same region and failure domain, so these strings are stored only once.
            const auto name = builder.CreateString(record.name);
            const auto peerAddress = builder.CreateString(record.peerAddress);
            const auto callerAddress = builder.CreateString(record.callerAddress);
            const auto region = builder.CreateSharedString(record.region);
            const auto domain = builder.CreateSharedString(record.domain);
            values.push_back(peer::CreateMemberRecord(builder, &fact, name, peerAddress, callerAddress, region, domain));
        }
        return builder.CreateVector(values);
    }

    flatbuffers::Offset<peer::ObjectEntry> encodeEntry(Builder& builder, const fleet::ObjectEntry& entry)
    {
        const core::Object& object = *entry.object;
        const auto content = builder.CreateString(object.content);
        const auto name = builder.CreateString(object.name);
        const auto kind = builder.CreateSharedString(object.kind);
        return peer::CreateObjectEntry(
            builder, kind, name, object.version.revision, object.version.version, object.deleted, content, entry.ageSeconds, entry.remainingMs);
    }

    flatbuffers::Offset<peer::Digest> encodeDigest(Builder& builder, const fleet::PackedDigest& digest)
    {
        std::vector<peer::ClassLoad> classes;
        classes.reserve(digest.classes.size());
        for (const fleet::PackedClass& load : digest.classes)
            classes.emplace_back(rawValue(load.name), load.demand, load.rejected, load.inFlight, load.meanTime, load.tailLatency);
        std::vector<peer::Capacity> capacities;
        capacities.reserve(digest.capacities.size());
        for (const fleet::PackedCapacity& capacity : digest.capacities)
            capacities.emplace_back(rawValue(capacity.service), rawValue(capacity.region), capacity.slots, capacity.busy);
        const auto classVector = builder.CreateVectorOfStructs(classes);
        const auto capacityVector = builder.CreateVectorOfStructs(capacities);
        return peer::CreateDigest(builder, rawValue(digest.domain), digest.ageMs, digest.members, classVector, capacityVector);
    }

    // Encodes each type of body. finish() derives the union's type from the type of the table.
    struct BodyEncoder {
        Builder& builder;

        template <typename Table>
        EncodedBody finish(flatbuffers::Offset<Table> offset) const
        {
            // Copied, because the pair's constructor takes a reference and the generated constant has no definition.
            const peer::Body type = peer::BodyTraits<Table>::enum_value;
            return { type, offset.Union() };
        }

        EncodedBody operator()(const fleet::Ping& body) const { return this->finish(peer::CreatePing(this->builder, body.sequence)); }
        EncodedBody operator()(const fleet::Ack& body) const { return this->finish(peer::CreateAck(this->builder, body.sequence, rawValue(body.from))); }
        EncodedBody operator()(const fleet::PingRequest& body) const
        {
            const auto address = this->builder.CreateString(body.address);
            return this->finish(peer::CreatePingRequest(this->builder, body.sequence, rawValue(body.target), address));
        }
        EncodedBody operator()(const fleet::Join&) const { return this->finish(peer::CreateJoin(this->builder)); }
        EncodedBody operator()(const fleet::JoinReply&) const { return this->finish(peer::CreateJoinReply(this->builder)); }
        EncodedBody operator()(const fleet::RecordsWanted& body) const { return this->finish(peer::CreateRecordsWanted(this->builder, encodeIds(this->builder, body.ids))); }
        EncodedBody operator()(const fleet::Records&) const { return this->finish(peer::CreateRecords(this->builder)); }
        EncodedBody operator()(const fleet::Sync& body) const
        {
            std::vector<peer::DigestAge> ages;
            ages.reserve(body.digests.size());
            for (const fleet::Sync::DigestAge& age : body.digests)
                ages.emplace_back(rawValue(age.domain), age.ageMs);
            const auto vector = this->builder.CreateVectorOfStructs(ages);
            return this->finish(peer::CreateSync(this->builder, body.members, body.objects, vector));
        }
        EncodedBody operator()(const fleet::Buckets& body) const
        {
            const auto members = body.members.empty() ? 0 : this->builder.CreateVector(body.members);
            const auto objects = body.objects.empty() ? 0 : this->builder.CreateVector(body.objects);
            return this->finish(peer::CreateBuckets(this->builder, members, objects));
        }
        EncodedBody operator()(const fleet::MemberBucket& body) const { return this->finish(peer::CreateMemberBucket(this->builder, body.bucket, encodeFacts(this->builder, body.facts))); }
        EncodedBody operator()(const fleet::ObjectBucket& body) const { return this->finish(peer::CreateObjectBucket(this->builder, body.bucket, encodeFacts(this->builder, body.facts))); }
        EncodedBody operator()(const fleet::ObjectPush& body) const
        {
            std::vector<flatbuffers::Offset<peer::ObjectEntry>> entries;
            entries.reserve(body.entries.size());
            for (const fleet::ObjectEntry& entry : body.entries)
                entries.push_back(encodeEntry(this->builder, entry));
            return this->finish(peer::CreateObjectPush(this->builder, this->builder.CreateVector(entries)));
        }
        EncodedBody operator()(const fleet::ObjectAnnounce& body) const
        {
            return this->finish(peer::CreateObjectAnnounce(this->builder, encodeFacts(this->builder, body.facts), body.catalogue));
        }
        EncodedBody operator()(const fleet::ObjectsWanted& body) const { return this->finish(peer::CreateObjectsWanted(this->builder, encodeIds(this->builder, body.ids))); }
        EncodedBody operator()(const fleet::CatalogueWanted&) const { return this->finish(peer::CreateCatalogueWanted(this->builder)); }
        EncodedBody operator()(const fleet::LoadReport& body) const { return this->finish(peer::CreateLoadReport(this->builder, encodeDigest(this->builder, body.load))); }
        EncodedBody operator()(const fleet::DigestPush& body) const
        {
            std::vector<flatbuffers::Offset<peer::Digest>> digests;
            digests.reserve(body.digests.size());
            for (const fleet::PackedDigest& digest : body.digests)
                digests.push_back(encodeDigest(this->builder, digest));
            return this->finish(peer::CreateDigestPush(this->builder, this->builder.CreateVector(digests)));
        }
        EncodedBody operator()(const fleet::DigestsWanted& body) const { return this->finish(peer::CreateDigestsWanted(this->builder, encodeIds(this->builder, body.domains))); }
        EncodedBody operator()(const fleet::NamesWanted& body) const { return this->finish(peer::CreateNamesWanted(this->builder, encodeIds(this->builder, body.ids))); }
        EncodedBody operator()(const fleet::NamesReply& body) const { return this->finish(peer::CreateNamesReply(this->builder, this->builder.CreateVectorOfStrings(body.names))); }
    };

}

std::vector<std::uint8_t> encodePeerMessage(const fleet::Message& message)
{
    Builder builder(maxDatagramBytes);
    const auto [type, body] = std::visit(BodyEncoder { builder }, message.body);
    const auto address = message.senderAddress.empty() ? 0 : builder.CreateString(message.senderAddress);
    const auto facts = message.facts.empty() ? 0 : encodeFacts(builder, message.facts);
    const auto records = message.records.empty() ? 0 : encodeRecords(builder, message.records);
    const auto confirmations = message.confirmations.empty() ? 0 : encodeFacts(builder, message.confirmations);
    builder.Finish(peer::CreatePacket(builder, message.fleet, rawValue(message.sender), address, facts, records, type, body, confirmations), peer::PacketIdentifier());
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

}
