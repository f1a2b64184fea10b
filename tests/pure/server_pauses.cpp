#include "request/server_pauses.h"
#include "rig/engine_harness.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using rig::findCommand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint start { std::chrono::hours(1) };
constexpr std::uint64_t server = 7;

request::Commands refuse(rig::EngineHarness& harness, const request::SendAttempt& sent, core::Duration retryAfter)
{
    return harness.handle(request::AttemptEnded { .request = sent.request, .attempt = sent.attempt, .result = AttemptResult::Refused, .status = 503, .retryAfter = retryAfter });
}

bool isPaused(const request::ServerPauses& pauses, core::TimePoint now)
{
    return pauses.remaining(now).contains(server);
}

}

// Guards against requests to a server that has asked for none: retries, new requests, and requests after another one's
// answer, which arrived during the pause and ended it.
TEST_CASE("a server gets no request during the pause that it asked for", "[pauses]")
{
    rig::EngineHarness harness({ .servers = 1, .domains = 1, .deadline = seconds(10) });
    const auto first = findCommand<request::SendAttempt>(harness.arrive(1));
    const auto second = findCommand<request::SendAttempt>(harness.arrive(2));
    REQUIRE(first);
    REQUIRE(second);
    refuse(harness, *first, seconds(4));
    harness.now += milliseconds(100);
    harness.answer(*second);
    for (std::uint64_t id = 10; id < 29; ++id) {
        harness.now += milliseconds(200);
        const request::Commands commands = harness.arrive(id);
        CHECK_FALSE(findCommand<request::SendAttempt>(commands));
        const auto reject = findCommand<request::Reject>(commands);
        REQUIRE(reject);
        REQUIRE(reject->retryAfter);
        // The caller can come back exactly when the pause ends.
        CHECK(harness.now + *reject->retryAfter == core::TimePoint(std::chrono::hours(3)) + seconds(4));
    }
    harness.now += milliseconds(200);
    CHECK(findCommand<request::SendAttempt>(harness.arrive(30)));
}

// Guards against a burst at the end of a pause: all requests that came back at that moment would reach the server at
// once, which would refuse them again.
TEST_CASE("requests return to a server step by step after its pause", "[pauses]")
{
    rig::EngineHarness harness({ .servers = 1, .domains = 1, .slots = 100, .deadline = seconds(10) });
    const auto refused = findCommand<request::SendAttempt>(harness.arrive(1));
    REQUIRE(refused);
    refuse(harness, *refused, seconds(1));
    harness.now += seconds(1);
    std::vector<request::SendAttempt> inFlight;
    const auto collect = [&](const request::Commands& commands) {
        for (const request::Command& command : commands) {
            if (const auto* sent = std::get_if<request::SendAttempt>(&command))
                inFlight.push_back(*sent);
        }
    };
    for (std::uint64_t id = 10; id < 40; ++id)
        collect(harness.arrive(id));
    for (const std::size_t expected : { 1, 2, 4, 8 }) {
        CHECK(inFlight.size() == expected);
        for (const request::SendAttempt& sent : std::exchange(inFlight, {}))
            collect(harness.answer(sent));
    }
    CHECK(inFlight.size() == 30 - 1 - 2 - 4 - 8);
}

// Guards against an error of one server, such as a pause of a century, that takes it out of use for good.
TEST_CASE("a pause is bounded and a later one can only extend it", "[pauses]")
{
    request::ServerPauses pauses({ .maxPause = seconds(60) });
    pauses.pause(server, std::chrono::hours(24 * 365), start);
    CHECK(isPaused(pauses, start + seconds(59)));
    CHECK_FALSE(isPaused(pauses, start + seconds(60)));
    pauses.pause(server, milliseconds(100), start + seconds(1));
    CHECK(isPaused(pauses, start + seconds(59)));
}

// Guards against a server that stays limited for good because the answers to its first requests after the pause were
// lost, or because it got no request.
TEST_CASE("the limit after a pause ends", "[pauses]")
{
    request::ServerPauses pauses({ .retention = seconds(10) });
    pauses.pause(server, seconds(1), start);
    const core::TimePoint end = start + seconds(1);
    pauses.recordSent(server, end);
    CHECK(isPaused(pauses, end));
    pauses.recordEnd(server, end, AttemptResult::Broken);
    CHECK_FALSE(isPaused(pauses, end));
    pauses.forgetExpired(end + seconds(11));
    for (int i = 0; i < 3; ++i)
        pauses.recordSent(server, end + seconds(11));
    CHECK_FALSE(isPaused(pauses, end + seconds(11)));
}
