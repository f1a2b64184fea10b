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

std::shared_ptr<const core::Object> find(Shuffler& shuffler, int member, const std::string& name)
{
    for (const auto& candidate : shuffler.snapshot(member).objects) {
        if (candidate->name == name)
            return candidate;
    }
    return nullptr;
}

void publish(Shuffler& shuffler, int member, core::Object content)
{
    shuffler.call(member, [&](auto& node, auto now, auto&) { node.publish(std::move(content), now); });
}

std::function<bool()> everyoneHas(Shuffler& shuffler, const std::string& name, std::uint64_t revision)
{
    return [&shuffler, name, revision] {
        for (int member : shuffler.running()) {
            auto known = find(shuffler, member, name);
            if (!known || known->version.revision != revision)
                return false;
        }
        return true;
    };
}

}

// Guards against a change that is known to one member only while the store is down.
TEST_CASE("a change known to one member reaches 30 members within 5 s", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Shuffler shuffler({ .seed = seed, .loss = seed % 2 ? 0.2 : 0 });
        shuffler.startFleet(30);
        shuffler.run(10s);
        publish(shuffler, static_cast<int>(seed) % 30, object("small", 1));
        CHECK(shuffler.runUntil(everyoneHas(shuffler, "small", 1), 5s));
        const std::string large(200'000, 'x');
        publish(shuffler, 3, object("large", 1, large));
        CHECK(shuffler.runUntil(everyoneHas(shuffler, "large", 1), 5s));
        CHECK(find(shuffler, 20, "large")->content == large);
    }
}

// Guards against a change that all watchers see at the same time and that then takes long, or starts a storm.
TEST_CASE("a change that the watchers take from the store reaches 30 members within 2 s", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Shuffler shuffler({ .seed = seed, .loss = 0.05 });
        shuffler.startFleet(30);
        shuffler.run(10s);
        std::vector<int> watching;
        for (int member : shuffler.running()) {
            if (shuffler.snapshot(member).watcher)
                watching.push_back(member);
        }
        CHECK(watching.size() == 6); // two in each of three failure domains
        std::size_t pushes = 0;
        shuffler.onSend = [&](int, const fleet::Outgoing& out) { pushes += std::holds_alternative<fleet::ObjectPush>(out.message.body); };
        for (int member : watching)
            publish(shuffler, member, object("from-store", 4));
        CHECK(shuffler.runUntil(everyoneHas(shuffler, "from-store", 4), 2s));
        shuffler.run(10s);
        CHECK(pushes <= 30 * 12);
    }
}

// Guards against an old version that wins because it arrives later, from a restored store or a slow message.
TEST_CASE("an old version never replaces a newer one", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Shuffler shuffler({ .seed = seed, .loss = 0.2, .duplication = 0.2, .longestDelay = 3s });
        shuffler.startFleet(8);
        shuffler.run(10s);
        core::RandomEngine random(seed);
        std::map<int, core::ObjectVersion> highest;
        core::ObjectVersion last;
        for (int step = 0; step < 200; ++step) {
            auto next = object("t", std::uniform_int_distribution<std::uint64_t>(1, 50)(random));
            next.version.version = random() % 5;
            next.content = std::to_string(next.version.revision) + "/" + std::to_string(next.version.version);
            next.deleted = random() % 4 == 0;
            last = std::max(last, next.version);
            publish(shuffler, static_cast<int>(random() % 8), next);
            shuffler.run(50ms);
            for (int member = 0; member < 8; ++member) {
                auto known = find(shuffler, member, "t");
                if (!known)
                    continue;
                CHECK(known->version >= highest[member]);
                highest[member] = known->version;
            }
        }
        shuffler.run(20s);
        for (int member = 0; member < 8; ++member)
            CHECK(find(shuffler, member, "t")->version == last);
    }
}

// Guards against a deleted object that comes back from a member that missed the deletion.
TEST_CASE("a deletion reaches members that were cut off and is not undone", "[fleet]")
{
    Shuffler shuffler({ .seed = 2 });
    shuffler.startFleet(9);
    publish(shuffler, 0, object("gone", 1));
    shuffler.run(10s);
    shuffler.partition({ { 6, 1 }, { 7, 1 }, { 8, 1 } });
    auto deletion = object("gone", 2);
    deletion.deleted = true;
    publish(shuffler, 0, deletion);
    shuffler.run(3min);
    CHECK_FALSE(find(shuffler, 7, "gone")->deleted);
    shuffler.heal();
    CHECK(shuffler.runUntil(everyoneHas(shuffler, "gone", 2), 60s));
    CHECK(find(shuffler, 7, "gone")->deleted);
    shuffler.run(30min);
    CHECK(find(shuffler, 0, "gone")->deleted);
}

// Guards against both sides of a partition keeping their own state after it ended.
TEST_CASE("changes made on both sides of a partition merge", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Shuffler shuffler({ .seed = seed });
        shuffler.startFleet(12);
        shuffler.run(10s);
        shuffler.partition({ { 8, 1 }, { 9, 1 }, { 10, 1 }, { 11, 1 } });
        shuffler.run(2min);
        publish(shuffler, 1, object("left", 5));
        publish(shuffler, 9, object("right", 6));
        publish(shuffler, 1, object("both", 7));
        publish(shuffler, 9, object("both", 8));
        shuffler.run(30s);
        CHECK(find(shuffler, 10, "both")->version.revision == 8);
        CHECK_FALSE(find(shuffler, 10, "left"));
        shuffler.heal();
        CHECK(shuffler.runUntil(
            [&] { return everyoneHas(shuffler, "left", 5)() && everyoneHas(shuffler, "right", 6)() && everyoneHas(shuffler, "both", 8)(); }, 60s));
    }
}

// Guards against state that is lost, or a target that reverts, while every VM is replaced with the store down.
TEST_CASE("all members are replaced one by one and nothing is lost", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Shuffler shuffler({ .seed = seed, .loss = 0.05 });
        shuffler.startFleet(9);
        shuffler.run(10s);
        for (int i = 0; i < 40; ++i)
            publish(shuffler, i % 9, object("o" + std::to_string(i), 1, std::string(static_cast<std::size_t>(i) * 60, 'c')));
        shuffler.run(10s);
        for (int i = 0; i < 9; ++i) {
            if (i % 3 == 0)
                shuffler.crash(i);
            else
                shuffler.depart(i);
            shuffler.start(100 + i, { (i + 1) % 9, (i + 2) % 9, 100, 101 });
            // A replaced VM must serve within 3 s with the store down.
            CHECK(shuffler.runUntil([&] { return shuffler.snapshot(100 + i).objects.size() == 40; }, 3s));
            publish(shuffler, 100 + i, object("o" + std::to_string(i), 2 + static_cast<std::uint64_t>(i)));
            shuffler.run(5s);
        }
        shuffler.run(30s);
        CHECK(shuffler.agree());
        for (int i = 0; i < 40; ++i)
            CHECK(everyoneHas(shuffler, "o" + std::to_string(i), i < 9 ? 2 + static_cast<std::uint64_t>(i) : 1)());
    }
}

// Guards against a quarantine that some members do not know, that never ends, or that cannot be withdrawn.
TEST_CASE("items reach all members, expire and are withdrawn", "[fleet]")
{
    Shuffler shuffler({ .seed = 4, .loss = 0.1 });
    shuffler.startFleet(15);
    shuffler.run(10s);
    auto count = [&](std::size_t expected) {
        return [&shuffler, expected] {
            for (int member : shuffler.running()) {
                if (shuffler.snapshot(member).items.size() != expected)
                    return false;
            }
            return true;
        };
    };
    auto say = [&](int member, const fleet::Item& item) { shuffler.call(member, [&](auto& node, auto now, auto&) { node.publish(item, now); }); };
    say(2, { .kind = fleet::ItemKind::Quarantine, .key = "00ff", .remaining = 60s, .content = "{}" });
    say(3, { .kind = fleet::ItemKind::Suspect, .key = "00ff", .remaining = 300s });
    CHECK(shuffler.runUntil(count(2), 5s));
    CHECK(shuffler.snapshot(9).objects.empty());
    say(11, { .kind = fleet::ItemKind::Suspect, .key = "00ff", .withdrawn = true, .remaining = 300s });
    CHECK(shuffler.runUntil(count(1), 5s));
    shuffler.run(40s);
    CHECK(count(1)());
    shuffler.run(20s);
    CHECK(count(0)());
}

namespace {

// The simplest replication: every member sends every change to all others, and the last write to arrive wins.
struct NaiveFleet {
    std::vector<std::map<std::string, core::Object>> members;

    void publish(const core::Object& changed)
    {
        for (auto& member : this->members)
            member[changed.name] = changed;
    }
};

}

// Differential: without loss and with changes in the order of their versions, gossip must end in the state of
// the naive replication.
TEST_CASE("the replicated objects equal those of a full broadcast", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Shuffler shuffler({ .seed = seed, .loss = 0.1, .duplication = 0.1 });
        NaiveFleet naive { .members = std::vector<std::map<std::string, core::Object>>(10) };
        shuffler.startFleet(10);
        shuffler.run(5s);
        core::RandomEngine random(seed);
        for (std::uint64_t revision = 1; revision <= 60; ++revision) {
            auto changed = object("n" + std::to_string(random() % 12), revision, "{\"unknownField\": " + std::to_string(random()) + "}");
            publish(shuffler, static_cast<int>(random() % 10), changed);
            naive.publish(changed);
            shuffler.run(100ms);
        }
        shuffler.run(15s);
        for (int member = 0; member < 10; ++member) {
            const auto& expected = naive.members[static_cast<std::size_t>(member)];
            const auto objects = shuffler.snapshot(member).objects;
            REQUIRE(objects.size() == expected.size());
            for (const auto& known : objects) {
                CHECK(known->version == expected.at(known->name).version);
                CHECK(known->content == expected.at(known->name).content);
            }
        }
    }
}
