// A fleet whose store comes back from an older copy, in virtual time: which state its members agree on, and what the
// return costs in calls to the store.

#include "store_return_fixture.h"
#include "watch_fleet.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;
using namespace cranberryshed::testing;

namespace {

WatchFleet::Options fleetOf(int size, std::uint64_t seed = 1)
{
    return { .size = size, .seed = seed, .watchers = { watcherOptions(configurations), watcherOptions(servers), watcherOptions(evacuations) } };
}

// Writes what the copy keeps, and then what is lost.
void writeBeforeReturn(WatchFleet& fleet)
{
    fleet.write(evacuations, "lifted", noOrder);
    for (int i = 0; i < 10; ++i)
        fleet.write(servers, "s" + std::to_string(i), server(1), "ready");
    fleet.write(servers, "leaving", server(1), "ready");
    fleet.write(servers, "gone", server(1), "ready");
    fleet.write(configurations, "main", configuration(3), "three");
    fleet.run(5s);
    fleet.keepCopy();
    fleet.remove(evacuations, "lifted");
    fleet.write(evacuations, "ordered", noOrder);
    fleet.write(servers, "leaving", server(2), "draining");
    fleet.remove(servers, "gone");
    fleet.write(servers, "s0", server(2), "busy");
    fleet.write(configurations, "main", configuration(7), "seven");
    fleet.run(5s);
}

// Writes the last states once more, as operators and backend servers do.
void writeAgain(WatchFleet& fleet)
{
    fleet.remove(evacuations, "lifted");
    fleet.write(evacuations, "ordered", noOrder);
    fleet.write(servers, "leaving", server(3), "draining");
    fleet.remove(servers, "gone");
    fleet.write(servers, "s0", server(3), "busy");
    fleet.write(configurations, "main", configuration(7), "seven");
}

}

// Guards against VMs that turn down what is written after a return, and against ones that end with different states.
TEST_CASE("a fleet agrees with its store after a return", "[store-return-fleet]")
{
    for (const int size : { 1, 2, 9, 40, 195 }) {
        for (std::uint64_t seed = 1; seed <= (size > 40 ? 1U : 3U); ++seed) {
            INFO(size << " members, seed " << seed);
            WatchFleet fleet(fleetOf(size, seed));
            writeBeforeReturn(fleet);
            fleet.comeBack(1s);
            fleet.run(500ms);
            writeAgain(fleet);
            fleet.run(2500ms);
            fleet.write(configurations, "main", configuration(8), "eight");
            CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
            CHECK(fleet.agreementTime(60s).has_value());
        }
    }
}

// Guards against members that the return reaches late, or that learn of it from their peers alone.
TEST_CASE("members that the return reaches at different times agree", "[store-return-fleet]")
{
    for (const int size : { 3, 9, 40 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO(size << " members, seed " << seed);
            WatchFleet fleet(fleetOf(size, seed));
            writeBeforeReturn(fleet);
            const int cut = (fleet.firstRanked(configurations) + 1) % size;
            const int late = (cut + 1) % size;
            fleet.cutFromStore(cut);
            fleet.cutFromStore(late);
            fleet.comeBack(1s);
            fleet.run(2s);
            fleet.reconnectToStore(late);
            fleet.run(500ms);
            writeAgain(fleet);
            fleet.run(500ms);
            fleet.write(configurations, "main", configuration(8), "eight");
            CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
            CHECK(fleet.agreementTime(60s).has_value());
            fleet.reconnectToStore(cut);
            fleet.run(30s);
            CHECK(fleet.agreementTime(1s).has_value());
        }
    }
}

// Guards against a state that only one VM publishes, and that stays in force after that VM has died.
TEST_CASE("the death of a member during a return leaves no state behind", "[store-return-fleet]")
{
    for (const int size : { 2, 3, 9 }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            for (const core::Duration delay : { 200ms, 1000ms, 2500ms, 4000ms }) {
                INFO(size << " members, seed " << seed << ", killed " << delay / 1ms << " ms after the return");
                WatchFleet fleet(fleetOf(size, seed));
                writeBeforeReturn(fleet);
                const bool isFirst = seed % 2 == 0;
                const int killed = isFirst ? fleet.firstRanked(evacuations) : (fleet.firstRanked(evacuations) + 1) % size;
                fleet.comeBack(1s);
                fleet.run(delay);
                fleet.crash(killed);
                fleet.run(3s);
                fleet.start(killed);
                fleet.run(2s);
                CHECK(fleet.agreementTime(40s, evacuations).has_value());
                writeAgain(fleet);
                CHECK(fleet.agreementTime(40s).has_value());
            }
        }
    }
}

// Guards against a VM that has just started, is the only one left and keeps what its dead peers had held.
TEST_CASE("a member that started during a return and is left alone follows the store", "[store-return-fleet]")
{
    WatchFleet::Options options = fleetOf(1);
    options.store.reportsRemovalsWithLastRevision = GENERATE(false, true);
    WatchFleet fleet(options);
    fleet.write(evacuations, "lifted", noOrder);
    fleet.run(5s);
    fleet.keepCopy();
    fleet.remove(evacuations, "lifted");
    fleet.run(5s);
    fleet.comeBack(1s);
    fleet.run(1s);
    fleet.start(1);
    fleet.run(1500ms);
    SECTION("while a removal is held")
    {
        fleet.crash(0);
    }
    SECTION("after the hold")
    {
        fleet.run(5s);
        fleet.crash(0);
        fleet.remove(evacuations, "lifted");
    }
    CHECK(fleet.agreementTime(60s).has_value());
}

// Guards against a return that makes all members list at the same moment, or go on calling.
TEST_CASE("a return costs a bounded number of calls", "[store-return-fleet]")
{
    for (const int size : { 1, 9, 40, 195 }) {
        WatchFleet fleet(fleetOf(size));
        writeBeforeReturn(fleet);
        fleet.comeBack(1s);
        fleet.run(500ms);
        writeAgain(fleet);
        fleet.run(14500ms);
        const WatchFleet::CallCounts counts = fleet.callsSinceReturn();
        INFO(size << " members: " << counts.all << " calls in 15 s, of which " << counts.lists << " lists; at most " << counts.mostIn1s << " in 1 s, " << counts.mostIn100ms << " in 100 ms, " << counts.mostListsIn100ms << " lists in 100 ms");
        CHECK(counts.lists <= 6U * static_cast<unsigned>(size)); // two of each kind
        CHECK(counts.mostIn1s <= 2000); // which the store bears
        CHECK(counts.mostListsIn100ms <= 3U * static_cast<unsigned>(size) / (size < 40 ? 1U : 2U));
    }
}

// Guards against a single answer with a wrong era that keeps a fleet from news or makes it call the store without end.
TEST_CASE("one answer with too high an era does no harm", "[store-return-fleet]")
{
    for (const int size : { 1, 2, 9 }) {
        for (const std::string era : { "2", "900" }) {
            INFO(size << " members, era " << era);
            WatchFleet fleet(fleetOf(size));
            fleet.write(evacuations, "first", noOrder);
            fleet.write(configurations, "main", configuration(1), "one");
            fleet.run(10s);
            const double callsBefore = fleet.callsPerSecond(60s);
            fleet.misstateEra(0, era);
            fleet.run(500ms);
            fleet.write(configurations, "main", configuration(2), "two");
            CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
            fleet.run(20s);
            fleet.remove(evacuations, "first");
            fleet.write(evacuations, "second", noOrder);
            CHECK(fleet.agreementTime(2500ms).has_value());
            fleet.run(10s);
            CHECK(fleet.callsPerSecond(60s) < 1.5 * callsBefore + 1);
            SECTION("nor after that member has died")
            {
                if (size > 1) {
                    fleet.crash(0);
                    fleet.remove(evacuations, "second");
                    CHECK(fleet.agreementTime(5s).has_value());
                }
            }
            SECTION("nor hide the next return")
            {
                fleet.keepCopy();
                fleet.writeOthers(40);
                fleet.remove(evacuations, "second");
                fleet.run(3s);
                fleet.comeBack(1s);
                fleet.run(500ms);
                fleet.remove(evacuations, "second");
                fleet.write(evacuations, "second", noOrder);
                CHECK(fleet.agreementTime(2500ms).has_value());
            }
        }
    }
}
