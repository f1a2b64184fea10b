#include "request/keys.h"
#include "lookup/issue_key.h"

#include "rig/tables.h"

#include <catch2/catch.hpp>
#include <string>

namespace core = cranberryshed::core;
namespace lookup = cranberryshed::lookup;
namespace request = cranberryshed::request;
using core::ErrorKind;
using std::chrono::seconds;

namespace {

constexpr core::Fingerprint content { 11 };
constexpr core::TimePoint start { std::chrono::hours(5) };

request::KeyRegistry makeRegistry(std::uint64_t incarnation = 1, std::size_t limit = 100)
{
    return request::KeyRegistry(7, core::Incarnation { incarnation }, { .lifetime = seconds(60), .maxClaimedKeys = limit }, 3);
}

}

// Guards against two dispatches of one key, and against a repeat that does not get the status of the first answer.
TEST_CASE("a key is dispatched once and its outcome is recorded", "[keys]")
{
    request::KeyRegistry registry = makeRegistry();
    const std::string key = registry.issue(start);
    CHECK_FALSE(registry.claim(key, content, start).rejection);
    CHECK(registry.claim(key, content, start).rejection == ErrorKind::KeyInProgress);
    CHECK(registry.claim(key, core::Fingerprint { 12 }, start).rejection == ErrorKind::KeyMismatch);
    registry.finish(key, 201);
    const request::KeyClaim repeat = registry.claim(key, content, start + seconds(59));
    CHECK(repeat.rejection == ErrorKind::KeyUsed);
    CHECK(repeat.firstStatus == 201);
    CHECK(registry.claim(key, content, start + seconds(60)).rejection == ErrorKind::KeyExpired);
}

// Guards against "was run" for a repeat whose first request may or may not have run, because its connection broke.
TEST_CASE("a repeat of a request that may have run is rejected as unclear", "[keys]")
{
    request::KeyRegistry registry = makeRegistry();
    const std::string key = registry.issue(start);
    registry.claim(key, content, start);
    registry.finish(key, 0);
    CHECK(registry.claim(key, content, start).rejection == ErrorKind::KeyUnclear);
    CHECK(core::errorInfo(ErrorKind::KeyUnclear).runState == core::RunState::MayHaveRun);
}

// Guards against a key that stays claimed although its request did not run, and against the release of a used key.
TEST_CASE("a key is released only while its request runs", "[keys]")
{
    request::KeyRegistry registry = makeRegistry();
    const std::string key = registry.issue(start);
    registry.claim(key, content, start);
    registry.release(key);
    CHECK_FALSE(registry.claim(key, core::Fingerprint { 12 }, start).rejection);
    registry.finish(key, 200);
    registry.release(key);
    CHECK(registry.claim(key, core::Fingerprint { 12 }, start).rejection == ErrorKind::KeyUsed);
}

// Guards against accepting a key whose earlier use is not recorded: after a restart, at another entry VM, or past its
// expiry.
TEST_CASE("only the incarnation that issued a key accepts it", "[keys]")
{
    request::KeyRegistry first = makeRegistry(1);
    request::KeyRegistry restarted = makeRegistry(2);
    request::KeyRegistry other(8, core::Incarnation { 1 }, { .lifetime = seconds(60) }, 3);
    const std::string key = first.issue(start);
    CHECK(restarted.claim(key, content, start).rejection == ErrorKind::KeyForeign);
    CHECK(other.claim(key, content, start).rejection == ErrorKind::KeyForeign);
    CHECK(first.claim("2" + key.substr(1), content, start).rejection == ErrorKind::KeyForeign);
    CHECK(first.claim(key, content, start + seconds(60)).rejection == ErrorKind::KeyExpired);
    CHECK(first.claimedCount() == 0);
}

// Guards against two texts for one key, which would allow two dispatches, and against a parser that reads past the end.
TEST_CASE("malformed keys are rejected", "[keys]")
{
    request::KeyRegistry registry = makeRegistry();
    const std::string key = registry.issue(start);
    for (const std::string& text : { std::string("x"), std::string("1-2-3"), key + "-1", key + "z", "0" + key, key + " ", std::string("1-7-1--5"), std::string(200, 'f') }) {
        CAPTURE(text);
        CHECK(registry.claim(text, content, start).rejection == ErrorKind::KeyMalformed);
    }
    core::RandomEngine random(5);
    for (int i = 0; i < 2000; ++i) {
        std::string changed = key;
        changed[random() % changed.size()] = static_cast<char>(random());
        if (const request::ParsedKey parsed = request::parseKey(changed); parsed.key)
            CHECK(request::formatKey(*parsed.key) == changed);
    }
}

// Guards against unbounded memory use by forged or unused keys.
TEST_CASE("stored keys are bounded in lifetime and number", "[keys]")
{
    request::KeyRegistry registry = makeRegistry(1, 100);
    const request::RequestKey farOff { .member = 7, .incarnation = core::Incarnation { 1 }, .expiry = start + seconds(61), .nonce = 1 };
    CHECK(registry.claim(request::formatKey(farOff), content, start).rejection == ErrorKind::KeyMalformed);
    for (int i = 0; i < 150; ++i)
        registry.claim(registry.issue(start), content, start);
    CHECK(registry.claimedCount() == 100);
    CHECK(registry.claim(registry.issue(start), content, start).rejection == ErrorKind::Overloaded);
    CHECK_FALSE(registry.claim(registry.issue(start + seconds(60)), content, start + seconds(60)).rejection);
    CHECK(registry.claimedCount() == 1);
}

// Guards against a look-up answer whose key is rejected by the entry VM listed first, because another one issued it.
TEST_CASE("a look-up answer with a key lists this entry VM first", "[keys]")
{
    request::KeyRegistry registry = makeRegistry();
    lookup::IssueKey filter { registry };
    const auto table = cranberryshed::rig::makeTable({ .members = 3, .self = 1 });
    lookup::Context context { .query = {}, .table = table, .classIndex = core::ClassIndex { 1 }, .reply = { .entries = { { 0 }, { 2 }, { 1 } }, .timeToLive = {}, .requestKey = {} } };
    const lookup::Reply reply = filter(context, start).output().reply;
    CHECK(reply.entries == std::vector<core::MemberIndex> { { 1 }, { 0 }, { 2 } });
    CHECK_FALSE(registry.claim(reply.requestKey, content, start).rejection);
    context.reply.entries = { { 0 }, { 2 } };
    CHECK(filter(context, start).output().reply.requestKey.empty());
    context.reply.entries.push_back({ 1 });
    context.classIndex = core::ClassIndex { 0 };
    CHECK(filter(context, start).output().reply.requestKey.empty());
}
