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

// Guards against a leaked slot and a second answer to the caller when the front end reports an event twice.
TEST_CASE("a request is sent, its answer relayed once and its slot released", "[engine]")
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
    CHECK(one.engine.activeRequestCount() == 0);
}

// Guards against an answer that reaches the wrong request when an event combines the ids of one request and another
// request's attempt.
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

// Guards against a retry that goes to the server that refused the request, and against one without a delay.
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

// Guards against running a non-idempotent request twice: the server may have run it before the connection broke.
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

// Guards against a request key that cannot be used again although no server accepted its request.
TEST_CASE("a request key is released when no server accepted the request", "[engine]")
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

// Guards against a wrong "not run" for a request that is rejected later, after one of its attempts may have run.
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

// Guards against an attempt that keeps running uncancelled after the deadline of its request, and against a wrong
// "not run" for that request.
TEST_CASE("the deadline ends queued and running requests differently", "[engine]")
{
    rig::OneEngine one({ .servers = 1, .slots = 1 });
    const request::SendAttempt sent = sentOf(one.arrive(1));
    one.now += milliseconds(100);
    CHECK_FALSE(find<request::SendAttempt>(one.arrive(2)));
    const request::Commands late = one.timer(1, seconds(1) - milliseconds(100));
    CHECK(errorOf(late) == ErrorKind::DeadlinePassed);
    CHECK(find<request::CancelAttempt>(late)->attempt == sent.attempt);
    CHECK(one.taken() == 1); // the server may still run it
    CHECK(errorOf(one.timer(2, milliseconds(100))) == ErrorKind::DeadlinePassedQueued);
    one.end(sent, AttemptResult::Cancelled);
    CHECK(one.taken() == 0);
    CHECK(one.engine.activeRequestCount() == 0);
}

// Guards against a slot that leaks because the AttemptEnded of a cancelled attempt is lost.
TEST_CASE("a cancelled attempt is ended when its AttemptEnded is lost", "[engine]")
{
    rig::OneEngine one;
    sentOf(one.arrive(1));
    one.timer(1, seconds(1));
    one.now += seconds(4);
    one.handle(request::CapacityChanged {});
    CHECK(one.taken() == 0);
    CHECK(one.engine.attemptCount() == 0);
}

// Guards against losing the outcome of a non-idempotent request whose caller disconnects before the answer.
TEST_CASE("a non-idempotent request continues without its caller and its outcome is recorded", "[engine]")
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

// Guards against rejections of requests that arrive just after a planned shutdown begins, and against an entry VM that
// accepts requests forever while it is leaving.
TEST_CASE("a leaving entry VM accepts requests for shutdownGrace", "[engine]")
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

// Guards against two answers to one request, and against a leaked slot of the attempt that answered second.
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
    CHECK(one.engine.activeRequestCount() == 0);
}
