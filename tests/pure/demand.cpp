#include "control/demand.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
using namespace std::chrono_literals;

// Guards against a demand that stays high after the requests stop, or that never reaches the actual rate. The region
// plan would move traffic because of load that does not exist.
TEST_CASE("local demand follows the arrival rate and decays without arrivals", "[control]")
{
    control::DemandMeter meter;
    core::TimePoint now { 1h };
    for (int second = 0; second < 60; ++second) {
        now += 1s;
        meter.addArrivals("stock-lookup", 200, 20, now);
        meter.addAttempt("stock-lookup", 4ms);
    }
    const control::LocalDemand steady = meter.demand(now).at(0);
    CHECK(steady.requestsPerSecond == Approx(200).epsilon(0.15));
    CHECK(steady.meanSlotTime == 4ms);
    CHECK(meter.demand(now + 60s).at(0).requestsPerSecond < 1);
    const core::DomainDigest load = meter.loadDigest(core::SteeringTable {}, now);
    CHECK(load.classes.at(0).rejected == Approx(20).epsilon(0.15));
}
