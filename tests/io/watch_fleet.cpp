// Watches of the store by many members, in virtual time: what they cost, and how soon news arrives when connections go
// silent, members die or lose the store.

#include "watch_fleet.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;
using testing::WatchFleet;

// Guards against calls to the store that grow with the fleet as if each member had to ask often, and against members that
// don't know how old their knowledge is.
TEST_CASE("watches of a large fleet cost few calls, and no knowledge is old", "[watch-fleet]")
{
    for (const int size : { 1, 9, 40, 195 }) {
        WatchFleet fleet({ .size = size });
        fleet.takeOldestAge();
        const double calls = fleet.callsPerSecond(90s);
        const core::Duration oldest = fleet.takeOldestAge();
        INFO(size << " members");
        CHECK(calls < 1.5 + size / 15.0); // as many as if each asked every 15 s, and those of one that asks every second
        CHECK(oldest < 8s);
    }
}

// Guards against news that waits for the end of watches whose connections are dead without being closed.
TEST_CASE("a change reaches a fleet in time after all its store connections went silent", "[watch-fleet]")
{
    const core::Duration delay = GENERATE(as<core::Duration> {}, 0ms, 1000ms, 4000ms);
    for (const int size : { 1, 2, 9, 40, 195 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            WatchFleet fleet({ .size = size, .seed = seed });
            fleet.silence();
            fleet.run(delay);
            fleet.change();
            INFO(size << " members, seed " << seed);
            CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
        }
    }
}

// Guards against a fleet that depends on one member: it dies or loses the store just when the others' watches go silent.
TEST_CASE("a fleet whose first watcher fails still learns of changes", "[watch-fleet]")
{
    const bool dies = GENERATE(true, false);
    for (const int size : { 3, 9, 40 }) {
        WatchFleet fleet({ .size = size });
        const int first = fleet.firstRanked();
        fleet.silence();
        if (dies)
            fleet.crash(first);
        else
            fleet.cutFromStore(first);
        fleet.run(8s);
        fleet.change();
        INFO(size << " members, dies " << dies);
        CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
    }
}

// Guards against a member that relies on a dead watch although its peers know more.
TEST_CASE("a member with a silent watch replaces it when its peers know more", "[watch-fleet]")
{
    WatchFleet fleet({ .size = 9 });
    const int silent = fleet.firstRanked() == 3 ? 4 : 3;
    fleet.silence(silent);
    fleet.run(4s);
    fleet.change();
    CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
    fleet.takeOldestAge();
    fleet.run(10s);
    CHECK(fleet.takeOldestAge() < 5s);
}
