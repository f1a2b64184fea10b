#include "request/lanes.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

// Guards against long requests, such as archive downloads, that occupy all slots of a server.
TEST_CASE("long requests leave a slot of each server to short ones", "[lanes]")
{
    core::RandomEngine random(1);
    for (int i = 0; i < 2000; ++i) {
        core::ServerEntry server;
        server.slots = 2 + random() % 7;
        server.key = random();
        const request::LaneLimits lanes = request::LaneLimits::forShortUtilization(static_cast<double>(random() % 101), 100);
        const std::uint32_t longLimit = lanes.maxSlots(server, core::WorkLength::Long);
        CHECK(longLimit >= 1);
        CHECK(longLimit < server.slots);
        CHECK(lanes.maxSlots(server, core::WorkLength::Short) == server.slots);
    }
}

// Guards against a long share that does not follow the demand of short requests.
TEST_CASE("the long share decreases with the demand of short requests", "[lanes]")
{
    request::LaneDemand demand(10s);
    core::TimePoint now { 1s };
    for (int i = 0; i < 5000; ++i) {
        now += 10ms;
        demand.add(core::WorkLength::Short, 40ms, now);
    }
    CHECK(demand.slots(core::WorkLength::Short, now) == Approx(4).epsilon(0.05));
    CHECK(demand.slots(core::WorkLength::Long, now) == 0);
    CHECK(demand.slots(core::WorkLength::Short, now + 10s) == Approx(4 / 2.718).epsilon(0.05));
    core::ServerEntry server;
    CHECK(request::LaneLimits::forShortUtilization(6, 10).maxSlots(server, core::WorkLength::Long) == 1);
    CHECK(request::LaneLimits::forShortUtilization(1, 10).maxSlots(server, core::WorkLength::Long) == 2);
}

// Guards against a full share of requests for a cold server.
TEST_CASE("warmth limits the usable slots", "[lanes]")
{
    core::ServerEntry server;
    const std::vector<std::pair<double, std::uint32_t>> expected = { { 0, 0 }, { 0.1, 1 }, { 0.4, 2 }, { 0.7, 3 }, { 1, 3 } };
    for (const auto& [warmth, slots] : expected) {
        server.warmth = warmth;
        CHECK(request::usableSlots(server) == slots);
        CHECK(request::LaneLimits {}.maxSlots(server, core::WorkLength::Long) <= slots);
    }
}

// Guards against long transfers that fill a link between regions, so that short requests cannot get through.
TEST_CASE("long transfers get the bandwidth left by short requests, at most two thirds", "[lanes]")
{
    const request::LinkShare share { .capacityMbitPerSecond = 280 };
    CHECK(share.split(0, 1000).longMbitPerSecond == Approx(280 * 2.0 / 3));
    CHECK(share.split(200, 1000).longMbitPerSecond == Approx(80));
    CHECK(share.split(500, 1000).longMbitPerSecond == Approx(0));
    CHECK(share.longTransferMbitPerSecond(200, 1000, 4) == Approx(20));
    core::RandomEngine random(2);
    for (int i = 0; i < 1000; ++i) {
        const auto shortDemand = static_cast<double>(random() % 600);
        const auto longDemand = static_cast<double>(random() % 600);
        const request::LinkShare::Limits limits = share.split(shortDemand, longDemand);
        CHECK(limits.longMbitPerSecond <= longDemand);
        CHECK(limits.longMbitPerSecond + limits.shortMbitPerSecond == Approx(280));
        CHECK(limits.shortMbitPerSecond + 1e-9 >= std::min(shortDemand, 280.0));
    }
}

// Guards against long requests that keep all connections to a server busy.
TEST_CASE("long requests get a share of an entry VM's connections", "[lanes]")
{
    CHECK(request::maxLongConnections(330, 9, 0.5) == 18);
    CHECK(request::maxLongConnections(330, 460, 0.5) == 1);
}
