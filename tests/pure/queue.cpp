#include "request/queue.h"

#include <catch2/catch.hpp>
#include <map>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

const core::TimePoint start {};

struct Ask {
    std::uint64_t id;
    std::uint64_t classKey = 1;
    std::uint32_t caller = 1;
    core::Duration deadline = 1s; // from now
    core::Duration serviceTime = 10ms;
};

request::Offer offer(request::WaitQueue& queue, const Ask& ask, core::TimePoint now, double slots = 10)
{
    return queue.offer({ .request = core::RequestId { ask.id }, .pool = 7, .classKey = ask.classKey, .caller = core::CallerAddress { ask.caller }, .arrival = now, .deadline = now + ask.deadline, .serviceTime = ask.serviceTime },
        slots, now);
}

std::uint64_t take(request::WaitQueue& queue, core::TimePoint now)
{
    const std::optional<core::RequestId> taken = queue.next(now, [](const request::WaitingRequest&) { return true; });
    return taken ? static_cast<std::uint64_t>(*taken) : 0;
}

}

// Guards against a caller that floods the queue and delays the requests of others.
TEST_CASE("callers of a class take turns", "[queue]")
{
    request::WaitQueue queue({});
    for (std::uint64_t i = 1; i <= 20; ++i)
        offer(queue, { .id = i }, start);
    offer(queue, { .id = 100, .caller = 2 }, start);
    CHECK(take(queue, start) == 1);
    CHECK(take(queue, start) == 100);
    CHECK(take(queue, start) == 2);
}

// Guards against short work that waits behind long work.
TEST_CASE("classes share slot time, so short work passes long work", "[queue]")
{
    request::WaitQueue queue({});
    for (std::uint64_t i = 1; i <= 10; ++i)
        offer(queue, { .id = i, .classKey = 2, .deadline = 60s, .serviceTime = 100ms }, start);
    CHECK(take(queue, start) == 1);
    for (std::uint64_t i = 101; i <= 130; ++i)
        offer(queue, { .id = i }, start);
    std::map<bool, int> taken;
    for (int i = 0; i < 22; ++i)
        ++taken[take(queue, start) > 100];
    CHECK(taken[true] == 20);
    CHECK(taken[false] == 2);
}

// Guards against a standing queue in which every request is served too late to be of use.
TEST_CASE("the newest request goes first once the queue is standing", "[queue]")
{
    request::WaitQueue queue({});
    for (std::uint64_t i = 1; i <= 5; ++i)
        offer(queue, { .id = i }, start + i * 1ms);
    CHECK(take(queue, start + 10ms) == 1);
    CHECK(take(queue, start + 300ms) == 5);
}

// Guards against work that is started although it cannot be finished in time.
TEST_CASE("requests that cannot meet their deadline are refused or expire", "[queue]")
{
    request::WaitQueue queue({});
    CHECK(offer(queue, { .id = 1, .deadline = 5ms }, start).refusal == core::ErrorKind::DeadlineTooShort);
    CHECK_FALSE(offer(queue, { .id = 2, .deadline = 50ms }, start).refusal);
    REQUIRE(queue.nextDeadline());
    CHECK(queue.expire(start + 40ms).empty());
    CHECK(queue.expire(*queue.nextDeadline()) == std::vector { core::RequestId { 2 } });
    CHECK_FALSE(queue.nextDeadline());
}

// Guards against a queue that grows without bound, and against a flood that keeps other callers out.
TEST_CASE("the expected wait bounds the queue", "[queue]")
{
    request::WaitQueue queue({ .longestWait = 50ms });
    std::size_t refused = 0;
    for (std::uint64_t i = 1; i <= 100; ++i)
        refused += offer(queue, { .id = i }, start, 1).refusal == core::ErrorKind::Overloaded;
    CHECK(queue.size() == 6);
    CHECK(refused == 94);
    const request::Offer other = offer(queue, { .id = 200, .caller = 2 }, start, 1);
    CHECK_FALSE(other.refusal);
    CHECK(other.evicted == core::RequestId { 6 });
}
