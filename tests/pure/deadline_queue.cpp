#include "request/deadline_queue.h"

#include "request/retry_allowance.h"
#include "rig/engine_harness.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

request::WaitingRequest waiting(std::uint64_t id, core::Duration deadline, unsigned priority = 1)
{
    return { .request = core::RequestId { id }, .serviceKey = 1, .classKey = 1, .arrival = start, .deadline = start + deadline, .slotTime = 100ms, .priority = priority };
}

request::DeadlineQueue makeQueue()
{
    return request::DeadlineQueue(request::DeadlineQueue::Options {});
}

}

// Guards against an urgent request that is served after a less urgent one that arrived earlier or is due earlier.
TEST_CASE("the more urgent class goes first, then the earliest deadline", "[worth-queue]")
{
    request::DeadlineQueue queue = makeQueue();
    queue.offer(waiting(1, 2s, 2), 1, start);
    queue.offer(waiting(2, 3s, 1), 1, start);
    queue.offer(waiting(3, 2s, 1), 1, start);
    std::vector<std::uint64_t> order;
    while (const auto next = queue.next(start, [](const auto&) { return true; }))
        order.push_back(static_cast<std::uint64_t>(*next));
    CHECK(order == std::vector<std::uint64_t> { 3, 2, 1 });
}

// Guards against requests that wait until their deadline although it was foreseeable on arrival that they would get no
// slot. Offers many times more requests than the queue expects to start.
TEST_CASE("requests that can't be served are rejected on arrival, with a retry hint", "[worth-queue]")
{
    request::DeadlineQueue queue = makeQueue();
    std::size_t rejected = 0;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const request::OfferResult offer = queue.offer(waiting(id, 2s), 1, start);
        rejected += offer.rejection ? 1 : 0;
        if (offer.rejection)
            CHECK(offer.retryAfter.value_or(0s) > 0s);
    }
    CHECK(rejected >= 90);
    CHECK(queue.size() + rejected == 100);
}

// Guards against a queued request that is kept although its deadline minus its expected slot time has passed.
TEST_CASE("a request expires as soon as it can no longer finish before its deadline", "[worth-queue]")
{
    request::DeadlineQueue queue = makeQueue();
    REQUIRE_FALSE(queue.offer(waiting(1, 500ms), 1, start).rejection);
    CHECK(queue.expire(start + 399ms).empty());
    CHECK(queue.expire(start + 401ms).size() == 1);
    CHECK(queue.size() == 0);
}

// Guards against head-of-line blocking: the first request cannot start, although a slot is free for a later one.
TEST_CASE("a request whose server is full does not hold up the others", "[worth-queue]")
{
    request::DeadlineQueue queue = makeQueue();
    queue.offer(waiting(1, 1s), 1, start);
    queue.offer(waiting(2, 2s), 1, start);
    const auto next = queue.next(start, [](const request::WaitingRequest& request) { return request.request == core::RequestId { 2 }; });
    CHECK(next == core::RequestId { 2 });
    CHECK(queue.size() == 1);
}

// Guards against a traffic split that deviates from its weights. Each entry VM must keep to them on its own, because
// there is no shared counter.
TEST_CASE("the traffic split of a route follows its weights within 40 requests", "[split]")
{
    rig::EngineHarness harness;
    harness.table->classes[0].route = "route";
    harness.table->classes[0].weight = 90;
    core::ClassEntry second = harness.table->classes[0];
    second.name = "second";
    second.weight = 10;
    harness.table->classes.push_back(second);
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto sent = rig::findCommand<request::SendAttempt>(harness.arrive(i));
        REQUIRE(sent);
        harness.answer(*sent);
    }
    std::map<std::string, int> counts;
    for (const request::AttemptObserved& observed : rig::observationsOf<request::AttemptObserved>(harness.observations))
        ++counts[observed.className];
    CHECK(counts["read"] == 36);
    CHECK(counts["second"] == 4);
}

// Guards against a wrong 404: an entry VM that has not yet received a configuration can't decide whether a class
// exists.
TEST_CASE("without a configuration a request is rejected as not run", "[split]")
{
    rig::EngineHarness harness;
    harness.table->classes.clear();
    const auto rejected = rig::findCommand<request::Reject>(harness.arrive(1));
    REQUIRE(rejected);
    CHECK(rejected->error == core::ErrorKind::NotReady);
    CHECK(core::errorInfo(rejected->error).runState == core::RunState::NotRun);
}

// Guards against aborting a non-idempotent request because its caller disconnected, which would leave its outcome
// unknown.
TEST_CASE("a non-idempotent request without a key continues when its caller disconnects", "[split]")
{
    rig::EngineHarness harness;
    harness.table->classes[1].requiresKey = false;
    const auto sent = rig::findCommand<request::SendAttempt>(harness.arrive(1, true));
    REQUIRE(sent);
    CHECK_FALSE(rig::findCommand<request::CancelAttempt>(harness.handle(request::CallerDisconnected { .request = sent->request })));
}
