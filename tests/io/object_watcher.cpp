#include "store/object_watcher.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

core::Object entry(const std::string& name, std::uint64_t revision, bool deleted = false)
{
    return { .kind = "servers", .name = name, .version = { .revision = revision, .version = deleted ? 1U : 0U }, .deleted = deleted, .content = deleted ? "" : "{}" };
}

store::ObjectWatcher watchServers()
{
    return store::ObjectWatcher({ .kind = "servers", .removalHoldTime = 2200ms });
}

}

// Guards against missing what happens between a list and the first watch.
TEST_CASE("a follower watches from the revision of its list", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::List);
    CHECK(watcher.handleList({ entry("a", 3) }, 7, start).size() == 1);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::Watch);
    CHECK(watcher.nextCall().fromVersion == 7);
    CHECK(watcher.handleChanges({ entry("b", 8) }, 9, start).size() == 1);
    CHECK(watcher.nextCall().fromVersion == 9);
}

// Guards against using a backend server that left while the store had dropped its history.
TEST_CASE("a list after lost history reports what is gone", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3), entry("b", 4) }, 7, start);
    watcher.recordHistoryGone(start);
    CHECK(watcher.nextCall().kind == store::WatcherCallKind::List);
    const std::vector<core::Object> news = watcher.handleList({ entry("b", 4) }, 20, start + 1s);
    REQUIRE(news.size() == 1);
    CHECK(news[0].name == "a");
    CHECK(news[0].deleted);
    CHECK(news[0].version > entry("a", 3).version);
}

// Guards against an old state that arrives after a newer one.
TEST_CASE("an older state of an object is no news", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 5) }, 7, start);
    CHECK(watcher.handleChanges({ entry("a", 4) }, 8, start).empty());
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, 9, start).empty());
}

// Guards against taking all servers for gone because their entries lapsed while the store was away.
TEST_CASE("removals that are first seen after an outage are held", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    core::RandomEngine random(1);
    watcher.handleList({ entry("a", 3), entry("b", 4) }, 7, start);
    watcher.recordFailure(start + 1s, random);
    const core::TimePoint back = start + 5s;
    CHECK(watcher.handleChanges({ entry("a", 3, true), entry("b", 4, true) }, 20, back).empty());
    SECTION("an entry that is written again was never gone")
    {
        CHECK(watcher.handleChanges({ entry("a", 21) }, 21, back + 1s).size() == 1);
        const std::vector<core::Object> gone = watcher.releaseHeldRemovals(back + 2200ms);
        REQUIRE(gone.size() == 1);
        CHECK(gone[0].name == "b");
    }
    SECTION("nothing is released before the hold is over")
    {
        CHECK(watcher.releaseHeldRemovals(back + 2100ms).empty());
        CHECK(watcher.nextReleaseTime() == back + 2200ms);
    }
}

// Guards against holding back a removal that the store reports in normal operation.
TEST_CASE("a removal without an outage is news at once", "[follower]")
{
    store::ObjectWatcher watcher = watchServers();
    watcher.handleList({ entry("a", 3) }, 7, start);
    CHECK(watcher.handleChanges({ entry("a", 3, true) }, 8, start + 1s).size() == 1);
}

// Guards against many calls, each of which is paid for, while the store refuses them.
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
