#include "store/object_watcher.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

core::Object entry(const std::string& name, std::uint64_t storeVersion, bool deleted = false)
{
    return { .kind = "servers", .name = name, .version = { .revision = storeVersion, .version = deleted ? 1U : 0U }, .deleted = deleted, .content = deleted ? "" : "{}" };
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
    CHECK(watcher.handleList({ entry("a", 3) }, 7, start).size() == 1);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::Watch);
    CHECK(watcher.nextCall().fromVersion == 7);
    CHECK(watcher.handleChanges({ entry("b", 8) }, 9, start).size() == 1);
    CHECK(watcher.nextCall().fromVersion == 9);
}

// Guards against using a backend server that was removed in a part of the history that the store no longer holds. The
// removal only shows as an entry that is missing from the next list.
TEST_CASE("a list after lost history reports removed objects", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3), entry("b", 4) }, 7, start);
    watcher.recordHistoryGone(start);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::List);
    const std::vector<core::Object> changes = watcher.handleList({ entry("b", 4) }, 20, start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].name == "a");
    CHECK(changes[0].deleted);
    CHECK(changes[0].version > entry("a", 3).version);
}

// Guards against replacing an object by an older state of it that arrives after a newer one.
TEST_CASE("an older state of an object is not passed on", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 5) }, 7, start);
    CHECK(watcher.handleChanges({ entry("a", 4) }, 8, start).empty());
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, 9, start).empty());
}

// Guards against removing all backend servers because their entries expired during an outage of the store. The servers
// write them again soon after the outage.
TEST_CASE("removals that are first seen after an outage are held", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    core::RandomEngine random(1);
    watcher.handleList({ entry("a", 3), entry("b", 4) }, 7, start);
    watcher.recordFailure(start + 1s, random);
    const core::TimePoint outageEnd = start + 5s;
    CHECK(watcher.handleChanges({ entry("a", 3, true), entry("b", 4, true) }, 20, outageEnd).empty());
    SECTION("an entry that is written again is not removed")
    {
        CHECK(watcher.handleChanges({ entry("a", 21) }, 21, outageEnd + 1s).size() == 1);
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

// Guards against holding back a removal that the store reports in normal operation.
TEST_CASE("a removal without an outage is passed on at once", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3) }, 7, start);
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, 8, start + 1s).size() == 1);
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
