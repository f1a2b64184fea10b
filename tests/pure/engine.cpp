#include "rig/one_engine.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using core::ErrorKind;
using rig::find;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

request::SendAttempt sentOf(const request::Commands& commands)
{
    const auto sent = find<request::SendAttempt>(commands);
    REQUIRE(sent);
    return *sent;
}

std::optional<ErrorKind> errorOf(const request::Commands& commands)
{
    const auto reject = find<request::Reject>(commands);
    return reject ? std::optional(reject->error) : std::nullopt;
}

}

// Guards against a slot that is kept, and against a second answer to the caller.
TEST_CASE("a request is sent, relayed once and its slot given back", "[engine]")
{
    rig::OneEngine one;
    const request::SendAttempt sent = sentOf(one.arrive(1));
    CHECK(one.taken() == 1);
    const request::AnswerStarted started { .request = sent.request, .attempt = sent.attempt, .status = 200 };
    CHECK(find<request::RelayAnswer>(one.handle(started)));
    CHECK(one.handle(started).empty());
    CHECK(one.end(sent, AttemptResult::Answered).empty());
    CHECK(one.end(sent, AttemptResult::Answered).empty());
    CHECK(one.taken() == 0);
    CHECK(one.engine.unfinished() == 0);
}

// Guards against an answer that reaches another request, when a front end mixes up request and attempt.
TEST_CASE("events that name another request are ignored", "[engine]")
{
    rig::OneEngine one;
    const request::SendAttempt first = sentOf(one.arrive(1));
    const request::SendAttempt second = sentOf(one.arrive(2));
    CHECK(one.handle(request::AnswerStarted { .request = first.request, .attempt = second.attempt, .status = 200 }).empty());
    CHECK(one.handle(request::AttemptEnded { .request = second.request, .attempt = first.attempt, .result = AttemptResult::Broken, .status = 0, .retryAfter = {} }).empty());
    CHECK(find<request::RelayAnswer>(one.answer(first)));
    CHECK(find<request::RelayAnswer>(one.answer(second)));
    CHECK(one.taken() == 0);
}

// Guards against a retry at the same server and one that comes at once.
TEST_CASE("a refused request goes to another server after a delay", "[engine]")
{
    rig::OneEngine one;
    const request::SendAttempt first = sentOf(one.arrive(1));
    const auto wait = find<request::SetTimer>(one.end(first, AttemptResult::Refused));
    REQUIRE(wait);
    CHECK(wait->time > one.now);
    CHECK(one.taken() == 0);
    const request::SendAttempt second = sentOf(one.timer(1, wait->time - one.now));
    CHECK(second.server != first.server);
    CHECK(find<request::RelayAnswer>(one.answer(second)));
}

// Guards against repeated work: a broken connection may have run the request.
TEST_CASE("non-idempotent work is not sent again after it may have run", "[engine]")
{
    rig::OneEngine one;
    const std::string key = find<request::Reject>(one.arrive(1, true))->key;
    const request::SendAttempt refused = sentOf(one.arrive(2, true, key, 5));
    const auto wait = find<request::SetTimer>(one.end(refused, AttemptResult::Refused));
    REQUIRE(wait);
    const request::SendAttempt broken = sentOf(one.timer(2, wait->time - one.now));
    CHECK_FALSE(errorOf(one.end(broken, AttemptResult::Broken)));
    CHECK(errorOf(one.arrive(4, true, key, 5)) == ErrorKind::KeyInProgress);
    CHECK(errorOf(one.timer(2, request::EngineOptions().crashErrorDelay)) == ErrorKind::DeadlinePassed);
    CHECK(errorOf(one.arrive(3, true, key, 5)) == ErrorKind::KeyUnclear);
}

// Guards against a key that is used up by a request that did not run.
TEST_CASE("a key is given back when no server took the request", "[engine]")
{
    rig::OneEngine one({ .servers = 1 });
    const std::string key = one.shared.keys->issue(one.now);
    const request::SendAttempt sent = sentOf(one.arrive(1, true, key, 5));
    const auto wait = find<request::SetTimer>(one.end(sent, AttemptResult::ConnectFailed));
    REQUIRE(wait);
    CHECK(errorOf(one.timer(1, wait->time - one.now)) == ErrorKind::NoServer);
    one.now += seconds(1);
    CHECK(find<request::RelayAnswer>(one.answer(sentOf(one.arrive(2, true, key, 5)))));
    const auto repeat = find<request::Reject>(one.arrive(3, true, key, 5));
    CHECK(repeat->error == ErrorKind::KeyUsed);
    CHECK(repeat->firstStatus == 200);
}

// Guards against a wrong "not run" once an attempt may have run, whatever ends the request later.
TEST_CASE("after a broken attempt no error says not run", "[engine]")
{
    rig::OneEngine one({ .servers = 2, .slots = 1 });
    const request::SendAttempt first = sentOf(one.arrive(1));
    const request::SendAttempt second = sentOf(one.arrive(2));
    one.end(first, AttemptResult::Broken);
    const ErrorKind error = *errorOf(one.timer(1, seconds(1)));
    CHECK(core::errorInfo(error).runState == core::RunState::MayHaveRun);
    one.end(second, AttemptResult::Answered);
}

// Guards against an attempt that goes on unseen after its request was given up, and a wrong "not run" for it.
TEST_CASE("the deadline ends queued and running requests differently", "[engine]")
{
    rig::OneEngine one({ .servers = 1, .slots = 1 });
    const request::SendAttempt sent = sentOf(one.arrive(1));
    one.now += milliseconds(100);
    CHECK_FALSE(find<request::SendAttempt>(one.arrive(2)));
    const request::Commands late = one.timer(1, seconds(1) - milliseconds(100));
    CHECK(errorOf(late) == ErrorKind::DeadlinePassed);
    CHECK(find<request::CancelAttempt>(late)->attempt == sent.attempt);
    CHECK(one.taken() == 1); // the server may still work on it
    CHECK(errorOf(one.timer(2, milliseconds(100))) == ErrorKind::DeadlinePassedQueued);
    one.end(sent, AttemptResult::Cancelled);
    CHECK(one.taken() == 0);
    CHECK(one.engine.unfinished() == 0);
}

// Guards against a slot that is lost when the end of a cancelled attempt is never reported.
TEST_CASE("a cancelled attempt whose end is missing is given up", "[engine]")
{
    rig::OneEngine one;
    sentOf(one.arrive(1));
    one.timer(1, seconds(1));
    one.now += seconds(4);
    one.handle(request::CapacityChanged {});
    CHECK(one.taken() == 0);
    CHECK(one.engine.inFlight() == 0);
}

// Guards against an outcome that nobody learns because the caller left.
TEST_CASE("non-idempotent work outlives its caller and is remembered", "[engine]")
{
    rig::OneEngine one;
    const std::string key = one.shared.keys->issue(one.now);
    const request::SendAttempt sent = sentOf(one.arrive(1, true, key, 5));
    CHECK(one.handle(request::CallerDisconnected { .request = sent.request }).empty());
    const request::Commands last = one.handle(request::AnswerStarted { .request = sent.request, .attempt = sent.attempt, .status = 201 });
    CHECK(find<request::CancelAttempt>(last));
    CHECK(errorOf(last) == ErrorKind::CallerGone);
    CHECK(find<request::Reject>(one.arrive(2, true, key, 5))->firstStatus == 201);
    one.end(sent, AttemptResult::Cancelled);

    const request::SendAttempt read = sentOf(one.arrive(3));
    const request::Commands gone = one.handle(request::CallerDisconnected { .request = read.request });
    CHECK(find<request::CancelAttempt>(gone));
    CHECK(errorOf(gone) == ErrorKind::CallerGone);
}

// Guards against a cut-off during a planned stop, and against an entry VM that never stops.
TEST_CASE("a leaving entry VM serves for a stated time", "[engine]")
{
    request::EngineOptions options;
    rig::OneEngine one({ .deadline = std::chrono::minutes(1) }, options);
    const request::SendAttempt early = sentOf(one.arrive(1));
    auto leaving = std::make_shared<core::SteeringTable>(*one.table);
    leaving->leaving = true;
    one.engine.setTable(leaving);
    one.handle(request::CapacityChanged {});
    one.now += options.shutdownGrace;
    const request::SendAttempt late = sentOf(one.arrive(2));
    one.now += milliseconds(1);
    CHECK(errorOf(one.arrive(3)) == ErrorKind::ShuttingDown);
    CHECK(find<request::RelayAnswer>(one.answer(early)));
    CHECK(find<request::RelayAnswer>(one.answer(late)));
}

// Guards against two answers to one request, and against a loser that keeps its slot.
TEST_CASE("the first of two attempts wins and the other is cancelled", "[engine]")
{
    request::EngineOptions options;
    options.hedge = { .enabled = true, .budget = { .tokensPerSuccess = 0, .refillThreshold = 5, .refillPerSecond = 0, .maxTokens = 5 } };
    rig::OneEngine one({}, options);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const request::SendAttempt sent = sentOf(one.arrive(id));
        one.now += milliseconds(5);
        one.answer(sent);
    }
    const request::Commands arrived = one.arrive(200);
    const request::SendAttempt slow = sentOf(arrived);
    const request::SendAttempt fast = sentOf(one.timer(200, find<request::SetTimer>(arrived)->time - one.now));
    CHECK(fast.server != slow.server);
    const request::Commands won = one.handle(request::AnswerStarted { .request = fast.request, .attempt = fast.attempt, .status = 200 });
    CHECK(find<request::RelayAnswer>(won)->attempt == fast.attempt);
    CHECK(find<request::CancelAttempt>(won)->attempt == slow.attempt);
    CHECK(one.handle(request::AnswerStarted { .request = slow.request, .attempt = slow.attempt, .status = 200 }).empty());
    one.end(fast, AttemptResult::Answered);
    one.end(slow, AttemptResult::Cancelled);
    CHECK(one.taken() == 0);
    CHECK(one.engine.unfinished() == 0);
}
