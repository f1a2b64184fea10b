#include "decisions/engine_simulation_run.h"
#include "rig/naive_engine.h"

#include <chrono>
#include <malloc.h>

namespace cranberryshed::bench {

namespace {

    using RealEngine = request::Engine<request::HomeSubset>;

    constexpr std::uint32_t serverCount = 12;
    constexpr std::size_t entryVmCount = 3;

    rig::EngineSimulationOptions simulationOptions()
    {
        return { .table = { .servers = serverCount, .domains = 3 }, .vmCount = entryVmCount, .detectionDelay = std::chrono::seconds(1) };
    }

    void addCase(Report& report, const std::string& name, EngineRunResult result, bool ours)
    {
        CaseResult caseResult { .benchmark = "retries", .name = name, .metrics = { { "failed_percent", result.failedPercent() }, { "extra_attempts_percent", result.extraAttemptsPercent() }, { "p50_ms", result.latencyQuantileMs(0.5) }, { "p99_ms", result.latencyQuantileMs(0.99) } }, .target = {} };
        if (ours) {
            caseResult.target = "extra attempts <= 5 %";
            caseResult.isMet = result.extraAttemptsPercent() <= 5;
        }
        report.add(caseResult);
    }

    // Runs this project's engine and the naive engine with the same faults. `fault` is called 2 s after the start with
    // true and 6 s after the start with false, for the number of affected servers.
    void compare(Report& report, const std::string& name, std::uint64_t seed, const std::function<void(rig::FakeServer&, bool on)>& fault, std::uint32_t affectedServers)
    {
        const auto addFaults = [&](auto& simulation) {
            for (const bool on : { true, false }) {
                simulation.scheduler.after(std::chrono::seconds(on ? 2 : 6), [&simulation, &fault, affectedServers, on] {
                    for (std::uint32_t i = 0; i < affectedServers; ++i)
                        fault(*simulation.servers[i * serverCount / affectedServers], on);
                });
            }
        };
        addCase(report, name + ", ours",
            runEngineSimulation<RealEngine>(
                simulationOptions(), {}, seed, [seed](std::size_t vm, const request::SharedState& shared) { return std::make_unique<RealEngine>(request::EngineOptions {}, request::HomeSubset(), shared, seed * 10 + vm); }, addFaults),
            true);
        addCase(report, name + ", naive",
            runEngineSimulation<rig::NaiveEngine>(
                simulationOptions(), {}, seed, [seed](std::size_t vm, const request::SharedState&) { return std::make_unique<rig::NaiveEngine>(seed * 10 + vm); }, addFaults),
            false);
    }

    // Measures the engine's time for one answered request: its arrival, the head of the answer and the end of the
    // attempt.
    void measureEngineCost(Report& report, std::uint64_t seed)
    {
        constexpr std::uint64_t requestCount = 200'000;
        const auto table = rig::makeTable({ .servers = 25, .domains = 2, .members = 9 });
        RealEngine engine({}, request::HomeSubset(), request::makeSharedState("vm", core::Incarnation { 1 }, seed), seed);
        engine.setTable(table);
        core::TimePoint now { std::chrono::hours(1) };
        request::Commands commands;
        request::Observations observations;
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t i = 1; i <= requestCount; ++i) {
            request::RequestArrived arrival;
            arrival.request = core::RequestId { i };
            arrival.host = "stock.example";
            arrival.method = "GET";
            arrival.target = "/read/part/4711?site=north";
            arrival.fingerprint = core::Fingerprint { i };
            commands.clear();
            observations.clear();
            now += std::chrono::microseconds(50);
            engine.handle(std::move(arrival), now, commands, observations);
            const core::AttemptId attempt = std::get<request::SendAttempt>(commands.front()).attempt;
            now += std::chrono::milliseconds(2);
            engine.handle(request::AnswerStarted { .request = core::RequestId { i }, .attempt = attempt, .status = 200 }, now, commands, observations);
            engine.handle(request::AttemptEnded { .request = core::RequestId { i }, .attempt = attempt, .result = core::AttemptResult::Answered, .status = 200, .retryAfter = {} }, now, commands, observations);
        }
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        report.add({ .benchmark = "retries", .name = "engine cost, 25 servers", .metrics = { { "us_per_request", elapsed.count() / requestCount } }, .target = {} });
    }

    // Measures the memory of one request key and the time of its claim.
    void measureKeyCost(Report& report, std::uint64_t seed)
    {
        constexpr std::size_t keyCount = 100'000;
        request::KeyRegistry registry(1, core::Incarnation { 1 }, {}, seed);
        const core::TimePoint now { std::chrono::hours(1) };
        std::vector<std::string> keys;
        for (std::size_t i = 0; i < keyCount; ++i)
            keys.push_back(registry.issue(now));
        const std::size_t heapBefore = mallinfo2().uordblks + mallinfo2().hblkhd;
        const auto start = std::chrono::steady_clock::now();
        for (const std::string& key : keys)
            registry.claim(key, core::Fingerprint { 1 }, now);
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        const std::size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - heapBefore;
        report.add({ .benchmark = "retries", .name = "request key, claim", .metrics = { { "bytes_per_key", static_cast<double>(bytes) / keyCount }, { "us_per_claim", elapsed.count() / keyCount } }, .target = {} });
    }

}

void retries(Report& report, std::uint64_t seed)
{
    const auto down = [](rig::FakeServer& server, bool on) { server.setAlive(!on); };
    const auto refuse = [](rig::FakeServer& server, bool on) { server.isRefusing = on; };
    const auto stall = [](rig::FakeServer& server, bool on) { server.slowdownFactor = on ? 40 : 1; };
    compare(report, "2 of 12 servers down", seed, down, 2);
    compare(
        report, "one of 3 domains down", seed, [down](rig::FakeServer& server, bool on) { down(server, on); }, 4);
    compare(report, "4 of 12 servers refuse", seed, refuse, 4);
    compare(report, "all servers refuse", seed, refuse, serverCount);
    compare(report, "2 of 12 servers stall", seed, stall, 2);
    measureEngineCost(report, seed);
    measureKeyCost(report, seed);
}

}
