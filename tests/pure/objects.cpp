#include "core/hash.h"
#include "fleet_simulation.h"

#include <catch2/catch.hpp>
#include <map>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;

using namespace std::chrono_literals;

namespace {

core::Object object(const std::string& name, std::uint64_t revision, std::string content = "{}")
{
    return { .kind = "target", .name = name, .version = { .revision = revision, .version = revision * 10 }, .deleted = false, .content = std::move(content) };
}

std::shared_ptr<const core::Object> find(FleetSimulation& simulation, int member, const std::string& name)
{
    for (const auto& candidate : simulation.snapshot(member).objects) {
        if (candidate->name == name)
            return candidate;
    }
    return nullptr;
}

void publish(FleetSimulation& simulation, int member, core::Object content)
{
    simulation.call(member, [&](auto& node, auto now, auto&) { node.publish(std::move(content), now); });
}

std::function<bool()> everyoneHas(FleetSimulation& simulation, const std::string& name, std::uint64_t revision)
{
    return [&simulation, name, revision] {
        for (int member : simulation.running()) {
            auto known = find(simulation, member, name);
            if (!known || known->version.revision != revision)
                return false;
        }
        return true;
    };
}

}

// Guards against a change that stays with the member that received it. The other members cannot read it from the store
// while that is down.
TEST_CASE("a change known to one member reaches 30 members within 5 s", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = seed % 2 ? 0.2 : 0 });
        simulation.startFleet(30);
        simulation.run(10s);
        publish(simulation, static_cast<int>(seed) % 30, object("small", 1));
        CHECK(simulation.runUntil(everyoneHas(simulation, "small", 1), 5s));
        const std::string large(200'000, 'x');
        publish(simulation, 3, object("large", 1, large));
        CHECK(simulation.runUntil(everyoneHas(simulation, "large", 1), 5s));
        CHECK(find(simulation, 20, "large")->content == large);
    }
}

// Guards against a change that spreads slowly or in far too many messages, because all watchers read it from the store
// at the same time and each gossips it.
TEST_CASE("a change that the watchers read from the store reaches 30 members within 2 s", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.05 });
        simulation.startFleet(30);
        simulation.run(10s);
        std::vector<int> watching;
        for (int member : simulation.running()) {
            if (simulation.snapshot(member).isStoreWatcher)
                watching.push_back(member);
        }
        CHECK(watching.size() == 6); // two in each of three failure domains
        std::size_t pushes = 0;
        simulation.onSend = [&](int, const fleet::OutgoingMessage& out) { pushes += std::holds_alternative<fleet::ObjectPush>(out.message.body); };
        for (int member : watching)
            publish(simulation, member, object("from-store", 4));
        CHECK(simulation.runUntil(everyoneHas(simulation, "from-store", 4), 2s));
        simulation.run(10s);
        CHECK(pushes <= 30 * 12);
    }
}

// Guards against an old version that replaces a newer one because it arrives later, from a restored store or in a
// delayed message.
TEST_CASE("an old version never replaces a newer one", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.2, .duplication = 0.2, .maxDelay = 3s });
        simulation.startFleet(8);
        simulation.run(10s);
        core::RandomEngine random(seed);
        std::map<int, core::ObjectVersion> highest;
        core::ObjectVersion last;
        for (int step = 0; step < 200; ++step) {
            auto next = object("t", std::uniform_int_distribution<std::uint64_t>(1, 50)(random));
            next.version.version = random() % 5;
            next.content = std::to_string(next.version.revision) + "/" + std::to_string(next.version.version);
            next.deleted = random() % 4 == 0;
            last = std::max(last, next.version);
            publish(simulation, static_cast<int>(random() % 8), next);
            simulation.run(50ms);
            for (int member = 0; member < 8; ++member) {
                auto known = find(simulation, member, "t");
                if (!known)
                    continue;
                CHECK(known->version >= highest[member]);
                highest[member] = known->version;
            }
        }
        simulation.run(20s);
        for (int member = 0; member < 8; ++member)
            CHECK(find(simulation, member, "t")->version == last);
    }
}

// Guards against a deleted object that reappears, because a member that missed the deletion sends its copy to the
// others.
TEST_CASE("a deletion reaches members that were cut off and is not undone", "[fleet]")
{
    FleetSimulation simulation({ .seed = 2 });
    simulation.startFleet(9);
    publish(simulation, 0, object("gone", 1));
    simulation.run(10s);
    simulation.partition({ { 6, 1 }, { 7, 1 }, { 8, 1 } });
    auto deletion = object("gone", 2);
    deletion.deleted = true;
    publish(simulation, 0, deletion);
    simulation.run(3min);
    CHECK_FALSE(find(simulation, 7, "gone")->deleted);
    simulation.heal();
    CHECK(simulation.runUntil(everyoneHas(simulation, "gone", 2), 60s));
    CHECK(find(simulation, 7, "gone")->deleted);
    simulation.run(30min);
    CHECK(find(simulation, 0, "gone")->deleted);
}

// Guards against a member that learns nothing from its peers for seconds after a short partition: it and the others hold
// each other for dead and rarely try again.
TEST_CASE("a change reaches a member that was cut off alone until 4 s before", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(8);
        simulation.run(10s + seed * 700ms);
        simulation.partition({ { 7, 1 } });
        const auto isDeadForAll = [&] {
            return std::ranges::all_of(std::array { 0, 1, 2, 3, 4, 5, 6 }, [&](int other) { return simulation.stateOf(other, 7) == core::MemberState::Dead && simulation.stateOf(7, other) == core::MemberState::Dead; });
        };
        REQUIRE(simulation.runUntil(isDeadForAll, 60s));
        simulation.run(seed * 300ms);
        simulation.heal();
        simulation.run(4s);
        publish(simulation, 0, object("late", 5, std::string(4000, 'c')));
        INFO("seed " << seed);
        CHECK(simulation.runUntil([&] { return find(simulation, 7, "late") != nullptr; }, 2500ms));
    }
}

// Guards against the two sides of a partition that keep different objects after it has ended.
TEST_CASE("changes made on both sides of a partition merge", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(12);
        simulation.run(10s);
        simulation.partition({ { 8, 1 }, { 9, 1 }, { 10, 1 }, { 11, 1 } });
        simulation.run(2min);
        publish(simulation, 1, object("left", 5));
        publish(simulation, 9, object("right", 6));
        publish(simulation, 1, object("both", 7));
        publish(simulation, 9, object("both", 8));
        simulation.run(30s);
        CHECK(find(simulation, 10, "both")->version.revision == 8);
        CHECK_FALSE(find(simulation, 10, "left"));
        simulation.heal();
        CHECK(simulation.runUntil(
            [&] { return everyoneHas(simulation, "left", 5)() && everyoneHas(simulation, "right", 6)() && everyoneHas(simulation, "both", 8)(); }, 60s));
    }
}

// Guards against objects that are lost or revert to an older version when every VM is replaced while the store is down,
// so that the members are the only copies.
TEST_CASE("all members are replaced one by one and nothing is lost", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.05 });
        simulation.startFleet(9);
        simulation.run(10s);
        for (int i = 0; i < 40; ++i)
            publish(simulation, i % 9, object("o" + std::to_string(i), 1, std::string(static_cast<std::size_t>(i) * 60, 'c')));
        simulation.run(10s);
        for (int i = 0; i < 9; ++i) {
            if (i % 3 == 0)
                simulation.crash(i);
            else
                simulation.stopAfterLeaving(i);
            simulation.start(100 + i, { (i + 1) % 9, (i + 2) % 9, 100, 101 });
            // A replaced VM must serve within 3 s with the store down.
            CHECK(simulation.runUntil([&] { return simulation.snapshot(100 + i).objects.size() == 40; }, 3s));
            publish(simulation, 100 + i, object("o" + std::to_string(i), 2 + static_cast<std::uint64_t>(i)));
            simulation.run(5s);
        }
        simulation.run(30s);
        CHECK(simulation.agree());
        for (int i = 0; i < 40; ++i)
            CHECK(everyoneHas(simulation, "o" + std::to_string(i), i < 9 ? 2 + static_cast<std::uint64_t>(i) : 1)());
    }
}

// Guards against a quarantine that does not reach all members because of lost datagrams, that never expires, or that
// cannot be withdrawn.
TEST_CASE("items reach all members, expire and are withdrawn", "[fleet]")
{
    FleetSimulation simulation({ .seed = 4, .loss = 0.1 });
    simulation.startFleet(15);
    simulation.run(10s);
    auto count = [&](std::size_t expected) {
        return [&simulation, expected] {
            for (int member : simulation.running()) {
                if (simulation.snapshot(member).items.size() != expected)
                    return false;
            }
            return true;
        };
    };
    auto publishItem = [&](int member, const fleet::Item& item) { simulation.call(member, [&](auto& node, auto now, auto&) { node.publish(item, now); }); };
    publishItem(2, { .kind = fleet::ItemKind::Quarantine, .key = "00ff", .remaining = 60s, .content = "{}" });
    publishItem(3, { .kind = fleet::ItemKind::Suspect, .key = "00ff", .remaining = 300s });
    CHECK(simulation.runUntil(count(2), 5s));
    CHECK(simulation.snapshot(9).objects.empty());
    publishItem(11, { .kind = fleet::ItemKind::Suspect, .key = "00ff", .withdrawn = true, .remaining = 300s });
    CHECK(simulation.runUntil(count(1), 5s));
    simulation.run(40s);
    CHECK(count(1)());
    simulation.run(20s);
    CHECK(count(0)());
}

namespace {

// A reference replication: each change is stored at all members at once, and the last write wins.
struct BroadcastFleet {
    std::vector<std::map<std::string, core::Object>> members;

    void publish(const core::Object& changed)
    {
        for (auto& member : this->members)
            member[changed.name] = changed;
    }
};

}

// Compares gossip with a full broadcast: changes made in the order of their versions must end in the same state, also
// if gossip loses and duplicates datagrams.
TEST_CASE("the replicated objects equal those of a full broadcast", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.1, .duplication = 0.1 });
        BroadcastFleet broadcast { .members = std::vector<std::map<std::string, core::Object>>(10) };
        simulation.startFleet(10);
        simulation.run(5s);
        core::RandomEngine random(seed);
        for (std::uint64_t revision = 1; revision <= 60; ++revision) {
            auto changed = object("n" + std::to_string(random() % 12), revision, "{\"unknownField\": " + std::to_string(random()) + "}");
            publish(simulation, static_cast<int>(random() % 10), changed);
            broadcast.publish(changed);
            simulation.run(100ms);
        }
        simulation.run(15s);
        for (int member = 0; member < 10; ++member) {
            const auto& expected = broadcast.members[static_cast<std::size_t>(member)];
            const auto objects = simulation.snapshot(member).objects;
            REQUIRE(objects.size() == expected.size());
            for (const auto& known : objects) {
                CHECK(known->version == expected.at(known->name).version);
                CHECK(known->content == expected.at(known->name).content);
            }
        }
    }
}
