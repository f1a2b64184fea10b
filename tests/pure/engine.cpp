#include "rig/engine_harness.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using core::ErrorKind;
using rig::findCommand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

request::SendAttempt sentOf(const request::Commands& commands)
{
    const auto sent = findCommand<request::SendAttempt>(commands);
    REQUIRE(sent);
    return *sent;
}

std::optional<ErrorKind> errorOf(const request::Commands& commands)
{
    const auto reject = findCommand<request::Reject>(commands);
    return reject ? std::optional(reject->error) : std::nullopt;
}

}

// Guards against a leaked slot and a second answer to the caller when the front end reports an event twice.
TEST_CASE("a request is sent, its answer relayed once and its slot released", "[engine]")
{
    rig::EngineHarness harness;
    const request::SendAttempt sent = sentOf(harness.arrive(1));
    CHECK(harness.reservedSlots() == 1);
    const request::AnswerStarted started { .request = sent.request, .attempt = sent.attempt, .status = 200 };
    CHECK(findCommand<request::RelayAnswer>(harness.handle(started)));
    CHECK(harness.handle(started).empty());
    CHECK(harness.endAttempt(sent, AttemptResult::Answered).empty());
    CHECK(harness.endAttempt(sent, AttemptResult::Answered).empty());
    CHECK(harness.reservedSlots() == 0);
    CHECK(harness.engine.activeRequestCount() == 0);
}

// Guards against an answer that reaches the wrong request when an event combines the ids of one request and another
// request's attempt.
TEST_CASE("events that name another request are ignored", "[engine]")
{
    rig::EngineHarness harness;
    const request::SendAttempt first = sentOf(harness.arrive(1));
    const request::SendAttempt second = sentOf(harness.arrive(2));
    CHECK(harness.handle(request::AnswerStarted { .request = first.request, .attempt = second.attempt, .status = 200 }).empty());
    CHECK(harness.handle(request::AttemptEnded { .request = second.request, .attempt = first.attempt, .result = AttemptResult::Broken, .status = 0, .retryAfter = {} }).empty());
    CHECK(findCommand<request::RelayAnswer>(harness.answer(first)));
    CHECK(findCommand<request::RelayAnswer>(harness.answer(second)));
    CHECK(harness.reservedSlots() == 0);
}

// Guards against a retry that goes to the server that refused the request, and against one without a delay.
TEST_CASE("a refused request goes to another server after a delay", "[engine]")
{
    rig::EngineHarness harness;
    const request::SendAttempt first = sentOf(harness.arrive(1));
    const auto wait = findCommand<request::SetTimer>(harness.endAttempt(first, AttemptResult::Refused));
    REQUIRE(wait);
    CHECK(wait->time > harness.now);
    CHECK(harness.reservedSlots() == 0);
    const request::SendAttempt second = sentOf(harness.fireTimer(1, wait->time - harness.now));
    CHECK(second.server != first.server);
    CHECK(findCommand<request::RelayAnswer>(harness.answer(second)));
}

// Guards against running a non-idempotent request twice: the server may have run it before the connection broke.
TEST_CASE("non-idempotent work is not sent again after it may have run", "[engine]")
{
    rig::EngineHarness harness;
    const std::string key = findCommand<request::Reject>(harness.arrive(1, true))->key;
    const request::SendAttempt refused = sentOf(harness.arrive(2, true, key, 5));
    const auto wait = findCommand<request::SetTimer>(harness.endAttempt(refused, AttemptResult::Refused));
    REQUIRE(wait);
    const request::SendAttempt broken = sentOf(harness.fireTimer(2, wait->time - harness.now));
    CHECK_FALSE(errorOf(harness.endAttempt(broken, AttemptResult::Broken)));
    CHECK(errorOf(harness.arrive(4, true, key, 5)) == ErrorKind::KeyInProgress);
    CHECK(errorOf(harness.fireTimer(2, request::EngineOptions().crashErrorDelay)) == ErrorKind::DeadlinePassed);
    CHECK(errorOf(harness.arrive(3, true, key, 5)) == ErrorKind::KeyUnclear);
}

// Guards against a request key that cannot be used again although no server accepted its request.
TEST_CASE("a request key is released when no server accepted the request", "[engine]")
{
    rig::EngineHarness harness({ .servers = 1 });
    const std::string key = harness.shared.keys->issue(harness.now);
    const request::SendAttempt sent = sentOf(harness.arrive(1, true, key, 5));
    const auto wait = findCommand<request::SetTimer>(harness.endAttempt(sent, AttemptResult::ConnectFailed));
    REQUIRE(wait);
    CHECK(errorOf(harness.fireTimer(1, wait->time - harness.now)) == ErrorKind::NoServer);
    harness.now += seconds(1);
    CHECK(findCommand<request::RelayAnswer>(harness.answer(sentOf(harness.arrive(2, true, key, 5)))));
    const auto repeat = findCommand<request::Reject>(harness.arrive(3, true, key, 5));
    CHECK(repeat->error == ErrorKind::KeyUsed);
    CHECK(repeat->firstStatus == 200);
}

// Guards against a wrong "not run" for a request that is rejected later, after one of its attempts may have run.
TEST_CASE("after a broken attempt no error says not run", "[engine]")
{
    rig::EngineHarness harness({ .servers = 2, .slots = 1 });
    const request::SendAttempt first = sentOf(harness.arrive(1));
    const request::SendAttempt second = sentOf(harness.arrive(2));
    harness.endAttempt(first, AttemptResult::Broken);
    const ErrorKind error = *errorOf(harness.fireTimer(1, seconds(1)));
    CHECK(core::errorInfo(error).runState == core::RunState::MayHaveRun);
    harness.endAttempt(second, AttemptResult::Answered);
}

// Guards against an attempt that keeps running uncancelled after the deadline of its request, and against a wrong
// "not run" for that request.
TEST_CASE("the deadline ends queued and running requests differently", "[engine]")
{
    rig::EngineHarness harness({ .servers = 1, .slots = 1 });
    const request::SendAttempt sent = sentOf(harness.arrive(1));
    harness.now += milliseconds(100);
    CHECK_FALSE(findCommand<request::SendAttempt>(harness.arrive(2)));
    const request::Commands late = harness.fireTimer(1, seconds(1) - milliseconds(100));
    CHECK(errorOf(late) == ErrorKind::DeadlinePassed);
    CHECK(findCommand<request::CancelAttempt>(late)->attempt == sent.attempt);
    CHECK(harness.reservedSlots() == 1); // the server may still run it
    CHECK(errorOf(harness.fireTimer(2, milliseconds(100))) == ErrorKind::DeadlinePassedQueued);
    harness.endAttempt(sent, AttemptResult::Cancelled);
    CHECK(harness.reservedSlots() == 0);
    CHECK(harness.engine.activeRequestCount() == 0);
}

// Guards against a slot that leaks because the AttemptEnded of a cancelled attempt is lost.
TEST_CASE("a cancelled attempt is ended when its AttemptEnded is lost", "[engine]")
{
    rig::EngineHarness harness;
    sentOf(harness.arrive(1));
    harness.fireTimer(1, seconds(1));
    harness.now += seconds(4);
    harness.handle(request::CapacityChanged {});
    CHECK(harness.reservedSlots() == 0);
    CHECK(harness.engine.attemptCount() == 0);
}

// Guards against losing the outcome of a non-idempotent request whose caller disconnects before the answer.
TEST_CASE("a non-idempotent request continues without its caller and its outcome is recorded", "[engine]")
{
    rig::EngineHarness harness;
    const std::string key = harness.shared.keys->issue(harness.now);
    const request::SendAttempt sent = sentOf(harness.arrive(1, true, key, 5));
    CHECK(harness.handle(request::CallerDisconnected { .request = sent.request }).empty());
    const request::Commands last = harness.handle(request::AnswerStarted { .request = sent.request, .attempt = sent.attempt, .status = 201 });
    CHECK(findCommand<request::CancelAttempt>(last));
    CHECK(errorOf(last) == ErrorKind::CallerGone);
    CHECK(findCommand<request::Reject>(harness.arrive(2, true, key, 5))->firstStatus == 201);
    harness.endAttempt(sent, AttemptResult::Cancelled);

    const request::SendAttempt read = sentOf(harness.arrive(3));
    const request::Commands gone = harness.handle(request::CallerDisconnected { .request = read.request });
    CHECK(findCommand<request::CancelAttempt>(gone));
    CHECK(errorOf(gone) == ErrorKind::CallerGone);
}

// Guards against rejections of requests that arrive just after a planned shutdown begins, and against an entry VM that
// accepts requests forever while it is leaving.
TEST_CASE("a leaving entry VM accepts requests for shutdownGrace", "[engine]")
{
    request::EngineOptions options;
    rig::EngineHarness harness({ .deadline = std::chrono::minutes(1) }, options);
    const request::SendAttempt early = sentOf(harness.arrive(1));
    auto leaving = std::make_shared<core::SteeringTable>(*harness.table);
    leaving->leaving = true;
    harness.engine.setTable(leaving);
    harness.handle(request::CapacityChanged {});
    harness.now += options.shutdownGrace;
    const request::SendAttempt late = sentOf(harness.arrive(2));
    harness.now += milliseconds(1);
    CHECK(errorOf(harness.arrive(3)) == ErrorKind::ShuttingDown);
    CHECK(findCommand<request::RelayAnswer>(harness.answer(early)));
    CHECK(findCommand<request::RelayAnswer>(harness.answer(late)));
}

// Guards against two answers to one request, and against a leaked slot of the attempt that answered second.
TEST_CASE("the first of two attempts wins and the other is cancelled", "[engine]")
{
    request::EngineOptions options;
    options.hedge = { .enabled = true, .budget = { .tokensPerSuccess = 0, .refillThreshold = 5, .refillPerSecond = 0, .maxTokens = 5 } };
    rig::EngineHarness harness({}, options);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const request::SendAttempt sent = sentOf(harness.arrive(id));
        harness.now += milliseconds(5);
        harness.answer(sent);
    }
    const request::Commands arrived = harness.arrive(200);
    const request::SendAttempt slow = sentOf(arrived);
    const request::SendAttempt fast = sentOf(harness.fireTimer(200, findCommand<request::SetTimer>(arrived)->time - harness.now));
    CHECK(fast.server != slow.server);
    const request::Commands won = harness.handle(request::AnswerStarted { .request = fast.request, .attempt = fast.attempt, .status = 200 });
    CHECK(findCommand<request::RelayAnswer>(won)->attempt == fast.attempt);
    CHECK(findCommand<request::CancelAttempt>(won)->attempt == slow.attempt);
    CHECK(harness.handle(request::AnswerStarted { .request = slow.request, .attempt = slow.attempt, .status = 200 }).empty());
    harness.endAttempt(fast, AttemptResult::Answered);
    harness.endAttempt(slow, AttemptResult::Cancelled);
    CHECK(harness.reservedSlots() == 0);
    CHECK(harness.engine.activeRequestCount() == 0);
}
