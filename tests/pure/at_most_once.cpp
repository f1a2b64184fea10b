#include "rig/callers.h"
#include "rig/naive.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;

namespace {

using RealEngine = request::Engine<request::HomeSubset>;

constexpr std::uint64_t seeds = 40;
constexpr std::size_t settleSeconds = 8; // longer than deadline, grace of a cancelled attempt and sweeps

rig::WorldOptions worldOptions()
{
    return { .faults = { .doubled = 0.1, .crossed = 0.1, .lost = 0.01, .reordered = 0.02, .jitter = std::chrono::milliseconds(2) } };
}

// Kills and restarts entry VMs and crashes servers at random times of the first three seconds.
template <typename EngineType>
void addKills(rig::World<EngineType>& world)
{
    for (unsigned i = 0; i < 4; ++i) {
        const std::size_t vm = world.random() % world.vms.size();
        const core::Duration at = world.upTo(std::chrono::seconds(3));
        world.scheduler.after(at, [&world, vm] {
            if (world.vms[vm].engine)
                world.killVm(vm);
        });
        world.scheduler.after(at + std::chrono::milliseconds(150), [&world, vm] {
            if (!world.vms[vm].engine)
                world.startVm(vm);
        });
        const std::size_t server = world.random() % world.servers.size();
        world.scheduler.after(world.upTo(std::chrono::seconds(3)), [&world, server] { world.servers[server]->crash(); });
    }
}

template <typename EngineType>
void settle(rig::World<EngineType>& world, core::Duration spread)
{
    world.scheduler.runUntil(world.scheduler.now() + spread);
    for (std::size_t i = 0; i < settleSeconds; ++i) {
        world.scheduler.runUntil(world.scheduler.now() + std::chrono::seconds(1));
        world.publish();
    }
}

struct Totals {
    std::size_t jobs = 0;
    std::size_t answered = 0;
    std::size_t ranTwice = 0;
    std::size_t wronglyNotRun = 0;
    std::size_t wrongEnds = 0;
    std::size_t foreignAnswers = 0;
    std::size_t doubleEnds = 0;
    std::size_t unfinished = 0;
    std::size_t heldSlots = 0;
};

template <typename EngineType>
void run(std::uint64_t seed, const typename rig::World<EngineType>::MakeEngine& makeEngine, Totals& totals)
{
    rig::World<EngineType> world(worldOptions(), seed, makeEngine);
    const rig::CallerOptions callerOptions { .poison = 0.01, .gone = 0.03 };
    rig::Callers<EngineType> callers(world, callerOptions);
    addKills(world);
    settle(world, callerOptions.spread);
    totals.jobs += callers.jobs.size();
    totals.answered += callers.answered();
    totals.ranTwice += callers.ranTwice();
    totals.wronglyNotRun += callers.wronglyNotRun();
    totals.wrongEnds += callers.wrongEnds();
    totals.foreignAnswers += world.counts.foreignAnswers;
    totals.doubleEnds += world.counts.doubleEnds;
    for (const auto& vm : world.vms) {
        totals.unfinished += vm.engine->unfinished() + vm.engine->inFlight();
        for (const core::ServerEntry& server : vm.table->servers)
            totals.heldSlots += server.inFlight->tryReserve() ? server.inFlight->inFlight() : 1;
    }
}

}

// Guards against work that runs twice, a wrong "not run", a mixed-up answer and a lost slot when events come
// late, twice, crossed or not at all, and entry VMs and servers die.
TEST_CASE("three entry VMs keep every promise under seeded faults", "[request]")
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        run<RealEngine>(
            seed, [&](std::size_t vm, const request::Shared& shared) { return std::make_unique<RealEngine>(request::EngineOptions {}, request::HomeSubset(), shared, seed * 10 + vm); }, totals);
        REQUIRE(totals.ranTwice == 0);
        REQUIRE(totals.wronglyNotRun == 0);
        REQUIRE(totals.wrongEnds == 0);
        REQUIRE(totals.foreignAnswers == 0);
        REQUIRE(totals.doubleEnds == 0);
        REQUIRE(totals.unfinished == 0);
        REQUIRE(totals.heldSlots == 0);
    }
    CHECK(totals.answered > totals.jobs * 9 / 10);
}

// Shows that the faults above are real: an engine without keys and rules about repetition fails on them.
TEST_CASE("a naive engine breaks the promises under the same faults", "[request]")
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds / 4; ++seed)
        run<rig::NaiveEngine>(
            seed, [&](std::size_t vm, const request::Shared&) { return std::make_unique<rig::NaiveEngine>(seed * 10 + vm); }, totals);
    CHECK(totals.ranTwice > 0);
    CHECK(totals.wronglyNotRun > 0);
    CHECK(totals.foreignAnswers > 0);
    CHECK(totals.heldSlots > 0);
}
