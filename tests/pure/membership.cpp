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
        Shuffler shuffler({ .seed = seed });
        shuffler.startFleet(10);
        CHECK(shuffler.runUntil([&] { return shuffler.agree(); }, 5s));
        shuffler.start(20, { 7 });
        CHECK(shuffler.runUntil([&] { return shuffler.agree(); }, 5s));
        CHECK(shuffler.snapshot(20).joined);
    }
}

// Guards against a crashed member that callers are still sent to.
TEST_CASE("a crashed member is found dead by all", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Shuffler shuffler({ .seed = seed });
        shuffler.startFleet(30);
        shuffler.run(10s);
        shuffler.crash(4);
        auto suspected = shuffler.runUntil([&] { return shuffler.stateOf(9, 4) != MemberState::Alive; }, 10s);
        auto dead = shuffler.runUntil(
            [&] {
                for (int observer : shuffler.running()) {
                    if (shuffler.stateOf(observer, 4) != MemberState::Dead)
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
        Shuffler shuffler({ .seed = seed, .loss = 0.2, .duplication = 0.05 });
        shuffler.startFleet(12);
        shuffler.run(10s);
        int deaths = 0;
        for (int second = 0; second < 600; ++second) {
            shuffler.run(1s);
            for (const auto& member : shuffler.snapshot(second % 12).members)
                deaths += member.fact.state == MemberState::Dead;
        }
        CHECK(deaths == 0);
    }
}

// Guards against a false suspicion that stays, and against a refutation that looks like a restart:
// request keys are bound to the incarnation.
TEST_CASE("a member refutes a suspicion and keeps its incarnation", "[fleet]")
{
    Shuffler shuffler({ .seed = 3 });
    shuffler.startFleet(6);
    shuffler.run(10s);
    fleet::Message lie { .fleet = core::hashBytes("test"), .sender = shuffler.snapshot(1).self, .body = fleet::Records {} };
    lie.facts.push_back({ .id = shuffler.snapshot(5).self, .incarnation = core::Incarnation { 1 }, .state = MemberState::Dead });
    shuffler.call(2, [&](auto& node, auto now, auto& outbox) { node.handle({ .address = Shuffler::addressOf(1), .message = lie }, now, outbox); });
    CHECK(shuffler.stateOf(2, 5) == MemberState::Suspect);
    CHECK(shuffler.runUntil([&] { return shuffler.agree(); }, 5s));
    for (const auto& member : shuffler.snapshot(2).members) {
        if (member.name == Shuffler::nameOf(5)) {
            CHECK(member.fact.refutation > 0);
            CHECK(member.fact.incarnation == core::Incarnation { 1 });
        }
    }
}

// Guards against a process that was paused and, on waking, declares the others dead because its timers ran out.
TEST_CASE("a paused member asks before it judges", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Shuffler shuffler({ .seed = seed });
        shuffler.startFleet(8);
        shuffler.run(10s);
        shuffler.pause(3);
        shuffler.run(seed * 20s);
        CHECK(shuffler.stateOf(0, 3) == MemberState::Dead);
        shuffler.resume(3);
        CHECK(shuffler.snapshot(3).refreshing);
        for (int i = 0; i < 8; ++i)
            CHECK(shuffler.stateOf(3, i) != MemberState::Dead);
        CHECK(shuffler.runUntil([&] { return !shuffler.snapshot(3).refreshing; }, 1s));
        CHECK(shuffler.runUntil([&] { return shuffler.agree(); }, 10s));
    }
}

// Guards against regions that stay apart after the link between them is back.
TEST_CASE("regions that lost each other for minutes merge again", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Shuffler shuffler({ .seed = seed });
        shuffler.startFleet(12);
        shuffler.run(10s);
        shuffler.partition({ { 8, 1 }, { 9, 1 }, { 10, 1 }, { 11, 1 } });
        shuffler.run(5min);
        CHECK(shuffler.stateOf(0, 9) == MemberState::Dead);
        CHECK(shuffler.stateOf(0, 5) == MemberState::Alive);
        CHECK(shuffler.stateOf(9, 0) == MemberState::Dead);
        CHECK(shuffler.stateOf(9, 10) == MemberState::Alive);
        shuffler.heal();
        bool falseDeath = false;
        auto merged = shuffler.runUntil(
            [&] {
                falseDeath = falseDeath || shuffler.stateOf(9, 10) == MemberState::Dead || shuffler.stateOf(0, 5) == MemberState::Dead;
                return shuffler.agree();
            },
            60s);
        CHECK(merged);
        CHECK_FALSE(falseDeath);
    }
}

// Guards against dead members that fill the memory or come back from an old message.
TEST_CASE("a dead member is remembered for an hour and then forgotten", "[fleet]")
{
    Shuffler shuffler({ .seed = 5 });
    shuffler.startFleet(4);
    shuffler.run(10s);
    shuffler.crash(3);
    shuffler.run(59min);
    CHECK(shuffler.snapshot(0).members.size() == 4);
    CHECK(shuffler.stateOf(0, 3) == MemberState::Dead);
    shuffler.run(2min);
    CHECK(shuffler.snapshot(0).members.size() == 3);
}

// Guards against a member that leaves and is then probed, suspected and reported as a failure.
TEST_CASE("leaving is announced and known to all within seconds", "[fleet]")
{
    Shuffler shuffler({ .seed = 6, .loss = 0.1 });
    shuffler.startFleet(20);
    shuffler.run(10s);
    shuffler.call(7, [](auto& node, auto now, auto& outbox) { node.leave(now, outbox); });
    auto everyoneSees = [&](MemberState state) {
        return [&shuffler, state] {
            for (int i = 0; i < 20; ++i) {
                if (i != 7 && shuffler.stateOf(i, 7) != state)
                    return false;
            }
            return true;
        };
    };
    CHECK(shuffler.runUntil(everyoneSees(MemberState::Leaving), 5s));
    shuffler.depart(7);
    CHECK(shuffler.runUntil(everyoneSees(MemberState::Left), 5s));
    shuffler.run(30s);
    CHECK(everyoneSees(MemberState::Left)());
}

// Guards against a restarted VM that is taken for its earlier start.
TEST_CASE("a restart has a higher incarnation and the new address", "[fleet]")
{
    Shuffler shuffler({ .seed = 7 });
    shuffler.startFleet(5);
    shuffler.run(10s);
    shuffler.crash(2);
    shuffler.run(1s);
    shuffler.start(2, { 0 }, 2);
    auto newStartKnown = [&] {
        for (int observer : shuffler.running()) {
            for (const auto& member : shuffler.snapshot(observer).members) {
                if (member.fact.incarnation != core::Incarnation { member.name == Shuffler::nameOf(2) ? 2U : 1U })
                    return false;
            }
        }
        return shuffler.agree();
    };
    CHECK(shuffler.runUntil(newStartKnown, 5s));
}

// Guards against a duty that nobody has, or that moves although its holder did not change.
TEST_CASE("two members of a failure domain have a duty, and it moves as little as possible", "[fleet]")
{
    std::vector<fleet::MemberRecord> records;
    records.reserve(30);
    for (int i = 0; i < 30; ++i)
        records.push_back({ .fact = { .id = fleet::MemberId { core::hashBytes(Shuffler::nameOf(i)) } }, .name = Shuffler::nameOf(i), .domain = Shuffler::domainOf(i) });
    std::vector<const fleet::MemberRecord*> members;
    members.reserve(records.size());
    for (const auto& record : records)
        members.push_back(&record);
    const auto before = fleet::watchers(members, "domain-1");
    REQUIRE(before.size() == 2);
    for (auto& record : records) {
        record.fact.state = MemberState::Dead;
        const auto after = fleet::watchers(members, "domain-1");
        CHECK(after.size() == 2);
        for (fleet::MemberId id : before)
            CHECK((id == record.fact.id) == (std::find(after.begin(), after.end(), id) == after.end()));
        record.fact.state = MemberState::Alive;
    }
    CHECK(fleet::watchers(members, "elsewhere").empty());
}

// Guards against traffic per member that grows with the fleet.
TEST_CASE("messages and facts per member do not grow with the fleet", "[fleet]")
{
    auto perMember = [](int members) {
        Shuffler shuffler({ .seed = 8 });
        shuffler.startFleet(members);
        shuffler.run(40s);
        std::size_t units = 0;
        shuffler.onSend = [&](int, const fleet::Outgoing& out) { units += 1 + out.message.facts.size() + out.message.records.size(); };
        shuffler.run(30s);
        return static_cast<double>(units) / members / 30;
    };
    const double small = perMember(10);
    CHECK(small < 6);
    CHECK(perMember(80) < 1.2 * small);
}
