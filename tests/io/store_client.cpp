#include "io/mocked_store.h"

namespace core = cranberryshed::core;
namespace json = boost::json;
namespace platform = cranberryshed::platform;
namespace store = cranberryshed::store;
using namespace cranberryshed::test;
using namespace std::chrono_literals;
using store::HttpMethod;
using store::HttpRequest;
using store::HttpResponse;
using store::WriteAttemptOutcome;
using store::WriteStep;

// Guards against changes that are never seen: a stale list's later pages can be older than its first one, and a watch from
// the version of the first page reports nothing in between.
TEST_CASE("a list is as old as its oldest page", "[policy]")
{
    MockTransport transport;
    store::Client<MockTransport, platform::PlatformObjectApi> client(transport, { .writer = "entry-1" });
    const auto page = [](std::uint64_t version, const std::string& name, bool hasMore) {
        json::object object = json::parse(objectText(name, json::object {}, 40)).as_object();
        return json::serialize(json::object { { "items", json::array { std::move(object) } }, { "has_more", hasMore }, { "at", version } });
    };
    const std::vector<std::string> pages = { page(100, "a", true), page(90, "b", true), page(95, "c", false) };
    std::size_t next = 0;
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).TIMES(3).LR_RETURN(ready(answeredWith(200, pages.at(next++))));
    const store::ObjectBatch all = run(client.list("servers", store::Consistency::Stale));
    CHECK(all.objects.size() == 3);
    CHECK(all.version == 90);
}

// Guards against processes that failed together and retry together, and against delays that grow without bound.
TEST_CASE("backoff delays grow up to their bound and are random", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        core::RandomEngine random(seed);
        store::Backoff backoff({ .firstDelay = 100ms, .maxDelay = 5s });
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

// Guards against a process whose calls exhaust the rate limit of the store for all other processes.
TEST_CASE("no time window has more calls than burst and rate allow", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        core::RandomEngine random(seed);
        store::RateLimiter limit({ .callsPerSecond = 10, .burst = 20 });
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

// Guards against a circuit breaker that admits no call any more, or that admits all calls as probes.
TEST_CASE("the circuit breaker opens, probes one call at a time and closes", "[policy]")
{
    core::RandomEngine random(1);
    store::CircuitBreaker breaker({ .failuresToOpen = 3, .probeBackoff = { .firstDelay = 1s, .maxDelay = 4s } });
    core::TimePoint now { 1h };
    for (int i = 0; i < 3; ++i) {
        CHECK(breaker.tryAdmit(now));
        breaker.recordFailure(now, random);
    }
    CHECK_FALSE(breaker.tryAdmit(now));
    now = *breaker.nextProbeTime();
    CHECK(breaker.tryAdmit(now));
    CHECK_FALSE(breaker.tryAdmit(now));
    breaker.recordFailure(now, random);
    CHECK_FALSE(breaker.tryAdmit(now));
    now = *breaker.nextProbeTime();
    CHECK(breaker.tryAdmit(now));
    breaker.recordSuccess();
    CHECK(breaker.tryAdmit(now));
    CHECK_FALSE(breaker.isOpen());
}

// Guards against a wrong result after a lost response: a write that is made twice, that is never sent again, or that is
// taken for the write of another process.
TEST_CASE("the write id shows the outcome of a write", "[policy]")
{
    store::WriteId writeId { .writer = "me", .nonce = "2" };
    store::StoredObject own { .object = target(3, 5), .writeId = writeId };
    store::StoredObject ownEarlier { .object = target(2, 4), .writeId = { .writer = "me", .nonce = "1" } };
    store::StoredObject others { .object = target(4, 6), .writeId = { .writer = "other", .nonce = "2" } };

    store::WriteTracker plain(writeId, 4);
    CHECK(plain.recordAttempt(WriteAttemptOutcome::NotApplied, {}) == WriteStep::Send);
    CHECK(plain.recordAttempt(WriteAttemptOutcome::Conflict, others) == WriteStep::Conflict);
    CHECK_FALSE(plain.mayHaveTakenEffect());

    store::WriteTracker responseLost(writeId, 4);
    CHECK(responseLost.recordAttempt(WriteAttemptOutcome::Unknown, {}) == WriteStep::ReadBack);
    CHECK(responseLost.recordReadBack(own) == WriteStep::Done);

    store::WriteTracker requestLost(writeId, 4);
    CHECK(requestLost.recordAttempt(WriteAttemptOutcome::Unknown, {}) == WriteStep::ReadBack);
    CHECK(requestLost.recordReadBack(ownEarlier) == WriteStep::Send);
    CHECK(requestLost.recordAttempt(WriteAttemptOutcome::Conflict, own) == WriteStep::Done);

    store::WriteTracker overwritten(writeId, 4);
    CHECK(overwritten.recordAttempt(WriteAttemptOutcome::Unknown, {}) == WriteStep::ReadBack);
    CHECK(overwritten.recordReadBack(others) == WriteStep::Unclear);

    store::WriteTracker created(writeId, 0);
    CHECK(created.recordAttempt(WriteAttemptOutcome::Unknown, {}) == WriteStep::ReadBack);
    CHECK(created.recordReadBack(std::nullopt) == WriteStep::Send);
}

// Guards against a target that reverts to an old state because the store was restored from an old copy.
TEST_CASE("an older version never replaces a newer one", "[policy]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        core::RandomEngine random(seed);
        store::SeenVersions seen;
        core::ObjectVersion highest {};
        for (int i = 0; i < 100; ++i) {
            core::Object object = target(1 + random() % 10, 1 + random() % 10);
            bool isNewer = i == 0 || object.version > highest;
            CHECK(seen.acceptIfNewer(object) == isNewer);
            if (isNewer)
                highest = object.version;
            CHECK(seen.find("target", "clone") == highest);
        }
    }
}

// Guards against a second write, or an error, when only the response was lost.
TEST_CASE("the client recognises its own write", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    HttpRequest put;
    trompeloeil::sequence order;
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_SIDE_EFFECT(put = _1).RETURN(ready(lost));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).WITH(_1.method == HttpMethod::Get).LR_RETURN(ready(answeredWith(200, objectAfterPut(put, 7))));
    store::WriteResult result = run(client.put(target(3), 6));
    CHECK(result.written);
    CHECK(result.current.object.version.version == 7);
}

// Guards against a lost request that is never sent again, or is sent again with another write id.
TEST_CASE("the client sends a lost write again with the same id", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    HttpRequest put;
    trompeloeil::sequence order;
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_SIDE_EFFECT(put = _1).RETURN(ready(lost));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).WITH(_1.method == HttpMethod::Get).RETURN(ready(answeredWith(200, objectOfOtherWriter(6))));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).LR_WITH(_1.method == HttpMethod::Put && _1.body == put.body).LR_RETURN(ready(answeredWith(200, objectAfterPut(put, 7))));
    CHECK(run(client.put(target(3), 6)).written);
}

// Guards against a write that is reported as failed or done although its outcome is unknown, and against WriteUnclear
// for a write that certainly had no effect.
TEST_CASE("the client reports when the outcome of a write is unknown", "[policy]")
{
    auto errorKindOf = [](const HttpResponse& first, const HttpResponse& others) {
        MockTransport transport;
        MockedClient client(transport, { .writer = "me", .seed = 1 });
        trompeloeil::sequence order;
        REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).RETURN(ready(first));
        REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).IN_SEQUENCE(order).TIMES(AT_LEAST(1)).RETURN(ready(others));
        try {
            run(client.put(target(3), 6));
        } catch (const core::Error& error) {
            return error.kind();
        }
        return core::ErrorKind::Internal;
    };
    CHECK(errorKindOf(lost, answeredWith(200, objectOfOtherWriter(8))) == core::ErrorKind::WriteUnclear);
    CHECK(errorKindOf(lost, notSent) == core::ErrorKind::WriteUnclear);
    CHECK(errorKindOf(notSent, notSent) == core::ErrorKind::StoreUnavailable);
    CHECK(errorKindOf(answeredWith(503, "{}"), notSent) == core::ErrorKind::StoreUnavailable);
    CHECK(errorKindOf(answeredWith(500, "{}"), notSent) == core::ErrorKind::WriteUnclear);
}

// Guards against a fleet that overloads a store with retries during a long outage, or that does not reconnect after it.
TEST_CASE("a watch calls rarely during an outage of an hour and resumes after it", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    core::TimePoint start = transport.now();
    unsigned calls = 0;
    std::vector<std::uint64_t> received;
    std::vector<bool> availability;
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(transport.time < start + 1h).LR_SIDE_EFFECT(++calls).RETURN(ready(notSent));
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_WITH(transport.time >= start + 1h).RETURN(ready(answeredWith(200, listResponse(5, { target(2, 5) }))));
    auto onObjects = [&](const std::vector<core::Object>& objects) {
        received.push_back(objects.at(0).version.version);
        throw StopWatching();
    };
    CHECK_THROWS_AS(run(client.watchForever({ "target" }, onObjects, [&](bool isUp) { availability.push_back(isUp); })), StopWatching);
    CHECK(calls < 250); // one call per 15 s to 30 s
    CHECK(received == std::vector<std::uint64_t> { 5 });
    CHECK(availability == std::vector<bool> { false, true });
    CHECK(transport.now() - start < 1h + 31s);
}

// Guards against a watch that ends when the store no longer holds its history, and against a target that reverts
// because the store was restored from an old copy.
TEST_CASE("a watch falls back to a list and passes on only newer versions", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    std::vector<std::string> targets;
    std::vector<core::ObjectVersion> received;
    std::vector<HttpResponse> replies {
        answeredWith(200, listResponse(5, { target(2, 5) })), // list
        answeredWith(200, changesResponse(6, { target(3, 6) })), // watch
        answeredWith(410, "{}"), // watch: the store was restored
        answeredWith(200, listResponse(5, { target(2, 5) })), // list: the old copy
        answeredWith(200, changesResponse(7, { target(2, 7) })), // watch: a write by a process that knows the old copy only
        answeredWith(200, changesResponse(8, { target(4, 8) })), // watch
    };
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(targets.push_back(_1.target)).LR_RETURN(ready(replies.at(targets.size() - 1)));
    auto onObjects = [&](const std::vector<core::Object>& objects) {
        received.push_back(objects.at(0).version);
        if (received.size() == 3)
            throw StopWatching();
    };
    CHECK_THROWS_AS(run(client.watchForever({ "target" }, onObjects)), StopWatching);
    CHECK(received == std::vector<core::ObjectVersion> { { 2, 5 }, { 3, 6 }, { 4, 8 } });
    CHECK(targets.at(1) == "/api/objects/cranberryshed?watch=5&wait_ms=5000");
    CHECK(targets.at(3) == "/api/objects/cranberryshed?after=target.");
    CHECK(targets.at(4) == "/api/objects/cranberryshed?watch=5&wait_ms=5000");
}

// Guards against changes that are never seen because a restored store has assigned the versions up to the one that the
// watch had reached a second time.
TEST_CASE("a watch notices that its version now belongs to another change", "[policy]")
{
    auto batch = [](std::uint64_t version, const std::string& writer) {
        store::ObjectBatch changes { .version = version, .objects = {} };
        changes.objects.push_back({ .object = target(1, version), .writeId = { .writer = writer, .nonce = "1" } });
        return changes;
    };
    store::WatchCursor cursor;
    CHECK(cursor.nextStep(0) == store::CursorStep::List);
    cursor.recordList(batch(5, "before"));
    CHECK(cursor.nextStep(0) == store::CursorStep::Watch);
    cursor.recordWatch({ .version = 5, .objects = {} });
    CHECK(cursor.nextStep(0) == store::CursorStep::Verify);
    cursor.recordVerification(batch(5, "before"));
    CHECK(cursor.nextStep(0) == store::CursorStep::Watch);
    cursor.recordFailure();
    CHECK(cursor.nextStep(0) == store::CursorStep::Verify);
    cursor.recordHistoryGone(); // the history was compacted, which is not an error
    CHECK(cursor.nextStep(0) == store::CursorStep::Watch);
    cursor.recordFailure();
    cursor.recordVerification(batch(5, "after"));
    CHECK(cursor.nextStep(0) == store::CursorStep::List);
    cursor.recordList(batch(5, "after"));
    cursor.recordFailure();
    cursor.recordVerification({ .version = 4, .objects = {} });
    CHECK(cursor.nextStep(0) == store::CursorStep::List);
}

// Guards against a change that is not in force within 18 s everywhere, because the store watchers' connections are dead
// without being closed. The members need up to 5 s of that to spread the change.
TEST_CASE("a watch without an answer is given up in time", "[policy]")
{
    MockTransport transport;
    MockedClient client(transport, { .writer = "me", .seed = 1 });
    std::optional<core::Duration> watchTime;
    ALLOW_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).RETURN(ready(answeredWith(200, listResponse(5, { target(3, 5) }))));
    REQUIRE_CALL(transport, exchange(trompeloeil::_, trompeloeil::_)).WITH(_1.target.find("wait_ms") != std::string::npos).LR_SIDE_EFFECT(watchTime = _2 - transport.now()).THROW(StopWatching());
    CHECK_THROWS_AS(run(client.watchForever({ "target" }, [](const auto&) {})), StopWatching);
    CHECK(watchTime.value_or(1min) < 13s);
}
