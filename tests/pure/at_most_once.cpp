#include "rig/callers.h"
#include "rig/naive_engine.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;

namespace {

using RealEngine = request::Engine<request::HomeSubset>;

constexpr std::uint64_t seeds = 30;
constexpr std::size_t settleSeconds = 8; // longer than deadline, cancelGrace and sweepInterval together

rig::EngineSimulationOptions simulationOptions()
{
    return { .table = { .servers = 10, .domains = 2, .slots = 2, .deadline = std::chrono::milliseconds(250) }, .server = { .slots = 2, .maxQueuedRequests = 3, .restartDelay = std::chrono::milliseconds(100) }, .ejectionDuration = std::chrono::milliseconds(200), .faults = { .duplicateProbability = 0.1, .wrongRequestProbability = 0.2, .lossProbability = 0.04, .reorderProbability = 0.02, .maxJitter = std::chrono::milliseconds(2) } };
}

constexpr auto spread = std::chrono::milliseconds(600); // period over which the jobs' first requests arrive: about half of the servers' capacity

// Kills and restarts entry VMs and crashes servers at random times while requests arrive.
template <typename EngineType>
void scheduleCrashes(rig::EngineSimulation<EngineType>& simulation)
{
    for (unsigned i = 0; i < 4; ++i) {
        const std::size_t vm = simulation.random() % simulation.vms.size();
        const core::Duration at = simulation.drawDuration(spread);
        simulation.scheduler.after(at, [&simulation, vm] {
            if (simulation.vms[vm].engine)
                simulation.killVm(vm);
        });
        simulation.scheduler.after(at + std::chrono::milliseconds(150), [&simulation, vm] {
            if (!simulation.vms[vm].engine)
                simulation.startVm(vm);
        });
        const std::size_t server = simulation.random() % simulation.servers.size();
        simulation.scheduler.after(simulation.drawDuration(spread), [&simulation, server] { simulation.servers[server]->crash(); });
    }
}

template <typename EngineType>
void settle(rig::EngineSimulation<EngineType>& simulation)
{
    simulation.scheduler.runUntil(simulation.scheduler.now() + spread);
    for (std::size_t i = 0; i < settleSeconds; ++i) {
        simulation.scheduler.runUntil(simulation.scheduler.now() + std::chrono::seconds(1));
    }
}

// Every other seed hedges very early, so that many requests have two attempts in flight.
request::EngineOptions engineOptions(std::uint64_t seed)
{
    request::EngineOptions options;
    options.hedge.enabled = seed % 2 == 0;
    options.hedge.quantile = 0.5;
    options.hedge.budget = { .tokensPerSuccess = 0.5, .refillThreshold = 5, .refillPerSecond = 50, .maxTokens = 50 };
    return options;
}

struct Totals {
    double answeredReads = 0; // mean over the seeds, in percent
    double answeredWrites = 0;
    std::size_t ranTwice = 0;
    std::size_t wronglyNotRun = 0;
    std::size_t wrongEnds = 0;
    std::size_t misdirectedAnswers = 0;
    std::size_t duplicateEnds = 0;
    std::size_t unfinished = 0;
    std::size_t heldSlots = 0;
};

template <typename EngineType>
void run(std::uint64_t seed, const typename rig::EngineSimulation<EngineType>::MakeEngine& makeEngine, Totals& totals)
{
    rig::EngineSimulation<EngineType> simulation(simulationOptions(), seed, makeEngine);
    const rig::CallerOptions callerOptions { .jobCount = 600, .startPeriod = spread, .poisonShare = 0.003, .disconnectShare = 0.03 };
    rig::Callers<EngineType> callers(simulation, callerOptions);
    scheduleCrashes(simulation);
    simulation.publishTablesEvery(std::chrono::milliseconds(100));
    settle(simulation);
    totals.answeredReads += callers.answeredPercent(false) / seeds;
    totals.answeredWrites += callers.answeredPercent(true) / seeds;
    totals.ranTwice += callers.countRanTwice();
    totals.wronglyNotRun += callers.countWronglyNotRun();
    totals.wrongEnds += callers.countWrongEnds();
    totals.misdirectedAnswers += simulation.counts.misdirectedAnswers;
    totals.duplicateEnds += simulation.counts.duplicateEnds;
    for (const auto& vm : simulation.vms) {
        totals.unfinished += vm.engine->activeRequestCount() + vm.engine->attemptCount();
        for (const core::ServerEntry& server : vm.table->servers)
            totals.heldSlots += server.slotCounter->tryReserve() ? server.slotCounter->inFlight() : 1;
    }
}

}

// Guards against non-idempotent requests that run twice, a wrong "not run", an answer to the wrong request and a leaked
// slot. Events are delayed, duplicated, swapped between requests or lost, and entry VMs and servers crash.
TEST_CASE("three entry VMs keep all guarantees under seeded faults", "[request]")
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        run<RealEngine>(
            seed, [&](std::size_t vm, const request::SharedState& shared) { return std::make_unique<RealEngine>(engineOptions(seed), request::HomeSubset(), shared, seed * 10 + vm); }, totals);
        REQUIRE(totals.ranTwice == 0);
        REQUIRE(totals.wronglyNotRun == 0);
        REQUIRE(totals.wrongEnds == 0);
        REQUIRE(totals.misdirectedAnswers == 0);
        REQUIRE(totals.duplicateEnds == 0);
        REQUIRE(totals.unfinished == 0);
        REQUIRE(totals.heldSlots == 0);
    }
    // A read is retried until it is answered. A write whose answer was lost is not.
    CHECK(totals.answeredReads > 98);
    CHECK(totals.answeredWrites > 80);
}

// Checks that the injected faults are effective: an engine without request keys and retry rules violates the
// guarantees.
TEST_CASE("a naive engine violates the guarantees under the same faults", "[request]")
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds / 4; ++seed)
        run<rig::NaiveEngine>(
            seed, [&](std::size_t vm, const request::SharedState&) { return std::make_unique<rig::NaiveEngine>(seed * 10 + vm); }, totals);
    CHECK(totals.ranTwice > 0);
    CHECK(totals.wronglyNotRun > 0);
    CHECK(totals.misdirectedAnswers > 0);
    CHECK(totals.heldSlots > 0);
}
