#include "core/errors.h"
#include "core/hash.h"
#include "wire/asio.h"
#include "wire/clock.h"
#include "wire/peer_codec.h"
#include "wire/peer_node.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;
namespace wire = cranberryshed::wire;

using namespace std::chrono_literals;

namespace {

fleet::MemberRecord record(const std::string& name)
{
    return { .fact = { .id = fleet::MemberId { core::hashBytes(name) }, .incarnation = core::Incarnation { 7 }, .refutation = 3, .state = core::MemberState::Leaving },
        .name = name,
        .peerAddress = "127.0.0.1:1",
        .callerAddress = "127.0.0.1:2",
        .region = "jyl",
        .domain = "jyl-1" };
}

fleet::PackedDigest digest()
{
    return { .domain = fleet::NameId { 9 },
        .ageMs = 10,
        .members = 3,
        .classes = { { .name = fleet::NameId { 4 }, .demand = 1, .rejected = 2, .inFlight = 3, .meanTime = 4, .tailLatency = 5 } },
        .capacities = { { .service = fleet::NameId { 1 }, .region = fleet::NameId { 2 }, .slots = 60, .busy = 7 } } };
}

// One message of each kind, with every field set.
std::vector<fleet::Message> allMessages()
{
    const std::vector<fleet::MemberFact> facts = { record("a").fact, record("b").fact };
    const std::vector<fleet::ObjectFact> objects = { { .id = fleet::ObjectId { 5 }, .version = { .revision = 6, .version = 7 }, .bytes = 8 } };
    auto object = std::make_shared<const core::Object>(
        core::Object { .kind = "target", .name = "stock", .version = { .revision = 2, .version = 3 }, .deleted = true, .content = std::string("{\"x\": \"\0\"}", 10) });
    const std::vector<fleet::Body> bodies = {
        fleet::Ping { 4 },
        fleet::Ack { .sequence = 5, .from = fleet::MemberId { 6 } },
        fleet::PingRequest { .sequence = 6, .target = fleet::MemberId { 7 }, .address = "127.0.0.1:3" },
        fleet::Join {},
        fleet::JoinReply {},
        fleet::RecordsWanted { { fleet::MemberId { 1 }, fleet::MemberId { 2 } } },
        fleet::Records {},
        fleet::Sync { .members = 1, .objects = 2, .digests = { { .domain = fleet::NameId { 3 }, .ageMs = 4 } } },
        fleet::Buckets { .members = { 1, 2 }, .objects = { 3 } },
        fleet::MemberBucket { .bucket = 31, .facts = facts },
        fleet::ObjectBucket { .bucket = 30, .facts = objects },
        fleet::ObjectPush { { { .object = object, .ageSeconds = 5, .remainingMs = 6 } } },
        fleet::ObjectAnnounce { .facts = objects, .catalogue = true },
        fleet::ObjectsWanted { { fleet::ObjectId { 5 } } },
        fleet::CatalogueWanted {},
        fleet::LoadReport { digest() },
        fleet::DigestPush { { digest(), digest() } },
        fleet::DigestsWanted { { fleet::NameId { 1 } } },
        fleet::NamesWanted { { fleet::NameId { 1 } } },
        fleet::NamesReply { { "stock", "archive" } },
    };
    static_assert(std::variant_size_v<fleet::Body> == 20);
    std::vector<fleet::Message> messages;
    messages.reserve(bodies.size());
    for (const fleet::Body& body : bodies)
        messages.push_back({ .fleet = 1, .sender = fleet::MemberId { 2 }, .senderAddress = "127.0.0.1:9", .facts = facts, .records = { record("c") }, .confirmations = { { .kind = fleet::NameId { 3 }, .ageMs = 4, .revision = 5 } }, .body = body });
    return messages;
}

std::unique_ptr<wire::PeerNode> makePeer(boost::asio::io_context& context, int number, const std::vector<std::string>& seeds)
{
    return std::make_unique<wire::PeerNode>(context,
        fleet::NodeOptions { .fleet = "test",
            .name = "entry-" + std::to_string(number),
            .peerAddress = "127.0.0.1:0",
            .callerAddress = "127.0.0.1:1",
            .region = "jyl",
            .domain = "jyl-1",
            .incarnation = core::Incarnation { 1 },
            .seeds = seeds,
            .randomSeed = static_cast<std::uint64_t>(number) });
}

// Runs the context until the condition holds. Returns false if it does not hold within the limit.
bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition, std::chrono::milliseconds limit = 5s)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        context.run_one_for(50ms);
    }
    return true;
}

std::size_t aliveMemberCount(const wire::PeerNode& peer)
{
    std::size_t alive = 0;
    for (const auto& member : peer.node().snapshot(wire::steadyNow()).members)
        alive += member.fact.state == core::MemberState::Alive;
    return alive;
}

}

// Guards against a field that the encoder or the decoder omits.
TEST_CASE("every peer message survives encoding and decoding", "[peer]")
{
    for (const fleet::Message& message : allMessages()) {
        const auto bytes = wire::encodePeerMessage(message);
        const fleet::Message decoded = wire::decodePeerMessage(bytes);
        CHECK(decoded.body.index() == message.body.index());
        CHECK(decoded.facts == message.facts);
        CHECK(decoded.records == message.records);
        CHECK(decoded.confirmations == message.confirmations);
        CHECK(decoded.senderAddress == message.senderAddress);
        CHECK(wire::encodePeerMessage(decoded) == bytes);
    }
}

// Guards against a malformed message that crashes the receiver or is rejected with an error other than BadMessage.
TEST_CASE("mutated peer messages are rejected or decoded, and never crash the receiver", "[peer]")
{
    core::RandomEngine random(1);
    fleet::Node node({ .fleet = "test", .name = "entry-0", .peerAddress = "127.0.0.1:1", .callerAddress = {}, .region = "r", .domain = "d", .incarnation = {}, .seeds = {}, .randomSeed = 1 }, {});
    fleet::Outbox outbox;
    node.start({}, outbox);
    int rejected = 0;
    int decodedCount = 0;
    for (const fleet::Message& message : allMessages()) {
        auto valid = message;
        valid.fleet = core::hashBytes("test");
        const auto bytes = wire::encodePeerMessage(valid);
        for (int round = 0; round < 1000; ++round) {
            auto mutated = bytes;
            for (int change = 0; change < 1 + round % 4; ++change)
                mutated[random() % mutated.size()] = static_cast<std::uint8_t>(random());
            if (round % 5 == 0)
                mutated.resize(random() % mutated.size());
            try {
                fleet::Message decoded = wire::decodePeerMessage(mutated);
                node.handle({ .address = "127.0.0.1:2", .message = std::move(decoded) }, core::TimePoint(std::chrono::seconds(1)), outbox);
                ++decodedCount;
            } catch (const core::Error& error) {
                REQUIRE(error.kind() == core::ErrorKind::BadMessage);
                ++rejected;
            }
            outbox.clear();
        }
    }
    CHECK(rejected > 2000);
    CHECK(decodedCount > 2000);
}

// Guards against faults in sockets, framing and timers that keep the messages of fleet::Node from reaching other
// members.
TEST_CASE("three peers on loopback replicate members and objects of any size", "[peer]")
{
    boost::asio::io_context context;
    auto first = makePeer(context, 0, {});
    auto second = makePeer(context, 1, { first->address() });
    auto third = makePeer(context, 2, { first->address() });
    int changes = 0;
    first->start([&] { ++changes; });
    second->start({});
    third->start({});
    REQUIRE(runUntil(context, [&] { return aliveMemberCount(*first) == 3 && aliveMemberCount(*second) == 3 && aliveMemberCount(*third) == 3; }));
    CHECK(changes > 0);
    CHECK(first->publish({ .kind = "target", .name = "small", .version = { .revision = 1, .version = 1 }, .content = "{}" }));
    CHECK_FALSE(first->publish({ .kind = "target", .name = "small", .version = { .revision = 1, .version = 1 }, .content = "{}" }));
    const std::string large(1024U * 1024U, 'x');
    CHECK(second->publish({ .kind = "blocks", .name = "large", .version = { .revision = 1, .version = 2 }, .content = large }));
    auto objects = [](const wire::PeerNode& peer) { return peer.node().snapshot(wire::steadyNow()).objects; };
    REQUIRE(runUntil(context, [&] { return objects(*first).size() == 2 && objects(*second).size() == 2 && objects(*third).size() == 2; }));
    CHECK(objects(*third)[0]->content == large);

    // A member that joins later gets all objects from whichever peer it contacts.
    auto fourth = makePeer(context, 3, { third->address() });
    fourth->start({});
    CHECK(runUntil(
        context, [&] { return objects(*fourth).size() == 2; }, 3s));
    fourth->stop();
    CHECK(runUntil(context, [&] { return aliveMemberCount(*first) == 3; }));
    CHECK(first->counters().malformed == 0);
    CHECK(second->counters().bytesOut > large.size());
}

// Guards against invalid bytes on either socket that end the process or keep it from serving other members.
TEST_CASE("a peer keeps working after invalid bytes on both sockets", "[peer]")
{
    boost::asio::io_context context;
    auto peer = makePeer(context, 0, {});
    peer->start({});
    const std::string address = peer->address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const auto loopback = boost::asio::ip::address_v4::loopback();
    boost::asio::ip::udp::socket datagrams(context, boost::asio::ip::udp::v4());
    datagrams.send_to(boost::asio::buffer(std::string(500, 'g')), { loopback, port });
    datagrams.send_to(boost::asio::buffer(std::string()), { loopback, port });
    for (const std::string& garbage : { std::string("\xff\xff\xff\xff"), std::string("\x08\0\0\0gggggggg", 12), std::string("\xff\xff\x0f\0g", 5) }) {
        boost::asio::ip::tcp::socket stream(context);
        stream.connect({ loopback, port });
        boost::asio::write(stream, boost::asio::buffer(garbage));
        context.run_for(20ms);
    }
    CHECK(runUntil(context, [&] { return peer->counters().malformed >= 3; }));
    auto other = makePeer(context, 1, { address });
    other->start({});
    CHECK(runUntil(context, [&] { return aliveMemberCount(*peer) == 2 && aliveMemberCount(*other) == 2; }));
}

// Guards against an object that a member sends again and again over a stream that is open but delivers nothing: the
// receiver has silently lost the stream.
TEST_CASE("a peer sends an object over a new stream if the open one delivers nothing", "[peer]")
{
    boost::asio::io_context context;
    const auto peer = makePeer(context, 0, {});
    peer->start({});
    const core::Object large { .kind = "config", .name = "main", .version = { .revision = 1, .version = 0 }, .content = std::string(4000, 'x') };
    peer->publish(large);
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    boost::asio::ip::udp::socket datagrams(context, { boost::asio::ip::address_v4::loopback(), acceptor.local_endpoint().port() });
    const auto port = static_cast<std::uint16_t>(std::stoi(peer->address().substr(peer->address().rfind(':') + 1)));
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> streams; // accepted and never read
    std::function<void()> acceptNext = [&] {
        streams.push_back(std::make_unique<boost::asio::ip::tcp::socket>(context));
        acceptor.async_accept(*streams.back(), [&](const boost::system::error_code& error) {
            if (!error)
                acceptNext();
        });
    };
    acceptNext();
    const std::size_t acceptedStreams = 2;
    const auto ask = [&] {
        const fleet::Message message { .fleet = core::hashBytes("test"), .sender = fleet::MemberId { 9 }, .body = fleet::ObjectsWanted { { fleet::objectIdOf(large) } } };
        datagrams.send_to(boost::asio::buffer(wire::encodePeerMessage(message)), { boost::asio::ip::address_v4::loopback(), port });
    };
    ask();
    REQUIRE(runUntil(context, [&] { return streams.size() > 1; }));
    for (int i = 0; i < 10; ++i) { // as often as a member asks again that has not got the object
        ask();
        context.run_for(250ms);
    }
    CHECK(streams.size() > acceptedStreams);
}
