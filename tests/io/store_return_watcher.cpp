// What one watcher makes of a store that comes back from an older copy.

#include "store_return_fixture.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::testing;
using namespace std::chrono_literals;

// Guards against a configuration that goes back with the store, and against new ones that are turned down afterwards.
TEST_CASE("a configuration stays in force when the copy holds an older one", "[store-return-watcher]")
{
    FollowedStore followed(configurations);
    auto& [store, vm] = followed;
    followed.keepCopyWith("main", configuration(3), "three");
    store.writeOthers(40);
    store.write(configurations, "main", configuration(7), "seven");
    vm.poll();
    store.comeBack();
    vm.run(10s);
    CHECK(vm.contentOf("main") == "seven");
    SECTION("which is written again")
    {
        store.write(configurations, "main", configuration(7), "seven");
        vm.poll();
        CHECK(vm.contentOf("main") == "seven");
    }
    store.write(configurations, "main", configuration(8), "eight");
    vm.poll();
    CHECK(vm.contentOf("main") == "eight");
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against a configuration that is dropped because the copy is older than the first one.
TEST_CASE("a configuration that the copy lacks stays in force", "[store-return-watcher]")
{
    FollowedStore followed(configurations);
    auto& [store, vm] = followed;
    followed.keepCopy();
    store.write(configurations, "main", configuration(7), "seven");
    vm.poll();
    store.comeBack();
    vm.run(30s);
    CHECK(vm.contentOf("main") == "seven");
    store.write(configurations, "main", configuration(8), "eight");
    vm.poll();
    CHECK(vm.contentOf("main") == "eight");
}

// Guards against a lifted evacuation that is in force again because the copy holds it.
TEST_CASE("a lifted evacuation that came back is held", "[store-return-watcher]")
{
    FollowedStore followed(evacuations, { .reportsRemovalsWithLastRevision = GENERATE(false, true) });
    auto& [store, vm] = followed;
    followed.keepCopyWith("alp-a", noOrder);
    REQUIRE(vm.find("alp-a"));
    store.writeOthers(20);
    store.remove(evacuations, "alp-a");
    vm.poll();
    REQUIRE_FALSE(vm.find("alp-a"));
    store.comeBack();
    vm.run(2500ms);
    CHECK_FALSE(vm.find("alp-a"));
    SECTION("until the second list, if nobody lifts it again")
    {
        vm.run(1500ms);
        CHECK(vm.find("alp-a"));
        store.remove(evacuations, "alp-a");
        vm.poll();
        CHECK_FALSE(vm.find("alp-a"));
    }
    SECTION("for good, if it is lifted again")
    {
        store.remove(evacuations, "alp-a");
        vm.run(10s);
        CHECK_FALSE(vm.find("alp-a"));
    }
    SECTION("not when it is written in the new era")
    {
        store.write(evacuations, "alp-a", noOrder);
        vm.poll();
        CHECK(vm.find("alp-a"));
        vm.run(10s);
        CHECK(vm.find("alp-a"));
        store.remove(evacuations, "alp-a");
        vm.poll();
        CHECK_FALSE(vm.find("alp-a"));
    }
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against a hold that keeps off an evacuation that the operator ordered after the return, just before this VM's
// first list.
TEST_CASE("an evacuation of the new era is taken from the first list", "[store-return-watcher]")
{
    FollowedStore followed(evacuations);
    auto& [store, vm] = followed;
    followed.keepCopyWith("alp-a", noOrder);
    store.writeOthers(20);
    store.remove(evacuations, "alp-a");
    vm.poll();
    store.comeBack();
    store.write(evacuations, "alp-a", noOrder);
    vm.run(1s);
    CHECK(vm.find("alp-a"));
}

// Guards against a VM that starts after the return and ends with another state than the others.
TEST_CASE("a VM that knows only the copy agrees with one that holds a removal", "[store-return-watcher]")
{
    FollowedStore followed(evacuations, { .reportsRemovalsWithLastRevision = GENERATE(false, true) });
    auto& [store, vm] = followed;
    followed.keepCopyWith("alp-a", noOrder);
    store.remove(evacuations, "alp-a");
    vm.poll();
    store.comeBack();
    vm.run(1s);
    Follower fresh(store, evacuations);
    fresh.poll();
    CHECK(fresh.find("alp-a"));
    CHECK(vm.versionOf("alp-a") > fresh.versionOf("alp-a")); // the removal that is held wins
    vm.run(4s);
    CHECK(vm.find("alp-a"));
    CHECK(vm.versionOf("alp-a") > fresh.versionOf("alp-a")); // and so does the end of the hold
    store.remove(evacuations, "alp-a");
    vm.poll();
    fresh.poll();
    CHECK_FALSE(vm.find("alp-a"));
    CHECK_FALSE(fresh.find("alp-a"));
    CHECK(vm.versionOf("alp-a") >= fresh.versionOf("alp-a"));
}

// Guards against requests to a failure domain whose evacuation was lost, before the operator writes it again.
TEST_CASE("an evacuation that the copy lacks is held", "[store-return-watcher]")
{
    FollowedStore followed(evacuations);
    auto& [store, vm] = followed;
    followed.keepCopy();
    store.write(evacuations, "alp-a", noOrder);
    vm.poll();
    store.comeBack();
    vm.run(5s);
    CHECK(vm.find("alp-a"));
    SECTION("until the hold time is over")
    {
        vm.run(6s);
        CHECK_FALSE(vm.find("alp-a"));
    }
    SECTION("for good, if it is written again")
    {
        store.write(evacuations, "alp-a", noOrder);
        vm.run(20s);
        CHECK(vm.find("alp-a"));
        store.remove(evacuations, "alp-a");
        vm.poll();
        CHECK_FALSE(vm.find("alp-a"));
    }
}

// Guards against requests to a backend server that left in the time that the store lost.
TEST_CASE("a server that left stays out of use although the copy holds its entry", "[store-return-watcher]")
{
    FollowedStore followed(servers, { .reportsRemovalsWithLastRevision = GENERATE(false, true) });
    auto& [store, vm] = followed;
    followed.keepCopyWith("a", server(5), "ready");
    store.write(servers, "a", server(6), "draining");
    vm.poll();
    SECTION("its departure is undone")
    {
        store.comeBack();
        vm.run(10s);
        CHECK(vm.contentOf("a") == "draining");
    }
    SECTION("its removal is undone")
    {
        store.remove(servers, "a");
        vm.poll();
        store.comeBack();
        vm.run(10s);
        CHECK_FALSE(vm.find("a"));
    }
    SECTION("it starts again under its id")
    {
        store.remove(servers, "a");
        vm.poll();
        store.comeBack();
        vm.run(1s);
        store.write(servers, "a", server(1, startedAtMs + 4000), "restarted");
        vm.poll();
        CHECK(vm.contentOf("a") == "restarted");
        vm.run(10s);
        CHECK(vm.contentOf("a") == "restarted");
    }
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against servers that are dropped because their entries are not back yet, and against ones that stay for ever.
TEST_CASE("a server that the copy lacks is kept until it can have written its entry again", "[store-return-watcher]")
{
    FollowedStore followed(servers);
    auto& [store, vm] = followed;
    followed.keepCopy();
    store.write(servers, "a", server(5), "ready");
    vm.poll();
    store.comeBack();
    vm.run(1900ms);
    CHECK(vm.find("a"));
    SECTION("it is back")
    {
        store.write(servers, "a", server(5), "ready");
        vm.run(10s);
        CHECK(vm.contentOf("a") == "ready");
        store.write(servers, "a", server(6), "draining");
        vm.poll();
        CHECK(vm.contentOf("a") == "draining");
    }
    SECTION("it has gone")
    {
        vm.run(1s);
        CHECK_FALSE(vm.find("a"));
    }
    SECTION("it is back late")
    {
        vm.run(2s);
        store.write(servers, "a", server(5), "ready");
        vm.poll();
        CHECK(vm.contentOf("a") == "ready");
    }
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against an entry that is used although its present text names no server.
TEST_CASE("an entry that another writer replaced follows the store in normal operation", "[store-return-watcher]")
{
    ReturningStore store;
    store.write(servers, "a", server(5), "ready");
    Follower vm(store, servers);
    vm.poll();
    store.write(servers, "a", server(0, 0), "unreadable");
    SECTION("by a watch")
    {
        vm.poll();
    }
    SECTION("by a list")
    {
        vm.state().recordHistoryGone(vm.now);
        vm.poll();
    }
    CHECK(vm.contentOf("a") == "unreadable");
    store.write(servers, "a", server(6), "draining");
    vm.poll();
    CHECK(vm.contentOf("a") == "draining");
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against stale lists and late answers that undo what later ones reported.
TEST_CASE("an answer that was made before the known one changes nothing", "[store-return-watcher]")
{
    const std::string kind = GENERATE(configurations, servers, evacuations);
    const std::uint64_t before = kind == servers ? server(5) : configuration(5);
    const std::uint64_t after = kind == servers ? server(6) : configuration(6);
    ReturningStore store;
    store.write(kind, "a", before, "before");
    const ReturningStore earlier = store;
    Follower vm(store, kind);
    vm.poll();
    store.write(kind, "a", after, "after");
    store.write(kind, "b", after, "after");
    vm.poll();
    SECTION("a stale list")
    {
        vm.state().recordHistoryGone(vm.now);
        CHECK(vm.state().handleList(earlier.list(kind), earlier.position(), vm.now).empty());
    }
    SECTION("a late watch")
    {
        CHECK(vm.state().handleChanges(*earlier.changesSince(kind, 0), earlier.position(), vm.now).empty());
    }
    vm.poll();
    CHECK(vm.contentOf("a") == "after");
    CHECK(vm.contentOf("b") == "after");
}

// Guards against a hold that another return ends too early, or that never ends.
TEST_CASE("a return during a return begins the holds anew", "[store-return-watcher]")
{
    FollowedStore followed(evacuations);
    auto& [store, vm] = followed;
    followed.keepCopyWith("lifted", noOrder);
    store.write(evacuations, "ordered", noOrder);
    store.remove(evacuations, "lifted");
    vm.poll();
    store.comeBack();
    vm.run(2s);
    store.writeOthers(GENERATE(0U, 5U, 60U));
    store.comeBack();
    vm.run(2500ms);
    CHECK_FALSE(vm.find("lifted"));
    CHECK(vm.find("ordered"));
    vm.run(6500ms); // the hold of the first return is over
    CHECK(vm.find("ordered"));
    vm.run(2500ms);
    CHECK(vm.find("lifted"));
    CHECK_FALSE(vm.find("ordered"));
    store.remove(evacuations, "lifted");
    store.write(evacuations, "ordered", noOrder);
    vm.poll();
    CHECK_FALSE(vm.find("lifted"));
    CHECK(vm.find("ordered"));
    CHECK_FALSE(vm.hasTurnedBack());
}

// Guards against a VM that misses a return whose era no answer showed it.
TEST_CASE("two returns between two calls are one for the watcher", "[store-return-watcher]")
{
    FollowedStore followed(configurations);
    auto& [store, vm] = followed;
    followed.keepCopyWith("main", configuration(3), "three");
    store.write(configurations, "main", configuration(7), "seven");
    vm.poll();
    store.comeBack();
    store.write(configurations, "main", configuration(7), "seven");
    store.comeBack();
    vm.run(1s);
    CHECK(vm.contentOf("main") == "seven");
    store.write(configurations, "main", configuration(8), "eight");
    vm.run(500ms);
    CHECK(vm.contentOf("main") == "eight");
    const std::optional<store::StoreReturn> storeReturn = vm.state().takeReturn();
    REQUIRE(storeReturn);
    CHECK(storeReturn->previousEra == 1);
    CHECK(storeReturn->era == 3);
}

// Guards against a watch that goes on as if nothing had happened, because the revisions have passed the lost ones.
TEST_CASE("a return is noticed when the revisions have passed the lost ones", "[store-return-watcher]")
{
    FollowedStore followed(configurations);
    auto& [store, vm] = followed;
    followed.keepCopyWith("main", configuration(3), "three");
    store.write(configurations, "main", configuration(7), "seven");
    vm.poll();
    store.comeBack();
    store.write(configurations, "main", configuration(8), "eight");
    store.writeOthers(60);
    vm.run(500ms);
    CHECK(vm.contentOf("main") == "eight");
    CHECK(vm.state().reached() == store.position());
}
