#include "core/hash.h"
#include "fleet/rendezvous.h"
#include "fleet_simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;

using core::MemberState;
using namespace std::chrono_literals;

// Guards against a member that does not learn of all others, because only one particular seed answers completely.
TEST_CASE("members that join through any seed find each other", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(10);
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
        simulation.start(20, { 7 });
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
        CHECK(simulation.snapshot(20).hasJoined);
    }
}

// Guards against a crashed member that some members still hold as alive, so that callers are still sent to it.
TEST_CASE("all members declare a crashed member dead", "[fleet]")
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

// Guards against healthy members that are declared dead and get no more callers, because lost datagrams make probes and
// refutations fail.
TEST_CASE("no healthy member is declared dead in ten minutes with 20 % loss", "[fleet]")
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

// Guards against a false suspicion that is not refuted, and against a refutation that looks like a restart because it
// raises the incarnation: request keys are bound to the incarnation.
TEST_CASE("a member refutes a suspicion and keeps its incarnation", "[fleet]")
{
    FleetSimulation simulation({ .seed = 3 });
    simulation.startFleet(6);
    simulation.run(10s);
    fleet::Message falseReport { .fleet = core::hashBytes("test"), .sender = simulation.snapshot(1).self, .body = fleet::Records {} };
    falseReport.facts.push_back({ .id = simulation.snapshot(5).self, .incarnation = core::Incarnation { 1 }, .state = MemberState::Dead });
    simulation.call(2, [&](auto& node, auto now, auto& outbox) { node.handle({ .address = FleetSimulation::addressOf(1), .message = falseReport }, now, outbox); });
    CHECK(simulation.stateOf(2, 5) == MemberState::Suspect);
    CHECK(simulation.runUntil([&] { return simulation.agree(); }, 5s));
    for (const auto& member : simulation.snapshot(2).members) {
        if (member.name == FleetSimulation::nameOf(5)) {
            CHECK(member.fact.refutation > 0);
            CHECK(member.fact.incarnation == core::Incarnation { 1 });
        }
    }
}

// Guards against a paused process that declares the others dead when it resumes, because its timers expired meanwhile.
TEST_CASE("a resumed member asks its peers before it declares any dead", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation simulation({ .seed = seed });
        simulation.startFleet(8);
        simulation.run(10s);
        simulation.pause(3);
        simulation.run(seed * 20s);
        CHECK(simulation.stateOf(0, 3) == MemberState::Dead);
        simulation.resume(3);
        CHECK(simulation.snapshot(3).isRefreshing);
        for (int i = 0; i < 8; ++i)
            CHECK(simulation.stateOf(3, i) != MemberState::Dead);
        CHECK(simulation.runUntil([&] { return !simulation.snapshot(3).isRefreshing; }, 1s));
        CHECK(simulation.runUntil([&] { return simulation.agree(); }, 10s));
    }
}

// Guards against regions that stay partitioned after the link between them is restored, because each has declared the
// other dead and no longer probes it.
TEST_CASE("regions merge again after a partition of some minutes", "[fleet]")
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

// Guards against dead members that are kept without limit, or that are removed so early that an old message brings them
// back.
TEST_CASE("a dead member is remembered for an hour and then removed", "[fleet]")
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

// Guards against a member that leaves on purpose and is then probed, suspected and reported dead, because others did
// not receive its announcement.
TEST_CASE("all members learn within seconds that a member leaves", "[fleet]")
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
    simulation.stopAfterLeaving(7);
    CHECK(simulation.runUntil(everyoneSees(MemberState::Left), 5s));
    simulation.run(30s);
    CHECK(everyoneSees(MemberState::Left)());
}

// Guards against a restarted VM that others still hold with its earlier incarnation, although it joined again.
TEST_CASE("all members learn the higher incarnation of a restarted member", "[fleet]")
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

// Guards against a role that no member has after one dies, and against a role that moves although its member is alive.
TEST_CASE("two members of a failure domain have a role, which moves only if one of them dies", "[fleet]")
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

// Guards against traffic per member that grows with the fleet, for example because rumors are sent to all members.
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
