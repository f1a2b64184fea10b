// A seeded soak of returns of the store from a copy, in series and beside other disturbances of the store, of each VM's way
// to it and of the VMs. After each return, operators and backend servers write their last states again. Meanwhile
// configurations are changed, servers leave and failure domains are evacuated, and callers go on using their connections.
//
// CRANBERRYSHED_SEEDS, such as "1-50", replaces the seeds of the test. CRANBERRYSHED_LOGS names a folder for the VMs' logs.

#include "check_soaks.h"

#include <catch2/catch.hpp>

using namespace cranberryshed::test;

namespace {

std::vector<Step> makeSchedule(unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<Step> steps = makeDisturbances(static_cast<unsigned>(random() % 4), random);
    const unsigned returnCount = 1 + static_cast<unsigned>(random() % 3);
    for (unsigned i = 0; i < returnCount; ++i) {
        Step step { .at = randomTime(500, 14000, random), .disturbance = Disturbance::StoreReturn, .duration = randomTime(100, 2000, random), .lostStates = 10 + static_cast<unsigned>(random() % 40), .rewriteDelay = randomTime(0, 4000, random) };
        if (random() % 4 != 0)
            step.copyAge = randomTime(500, 5000, random);
        steps.push_back(std::move(step));
    }
    return steps;
}

}

// Guards against VMs that turn down changes as old, go back to an older configuration, or send requests to servers that
// have left or are evacuated, because the store came back from a copy.
TEST_CASE("changes and departures hold on all VMs across returns of the store from copies", "[fleet-returns]")
{
    std::vector<SoakOptions> runs;
    for (const unsigned seed : seedsOr({ 2, 3 }))
        runs.push_back({ .seed = seed, .schedule = makeSchedule(seed), .serverDomains = { "north-1", "north-1", "north-2", "north-2" }, .evacuates = true, .keepsConnections = true });
    checkSoaks(runs);
}
