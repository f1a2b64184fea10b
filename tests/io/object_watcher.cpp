#include "store/object_watcher.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

core::Object entry(const std::string& name, std::uint64_t storeVersion, bool deleted = false)
{
    const core::PositionStage stage = deleted ? core::PositionStage::Removed : core::PositionStage::Written;
    return { .kind = "servers", .name = name, .version = { .revision = 0, .version = core::packPosition({ .era = 0, .revision = storeVersion }, stage) }, .deleted = deleted, .content = deleted ? "" : "{}" };
}

core::StorePosition at(std::uint64_t revision, std::uint64_t era = 0)
{
    return { .era = era, .revision = revision };
}

store::ObjectWatcher watchServers()
{
    return store::ObjectWatcher({ .kind = "servers", .removalHoldTime = 2200ms });
}

}

// Guards against missing changes between a list and the first watch: the watch must start at the list's store version.
TEST_CASE("a watcher watches from the version of its list", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::List);
    CHECK(watcher.handleList({ entry("a", 3) }, at(7), start).size() == 1);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::Watch);
    CHECK(watcher.nextCall().fromVersion == 7);
    CHECK(watcher.handleChanges({ entry("b", 8) }, at(9), start).size() == 1);
    CHECK(watcher.nextCall().fromVersion == 9);
}

// Guards against using a backend server that was removed in a part of the history that the store no longer holds. The
// removal only shows as an entry that is missing from the next list.
TEST_CASE("a list after lost history reports removed objects", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3), entry("b", 4) }, at(7), start);
    watcher.recordHistoryGone(start);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::List);
    const std::vector<core::Object> changes = watcher.handleList({ entry("b", 4) }, at(20), start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].name == "a");
    CHECK(changes[0].deleted);
    CHECK(changes[0].version > entry("a", 3).version);
}

// Guards against replacing an object by an older state of it that arrives after a newer one.
TEST_CASE("an older state of an object is not passed on", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 5) }, at(7), start);
    CHECK(watcher.handleChanges({ entry("a", 4) }, at(8), start).empty());
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, at(9), start).empty());
}

// Guards against removing all backend servers because their entries expired during an outage of the store. The servers
// write them again soon after the outage.
TEST_CASE("removals that are first seen after an outage are held", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    core::RandomEngine random(1);
    watcher.handleList({ entry("a", 3), entry("b", 4) }, at(7), start);
    watcher.recordFailure(start + 1s, random);
    const core::TimePoint outageEnd = start + 5s;
    CHECK(watcher.handleChanges({ entry("a", 3, true), entry("b", 4, true) }, at(20), outageEnd).empty());
    SECTION("an entry that is written again is not removed")
    {
        CHECK(watcher.handleChanges({ entry("a", 21) }, at(21), outageEnd + 1s).size() == 1);
        const std::vector<core::Object> removed = watcher.releaseHeldRemovals(outageEnd + 2200ms);
        REQUIRE(removed.size() == 1);
        CHECK(removed[0].name == "b");
    }
    SECTION("nothing is released before the hold time is over")
    {
        CHECK(watcher.releaseHeldRemovals(outageEnd + 2100ms).empty());
        CHECK(watcher.nextReleaseTime() == outageEnd + 2200ms);
    }
}

// Guards against a server that left and stays in use while the store fails again and again.
TEST_CASE("another outage doesn't postpone a held removal", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    core::RandomEngine random(1);
    watcher.handleList({ entry("a", 3) }, at(7), start);
    watcher.recordFailure(start + 1s, random);
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, at(20), start + 5s).empty());
    watcher.recordFailure(start + 6s, random);
    watcher.recordHistoryGone(start + 6500ms);
    CHECK(watcher.handleList({}, at(21), start + 6500ms).empty());
    CHECK(watcher.nextReleaseTime() == start + 7200ms);
}

// Guards against holding back a removal that the store reports in normal operation.
TEST_CASE("a removal without an outage is passed on at once", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3) }, at(7), start);
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, at(8), start + 1s).size() == 1);
}

// Guards against a high rate of calls while the store refuses them: every call is billed.
TEST_CASE("calls become rare while the store fails", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    core::RandomEngine random(7);
    core::TimePoint now = start;
    int calls = 0;
    while (now < start + 10s) {
        ++calls;
        watcher.recordFailure(now, random);
        now = watcher.nextCall().notBefore;
    }
    CHECK(calls <= 24);
}

// Guards against members that all ask often, and against a first one that waits so long that a dead connection hides news.
TEST_CASE("only the first member's watch is short", "[follower]")
{
    store::ObjectWatcher watcher({ .kind = "servers", .maxWait = 30s, .confirmInterval = 700ms });
    watcher.handleList({ entry("a", 3) }, at(7), start);
    watcher.setFleetKnowledge({ .rank = 0, .members = 9 }, start);
    CHECK(watcher.nextCall().wait == 700ms);
    watcher.setFleetKnowledge({ .rank = 1, .members = 9 }, start);
    CHECK(watcher.nextCall().wait == 30s);
}

// Guards against a dead watch that is believed, and against one that is given up again and again while the store is silent.
TEST_CASE("a watch is replaced once when the fleet's knowledge is old", "[follower]")
{
    store::ObjectWatcher watcher({ .kind = "servers", .batchDelay = 300ms, .confirmInterval = 700ms });
    watcher.handleList({ entry("a", 3) }, at(7), start);
    watcher.handleChanges({}, at(7), start);
    const auto replacementDelay = [&](std::size_t rank, std::optional<core::TimePoint> confirmedAt) {
        watcher.setFleetKnowledge({ .rank = rank, .members = 9, .newest = at(3), .confirmedAt = confirmedAt }, start);
        return watcher.replacementTime() - start;
    };
    CHECK(replacementDelay(0, {}) == 1600ms); // the wait, the batch delay and the time for the answer
    CHECK(replacementDelay(1, {}) > replacementDelay(0, {}) + 2s); // the first member's confirmation needs time to spread
    CHECK(replacementDelay(2, {}) > replacementDelay(1, {}));
    CHECK(replacementDelay(1, start + 5s) == replacementDelay(1, {}) + 5s);
    watcher.recordReplacement(start + 10s);
    CHECK(watcher.nextCall().wait == 0s);
    CHECK(watcher.replacementTime() == core::TimePoint::max());
    watcher.handleChanges({}, at(8), start + 11s);
    CHECK(watcher.nextCall().wait > 0s);
    CHECK(watcher.replacementTime() > start + 11s);
}

// Guards against a member that goes on with a dead watch although its peers know more.
TEST_CASE("a watch that lacks a peer's change is replaced, one that has it isn't", "[follower]")
{
    store::ObjectWatcher watcher({ .kind = "servers", .batchDelay = 300ms });
    watcher.handleList({ entry("a", 3) }, at(7), start);
    watcher.handleChanges({}, at(7), start);
    const auto knowsOfPeers = [&](std::uint64_t newestRevision, core::TimePoint now) { watcher.setFleetKnowledge({ .rank = 1, .members = 9, .newest = at(newestRevision), .confirmedAt = now }, now); };
    knowsOfPeers(9, start + 100ms);
    knowsOfPeers(9, start + 600ms);
    CHECK(watcher.replacementTime() == start + 900ms);
    watcher.handleChanges({ entry("b", 9) }, at(9), start + 700ms);
    knowsOfPeers(9, start + 800ms);
    CHECK(watcher.replacementTime() > start + 3s);
}

// Guards against a store that is slow and never heard, because each call ends before its answer arrives.
TEST_CASE("the time for an answer grows while the store fails", "[follower]")
{
    core::RandomEngine random(1);
    store::ObjectWatcher watcher({ .kind = "servers", .answerTimeout = 600ms, .maxAnswerTimeout = 1500ms });
    watcher.handleList({}, at(7), start);
    CHECK(watcher.nextCall().answerTimeout == 600ms);
    watcher.recordFailure(start, random);
    CHECK(watcher.nextCall().answerTimeout == 1200ms);
    watcher.recordFailure(start, random);
    CHECK(watcher.nextCall().answerTimeout == 1500ms);
    watcher.handleChanges({}, at(7), start);
    CHECK(watcher.nextCall().answerTimeout == 600ms);
}
