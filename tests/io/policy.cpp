#include "platform/store_api.h"
#include "store/client_impl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace asio = boost::asio;
namespace core = cranberryshed::core;
namespace json = boost::json;
namespace platform = cranberryshed::platform;
namespace store = cranberryshed::store;
using namespace std::chrono_literals;
using store::ExchangeEnd;
using store::HttpReply;
using store::HttpRequest;
using store::Verb;
using store::WriteAttempt;
using store::WriteStep;

namespace {

// A store that is mocked, with a clock that only waiting moves.
struct MockTransport {
    MAKE_MOCK2(exchange, asio::awaitable<HttpReply>(HttpRequest, core::TimePoint));

    asio::awaitable<void> waitUntil(core::TimePoint until)
    {
        this->time = std::max(this->time, until);
        co_return;
    }
    core::TimePoint now() const { return this->time; }

    core::TimePoint time { 1h };
};

using MockedClient = store::Client<MockTransport, platform::NativeObjectApi>;

asio::awaitable<HttpReply> ready(HttpReply reply)
{
    co_return reply;
}

HttpReply answered(unsigned status, std::string body)
{
    return { .end = ExchangeEnd::Answered, .status = status, .body = std::move(body) };
}

const HttpReply lost { .end = ExchangeEnd::Lost, .status = 0, .body = {} };
const HttpReply notSent { .end = ExchangeEnd::NotSent, .status = 0, .body = {} };

struct StopFollowing { };

template <typename Result>
Result run(asio::awaitable<Result> call)
{
    asio::io_context context;
    auto future = asio::co_spawn(context, std::move(call), asio::use_future);
    context.run();
    return future.get();
}

core::Object target(std::uint64_t revision, std::uint64_t version = 0)
{
    return { .kind = "target", .name = "clone", .version = { .revision = revision, .version = version }, .deleted = false, .content = "{}" };
}

// The store's object with this content and revision.
std::string objectText(const std::string& name, const json::value& spec, std::uint64_t revision)
{
    return json::serialize(json::object { { "metadata", json::object { { "name", name }, { "revision", revision } } }, { "spec", spec }, { "status", nullptr } });
}

std::string objectText(const store::StoredObject& stored)
{
    return objectText(platform::NativeObjectApi::qualifiedName(stored.object.kind, stored.object.name), json::parse(platform::NativeObjectApi::encodeSpec(stored)), stored.object.version.version);
}

// The object that the store holds after this PUT.
std::string storedBy(const HttpRequest& request, std::uint64_t version)
{
    const json::value body = json::parse(request.body);
    return objectText(std::string(body.at("metadata").at("name").as_string()), body.at("spec"), version);
}

std::string storedByOther(std::uint64_t version)
{
    return objectText({ .object = target(9, version), .mark = { .writer = "other", .nonce = "1" } });
}

std::string listOf(std::uint64_t version, const std::vector<core::Object>& objects)
{
    json::array items;
    for (const core::Object& object : objects)
        items.push_back(json::parse(objectText({ .object = object, .mark = {} })));
    return json::serialize(json::object { { "items", std::move(items) }, { "has_more", false }, { "at", version } });
}

std::string changesOf(std::uint64_t version, const std::vector<core::Object>& objects)
{
    json::array events;
    for (const core::Object& object : objects)
        events.push_back(json::object { { "deleted", false }, { "object", json::parse(objectText({ .object = object, .mark = {} })) } });
    return json::serialize(json::object { { "events", std::move(events) }, { "at", version } });
}

}

// Guards against processes that failed together and call again together, and against delays that grow without end.
TEST_CASE("delays grow, stay under their bound and differ", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        core::RandomEngine random(seed);
        store::Backoff backoff({ .first = 100ms, .longest = 5s });
        core::Duration step = 100ms;
        for (int i = 0; i < 40; ++i, step = std::min<core::Duration>(step * 2, 5s)) {
            core::Duration delay = backoff.next(random);
            CHECK((delay >= step / 2 && delay <= step));
        }
    }
    core::RandomEngine first(1);
    core::RandomEngine second(2);
    CHECK(store::Backoff().next(first) != store::Backoff().next(second));
}

// Guards against a process that uses up the store's rates for all others.
TEST_CASE("no window has more calls than burst and rate allow", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        core::RandomEngine random(seed);
        store::RateLimit limit({ .perSecond = 10, .burst = 20 });
        core::TimePoint now { 1s };
        std::vector<core::TimePoint> sent;
        for (int i = 0; i < 300; ++i) {
            now += core::Duration(random() % 50'000);
            sent.push_back(limit.reserve(now));
            REQUIRE(sent.back() >= now);
        }
        for (std::size_t i = 0; i < sent.size(); ++i) {
            auto end = std::upper_bound(sent.begin(), sent.end(), sent[i] + 2s);
            CHECK(end - (sent.begin() + static_cast<std::ptrdiff_t>(i)) <= 20 + 10 * 2 + 1);
        }
    }
}

// Guards against a breaker that never lets calls through again, or lets all of them through as probes.
TEST_CASE("the circuit breaker opens, probes one call at a time and closes", "[policy]")
{
    core::RandomEngine random(1);
    store::CircuitBreaker breaker({ .failuresToOpen = 3, .probes = { .first = 1s, .longest = 4s } });
    core::TimePoint now { 1h };
    for (int i = 0; i < 3; ++i) {
        CHECK(breaker.allows(now));
        breaker.failed(now, random);
    }
    CHECK_FALSE(breaker.allows(now));
    now = *breaker.nextProbe();
    CHECK(breaker.allows(now));
    CHECK_FALSE(breaker.allows(now));
    breaker.failed(now, random);
    CHECK_FALSE(breaker.allows(now));
    now = *breaker.nextProbe();
    CHECK(breaker.allows(now));
    breaker.succeeded();
    CHECK(breaker.allows(now));
    CHECK_FALSE(breaker.isOpen());
}

// Guards against a write that is reported wrongly after a lost answer: done twice, lost, or taken for another's.
TEST_CASE("a write's end is known from its mark", "[policy]")
{
    store::WriteMark mark { .writer = "me", .nonce = "2" };
    store::StoredObject own { .object = target(3, 5), .mark = mark };
    store::StoredObject ownEarlier { .object = target(2, 4), .mark = { .writer = "me", .nonce = "1" } };
    store::StoredObject others { .object = target(4, 6), .mark = { .writer = "other", .nonce = "2" } };

    store::WriteTracker plain(mark, 4);
    CHECK(plain.attempted(WriteAttempt::NotSent, {}) == WriteStep::Send);
    CHECK(plain.attempted(WriteAttempt::Conflict, others) == WriteStep::Conflict);
    CHECK_FALSE(plain.mayHaveRun());

    store::WriteTracker answerLost(mark, 4);
    CHECK(answerLost.attempted(WriteAttempt::Unknown, {}) == WriteStep::ReadBack);
    CHECK(answerLost.readBack(own) == WriteStep::Done);

    store::WriteTracker requestLost(mark, 4);
    CHECK(requestLost.attempted(WriteAttempt::Unknown, {}) == WriteStep::ReadBack);
    CHECK(requestLost.readBack(ownEarlier) == WriteStep::Send);
    CHECK(requestLost.attempted(WriteAttempt::Conflict, own) == WriteStep::Done);

    store::WriteTracker overwritten(mark, 4);
    CHECK(overwritten.attempted(WriteAttempt::Unknown, {}) == WriteStep::ReadBack);
    CHECK(overwritten.readBack(others) == WriteStep::Unclear);

    store::WriteTracker created(mark, 0);
    CHECK(created.attempted(WriteAttempt::Unknown, {}) == WriteStep::ReadBack);
    CHECK(created.readBack(std::nullopt) == WriteStep::Send);
}

// Guards against a store that was restored from an old copy and makes a target revert.
TEST_CASE("an older version never replaces a newer one", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        core::RandomEngine random(seed);
        store::SeenVersions seen;
        core::ObjectVersion highest {};
        for (int i = 0; i < 100; ++i) {
            core::Object object = target(1 + random() % 10, 1 + random() % 10);
            bool newer = i == 0 || object.version > highest;
            CHECK(seen.accept(object) == newer);
            if (newer)
                highest = object.version;
            CHECK(seen.seen("target", "clone") == highest);
        }
    }
}

// Guards against a second write, or an error, when only the answer was lost.
TEST_CASE("the client recognises its own write", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    HttpRequest put;
    trompeloeil::sequence order;
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_SIDE_EFFECT(put = _1).RETURN(ready(lost));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).WITH(_1.verb == Verb::Get).LR_RETURN(ready(answered(200, storedBy(put, 7))));
    store::WriteResult result = run(client.put(target(3), 6));
    CHECK(result.written);
    CHECK(result.current.object.version.version == 7);
}

// Guards against a request that was lost on its way and is never sent again, or is sent with another mark.
TEST_CASE("the client sends a lost write again with the same mark", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    HttpRequest put;
    trompeloeil::sequence order;
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_SIDE_EFFECT(put = _1).RETURN(ready(lost));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).WITH(_1.verb == Verb::Get).RETURN(ready(answered(200, storedByOther(6))));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_WITH(_1.verb == Verb::Put && _1.body == put.body).LR_RETURN(ready(answered(200, storedBy(put, 7))));
    CHECK(run(client.put(target(3), 6)).written);
}

// Guards against a write that is called failed or done although neither is known, and against "unclear" for a
// write that cannot have run.
TEST_CASE("the client says when a write's end is not known", "[policy]")
{
    auto kindOf = [](const HttpReply& first, const HttpReply& then) {
        MockTransport transport;
        MockedClient client(transport, { .writer = "me", .seed = 1 });
        trompeloeil::sequence order;
        REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).RETURN(ready(first));
        REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).TIMES(AT_LEAST(1)).RETURN(ready(then));
        try {
            run(client.put(target(3), 6));
        } catch (const core::Error& error) {
            return error.kind();
        }
        return core::ErrorKind::Internal;
    };
    CHECK(kindOf(lost, answered(200, storedByOther(8))) == core::ErrorKind::WriteUnclear);
    CHECK(kindOf(lost, notSent) == core::ErrorKind::WriteUnclear);
    CHECK(kindOf(notSent, notSent) == core::ErrorKind::StoreUnavailable);
    CHECK(kindOf(answered(503, "{}"), notSent) == core::ErrorKind::StoreUnavailable);
    CHECK(kindOf(answered(500, "{}"), notSent) == core::ErrorKind::WriteUnclear);
}

// Guards against a fleet that floods a store that is down for long, or that never notices its return.
TEST_CASE("a follower of a store that is down for an hour calls rarely and takes up again", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    core::TimePoint start = transport.now();
    unsigned calls = 0;
    std::vector<std::uint64_t> taken;
    std::vector<bool> ups;
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(transport.time < start + 1h).LR_SIDE_EFFECT(++calls).RETURN(ready(notSent));
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(transport.time >= start + 1h).RETURN(ready(answered(200, listOf(5, { target(2, 5) }))));
    auto take = [&](const std::vector<core::Object>& objects) {
        taken.push_back(objects.at(0).version.version);
        throw StopFollowing();
    };
    CHECK_THROWS_AS(run(client.follow({ "target" }, take, [&](bool up) { ups.push_back(up); })), StopFollowing);
    CHECK(calls < 250); // one per 15 s to 30 s
    CHECK(taken == std::vector<std::uint64_t> { 5 });
    CHECK(ups == std::vector<bool> { false, true });
    CHECK(transport.now() - start < 1h + 31s);
}

// Guards against a watcher that stops at lost history, and against a restored store that reverts a target.
TEST_CASE("a follower falls back to a list and hands over only what is newer", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    std::vector<std::string> targets;
    std::vector<core::ObjectVersion> taken;
    std::vector<HttpReply> replies {
        answered(200, listOf(5, { target(2, 5) })), // list
        answered(200, changesOf(6, { target(3, 6) })), // watch
        answered(410, "{}"), // watch: the store was restored
        answered(200, listOf(5, { target(2, 5) })), // list of the old copy
        answered(200, changesOf(7, { target(2, 7) })), // watch: a write by someone who knows only the old copy
        answered(200, changesOf(8, { target(4, 8) })), // watch
    };
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(targets.push_back(_1.target)).LR_RETURN(ready(replies.at(targets.size() - 1)));
    auto take = [&](const std::vector<core::Object>& objects) {
        taken.push_back(objects.at(0).version);
        if (taken.size() == 3)
            throw StopFollowing();
    };
    CHECK_THROWS_AS(run(client.follow({ "target" }, take)), StopFollowing);
    CHECK(taken == std::vector<core::ObjectVersion> { { 2, 5 }, { 3, 6 }, { 4, 8 } });
    CHECK(targets.at(1) == "/api/objects/cranberryshed?watch=5&wait_ms=30000");
    CHECK(targets.at(3) == "/api/objects/cranberryshed?after=target.");
    CHECK(targets.at(4) == "/api/objects/cranberryshed?watch=5&wait_ms=30000");
}

// Guards against changes that are missed for good because a restored store counted its versions up again to the
// one that the watcher had reached.
TEST_CASE("a follower notices that its version now belongs to another change", "[policy]")
{
    auto batch = [](std::uint64_t version, const std::string& writer) {
        store::ObjectBatch changes { .version = version, .objects = {} };
        changes.objects.push_back({ .object = target(1, version), .mark = { .writer = writer, .nonce = "1" } });
        return changes;
    };
    store::FollowPosition position;
    CHECK(position.step() == store::FollowStep::List);
    position.listed(batch(5, "before"));
    CHECK(position.step() == store::FollowStep::Watch);
    position.watched({ .version = 5, .objects = {} });
    CHECK(position.step() == store::FollowStep::Verify);
    position.verified(batch(5, "before"));
    CHECK(position.step() == store::FollowStep::Watch);
    position.failed();
    CHECK(position.step() == store::FollowStep::Verify);
    position.historyGone(); // compacted, which is no fault
    CHECK(position.step() == store::FollowStep::Watch);
    position.failed();
    position.verified(batch(5, "after"));
    CHECK(position.step() == store::FollowStep::List);
    position.listed(batch(5, "after"));
    position.failed();
    position.verified({ .version = 4, .objects = {} });
    CHECK(position.step() == store::FollowStep::List);
}
