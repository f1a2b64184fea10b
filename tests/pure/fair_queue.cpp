#include "request/fair_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <tuple>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

const core::TimePoint start {};

struct RequestSpec {
    std::uint64_t id;
    std::uint64_t classKey = 1;
    std::uint32_t caller = 1;
    core::Duration deadline = 1s; // from now
    core::Duration slotTime = 10ms;
};

request::OfferResult offer(request::FairQueue& queue, const RequestSpec& spec, core::TimePoint now, double slots = 10)
{
    return queue.offer({ .request = core::RequestId { spec.id }, .serviceKey = 7, .classKey = spec.classKey, .caller = core::CallerAddress { spec.caller }, .arrival = now, .deadline = now + spec.deadline, .slotTime = spec.slotTime },
        slots, now);
}

std::uint64_t take(request::FairQueue& queue, core::TimePoint now)
{
    const std::optional<core::RequestId> taken = queue.next(now, [](const request::WaitingRequest&) { return true; });
    return taken ? static_cast<std::uint64_t>(*taken) : 0;
}

}

// Guards against one caller's flood of requests delaying the requests of other callers.
TEST_CASE("callers of a class take turns", "[queue]")
{
    request::FairQueue queue({});
    for (std::uint64_t i = 1; i <= 20; ++i)
        offer(queue, { .id = i }, start);
    offer(queue, { .id = 100, .caller = 2 }, start);
    CHECK(take(queue, start) == 1);
    CHECK(take(queue, start) == 100);
    CHECK(take(queue, start) == 2);
}

// Guards against requests of a short class waiting behind queued requests of a long class.
TEST_CASE("classes share slot time, so short requests overtake long ones", "[queue]")
{
    request::FairQueue queue({});
    for (std::uint64_t i = 1; i <= 10; ++i)
        offer(queue, { .id = i, .classKey = 2, .deadline = 60s, .slotTime = 100ms }, start);
    CHECK(take(queue, start) == 1);
    for (std::uint64_t i = 101; i <= 130; ++i)
        offer(queue, { .id = i }, start);
    std::map<bool, int> taken;
    for (int i = 0; i < 22; ++i)
        ++taken[take(queue, start) > 100];
    CHECK(taken[true] == 20);
    CHECK(taken[false] == 2);
}

// Guards against a standing queue in which FIFO order makes every request late.
TEST_CASE("the newest request goes first once the queue is standing", "[queue]")
{
    request::FairQueue queue({});
    for (std::uint64_t i = 1; i <= 5; ++i)
        offer(queue, { .id = i }, start + i * 1ms);
    CHECK(take(queue, start + 10ms) == 1);
    CHECK(take(queue, start + 300ms) == 5);
}

// Guards against starting a request that can no longer finish before its deadline.
TEST_CASE("requests that cannot meet their deadline are rejected or expire", "[queue]")
{
    request::FairQueue queue({});
    CHECK(offer(queue, { .id = 1, .deadline = 5ms }, start).rejection == core::ErrorKind::DeadlineTooShort);
    CHECK_FALSE(offer(queue, { .id = 2, .deadline = 50ms }, start).rejection);
    REQUIRE(queue.nextDeadline());
    CHECK(queue.expire(start + 40ms).empty());
    CHECK(queue.expire(*queue.nextDeadline()) == std::vector { core::RequestId { 2 } });
    CHECK_FALSE(queue.nextDeadline());
}

// Guards against an unbounded queue, and against one caller's flood that causes other callers' requests to be rejected.
TEST_CASE("the expected wait bounds the queue", "[queue]")
{
    request::FairQueue queue({ .maxExpectedWait = 50ms });
    std::size_t rejected = 0;
    for (std::uint64_t i = 1; i <= 100; ++i)
        rejected += offer(queue, { .id = i }, start, 1).rejection == core::ErrorKind::Overloaded;
    CHECK(queue.size() == 6);
    CHECK(rejected == 94);
    const request::OfferResult other = offer(queue, { .id = 200, .caller = 2 }, start, 1);
    CHECK_FALSE(other.rejection);
    CHECK(other.evicted == core::RequestId { 6 });
}

namespace {

// Reference implementation of the queue: scans all requests for each decision. Implements FIFO order only.
struct NaiveQueue {
    struct Item {
        RequestSpec spec;
        core::TimePoint arrival;
    };

    std::uint64_t take()
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < this->items.size(); ++i) {
            if (!best || this->rank(this->items[i]) < this->rank(this->items[*best]))
                best = i;
        }
        if (!best)
            return 0;
        const RequestSpec taken = this->items[*best].spec;
        const double cost = std::chrono::duration<double>(taken.slotTime).count();
        this->serviceClock = this->classStart[taken.classKey];
        this->classStart[taken.classKey] += cost;
        double& ownStart = this->callerStart[{ taken.classKey, taken.caller }];
        this->callerClock[taken.classKey] = ownStart;
        ownStart += cost;
        this->items.erase(this->items.begin() + static_cast<std::ptrdiff_t>(*best));
        return taken.id;
    }

    void add(const RequestSpec& spec, core::TimePoint now)
    {
        const auto waits = [&](bool sameCaller) { return std::ranges::any_of(this->items, [&](const Item& item) { return item.spec.classKey == spec.classKey && (!sameCaller || item.spec.caller == spec.caller); }); };
        if (!waits(false))
            this->classStart[spec.classKey] = std::max(this->classStart[spec.classKey], this->serviceClock);
        if (!waits(true))
            this->callerStart[{ spec.classKey, spec.caller }] = this->callerClock[spec.classKey];
        this->items.push_back({ spec, now });
    }

    std::tuple<double, std::uint64_t, double, std::uint32_t, core::TimePoint, std::uint64_t> rank(const Item& item)
    {
        const RequestSpec& spec = item.spec;
        return { this->classStart[spec.classKey], spec.classKey, this->callerStart[{ spec.classKey, spec.caller }], spec.caller, item.arrival, spec.id };
    }

    std::vector<Item> items;
    double serviceClock = 0;
    std::map<std::uint64_t, double> classStart;
    std::map<std::uint64_t, double> callerClock;
    std::map<std::pair<std::uint64_t, std::uint32_t>, double> callerStart;
};

}

// Guards against internal indexes of the queue that become inconsistent with the fair-queueing order. Compares with the
// reference implementation under seeded operations.
TEST_CASE("the queue serves in the order of the naive queue", "[queue]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        core::RandomEngine random(seed);
        request::FairQueue queue({ .maxRequests = 100'000, .maxExpectedWait = 1h, .minStandingTime = 1h });
        NaiveQueue naive;
        core::TimePoint now = start;
        std::vector<std::uint64_t> present;
        for (std::uint64_t id = 1; id <= 400; ++id) {
            now += core::Duration(random() % 1000);
            if (random() % 5 < 3) {
                const RequestSpec spec { .id = id, .classKey = 1 + random() % 4, .caller = static_cast<std::uint32_t>(random() % 5), .deadline = 1h, .slotTime = core::Duration(1000 << (random() % 3)) };
                CHECK_FALSE(offer(queue, spec, now).rejection);
                naive.add(spec, now);
            } else if (random() % 4 == 0 && !naive.items.empty()) {
                const std::size_t position = random() % naive.items.size();
                CHECK(queue.remove(core::RequestId { naive.items[position].spec.id }, now));
                naive.items.erase(naive.items.begin() + static_cast<std::ptrdiff_t>(position));
            } else
                CHECK(take(queue, now) == naive.take());
            CHECK(queue.size() == naive.items.size());
        }
    }
}

// Guards against lost and duplicate requests: each offered request is rejected, evicted, expired, started or still
// queued.
TEST_CASE("no request is lost or counted twice", "[queue]")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        core::RandomEngine random(seed);
        request::FairQueue queue({ .maxRequests = 60, .maxExpectedWait = 80ms });
        core::TimePoint now = start;
        std::size_t ended = 0;
        constexpr std::uint64_t count = 2000;
        for (std::uint64_t id = 1; id <= count; ++id) {
            now += core::Duration(random() % 4000);
            const request::OfferResult answer = offer(queue, { .id = id, .classKey = 1 + random() % 3, .caller = static_cast<std::uint32_t>(random() % 10), .deadline = core::Duration(random() % 200'000), .slotTime = core::Duration(1 + random() % 20'000) }, now, 2);
            ended += answer.rejection.has_value() + answer.evicted.has_value();
            CHECK_FALSE((answer.rejection && answer.evicted));
            ended += queue.expire(now).size();
            if (random() % 3 == 0)
                ended += take(queue, now) != 0;
            CHECK(queue.size() <= 60);
        }
        CHECK(ended + queue.size() == count);
    }
}
