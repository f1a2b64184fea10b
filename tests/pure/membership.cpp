#include "core/hash.h"
#include "fleet/rendezvous.h"
#include "fleet_simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;

using core::MemberState;
using namespace std::chrono_literals;

// Guards against a member that never learns of the others, or learns of them only through one seed.
TEST_CASE("members that join through any seed find each other", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(10);
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
        simulation.start(20, { 7 });
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
        CHECK(simulation.snapshot(20).joined);
    }
}

// Guards against a crashed member that callers are still sent to.
TEST_CASE("a crashed member is found dead by all", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(30);
        simulation.run(10s);
        simulation.crash(4);
        auto suspected = simulation.runUntil([&] { return simulation.stateOf(9, 4) != MemberState::Alive; }, 10s);
        auto dead = simulation.runUntil(
            [&] {
                for (int observer : simulation.running()) {
                    if (simulation.stateOf(observer, 4) != MemberState::Dead)
                        return false;
                }
                return true;
            },
            15s);
        CHECK(suspected);
        CHECK(dead);
    }
}

// Guards against lossy links that make healthy members leave service.
TEST_CASE("20 % loss for ten minutes kills no healthy member", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.2, .duplication = 0.05 });
        simulation.startFleet(12);
        simulation.run(10s);
        int deaths = 0;
        for (int second = 0; second < 600; ++second) {
            simulation.run(1s);
            for (const auto& member : simulation.snapshot(second % 12).members)
                deaths += member.fact.state == MemberState::Dead;
        }
        CHECK(deaths == 0);
    }
}

// Guards against a false suspicion that stays, and against a refutation that looks like a restart:
// request keys are bound to the incarnation.
TEST_CASE("a member refutes a suspicion and keeps its incarnation", "[fleet]")
{
    FleetSimulation simulation({ .seed = 3 });
    simulation.startFleet(6);
    simulation.run(10s);
    fleet::Message lie { .fleet = core::hashBytes("test"), .sender = simulation.snapshot(1).self, .body = fleet::Records {} };
    lie.facts.push_back({ .id = simulation.snapshot(5).self, .incarnation = core::Incarnation { 1 }, .state = MemberState::Dead });
    simulation.call(2, [&](auto& node, auto now, auto& outbox) { node.handle({ .address = FleetSimulation::addressOf(1), .message = lie }, now, outbox); });
    CHECK(simulation.stateOf(2, 5) == MemberState::Suspect);
    CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
    for (const auto& member : simulation.snapshot(2).members) {
        if (member.name == FleetSimulation::nameOf(5)) {
            CHECK(member.fact.refutation > 0);
            CHECK(member.fact.incarnation == core::Incarnation { 1 });
        }
    }
}

// Guards against a process that was paused and, on waking, declares the others dead because its timers ran out.
TEST_CASE("a paused member asks before it judges", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(8);
        simulation.run(10s);
        simulation.pause(3);
        simulation.run(seed * 20s);
        CHECK(simulation.stateOf(0, 3) == MemberState::Dead);
        simulation.resume(3);
        CHECK(simulation.snapshot(3).refreshing);
        for (int i = 0; i < 8; ++i)
            CHECK(simulation.stateOf(3, i) != MemberState::Dead);
        CHECK(simulation.runUntil([&] { return !simulation.snapshot(3).refreshing; }, 1s));
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 10s));
    }
}

// Guards against regions that stay apart after the link between them is back.
TEST_CASE("regions that lost each other for minutes merge again", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(12);
        simulation.run(10s);
        simulation.partition({ { 8, 1 }, { 9, 1 }, { 10, 1 }, { 11, 1 } });
        simulation.run(5min);
        CHECK(simulation.stateOf(0, 9) == MemberState::Dead);
        CHECK(simulation.stateOf(0, 5) == MemberState::Alive);
        CHECK(simulation.stateOf(9, 0) == MemberState::Dead);
        CHECK(simulation.stateOf(9, 10) == MemberState::Alive);
        simulation.heal();
        bool falseDeath = false;
        auto merged = simulation.runUntil(
            [&] {
                falseDeath = falseDeath || simulation.stateOf(9, 10) == MemberState::Dead || simulation.stateOf(0, 5) == MemberState::Dead;
                return simulation.agree();
            },
            60s);
        CHECK(merged);
        CHECK_FALSE(falseDeath);
    }
}

// Guards against dead members that fill the memory or come back from an old message.
TEST_CASE("a dead member is remembered for an hour and then forgotten", "[fleet]")
{
    FleetSimulation simulation({ .seed = 5 });
    simulation.startFleet(4);
    simulation.run(10s);
    simulation.crash(3);
    simulation.run(59min);
    CHECK(simulation.snapshot(0).members.size() == 4);
    CHECK(simulation.stateOf(0, 3) == MemberState::Dead);
    simulation.run(2min);
    CHECK(simulation.snapshot(0).members.size() == 3);
}

// Guards against a member that leaves and is then probed, suspected and reported as a failure.
TEST_CASE("leaving is announced and known to all within seconds", "[fleet]")
{
    FleetSimulation simulation({ .seed = 6, .loss = 0.1 });
    simulation.startFleet(20);
    simulation.run(10s);
    simulation.call(7, [](auto& node, auto now, auto& outbox) { node.announceLeaving(now, outbox); });
    auto everyoneSees = [&](MemberState state) {
        return [&simulation, state] {
            for (int i = 0; i < 20; ++i) {
                if (i != 7 && simulation.stateOf(i, 7) != state)
                    return false;
            }
            return true;
        };
    };
    CHECK(simulation.runUntil(everyoneSees(MemberState::Leaving), 5s));
    simulation.depart(7);
    CHECK(simulation.runUntil(everyoneSees(MemberState::Left), 5s));
    simulation.run(30s);
    CHECK(everyoneSees(MemberState::Left)());
}

// Guards against a restarted VM that is taken for its earlier start.
TEST_CASE("a restart has a higher incarnation and the new address", "[fleet]")
{
    FleetSimulation simulation({ .seed = 7 });
    simulation.startFleet(5);
    simulation.run(10s);
    simulation.crash(2);
    simulation.run(1s);
    simulation.start(2, { 0 }, 2);
    auto newStartKnown = [&] {
        for (int observer : simulation.running()) {
            for (const auto& member : simulation.snapshot(observer).members) {
                if (member.fact.incarnation != core::Incarnation { member.name == FleetSimulation::nameOf(2) ? 2U : 1U })
                    return false;
            }
        }
        return simulation.agree();
    };
    CHECK(simulation.runUntil(newStartKnown, 5s));
}

// Guards against a duty that nobody has, or that moves although its holder did not change.
TEST_CASE("two members of a failure domain have a duty, and it moves as little as possible", "[fleet]")
{
    std::vector<fleet::MemberRecord> records;
    records.reserve(30);
    for (int i = 0; i < 30; ++i)
        records.push_back({ .fact = { .id = fleet::MemberId { core::hashBytes(FleetSimulation::nameOf(i)) } }, .name = FleetSimulation::nameOf(i), .domain = FleetSimulation::domainOf(i) });
    std::vector<const fleet::MemberRecord*> members;
    members.reserve(records.size());
    for (const auto& record : records)
        members.push_back(&record);
    const auto before = fleet::storeWatchers(members, "domain-1");
    REQUIRE(before.size() == 2);
    for (auto& record : records) {
        record.fact.state = MemberState::Dead;
        const auto after = fleet::storeWatchers(members, "domain-1");
        CHECK(after.size() == 2);
        for (fleet::MemberId id : before)
            CHECK((id == record.fact.id) == (std::find(after.begin(), after.end(), id) == after.end()));
        record.fact.state = MemberState::Alive;
    }
    CHECK(fleet::storeWatchers(members, "elsewhere").empty());
}

// Guards against traffic per member that grows with the fleet.
TEST_CASE("messages and facts per member do not grow with the fleet", "[fleet]")
{
    auto perMember = [](int members) {
        FleetSimulation simulation({ .seed = 8 });
        simulation.startFleet(members);
        simulation.run(40s);
        std::size_t units = 0;
        simulation.onSend = [&](int, const fleet::OutgoingMessage& out) { units += 1 + out.message.facts.size() + out.message.records.size(); };
        simulation.run(30s);
        return static_cast<double>(units) / members / 30;
    };
    const double small = perMember(10);
    CHECK(small < 6);
    CHECK(perMember(80) < 1.2 * small);
}
