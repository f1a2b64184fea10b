#include "decisions/engine_simulation_run.h"

namespace cranberryshed::bench {

namespace {

    constexpr double slowTimeShare = 0.05; // of the time, for each server separately
    constexpr double slowdownFactor = 10;
    constexpr auto slowDuration = std::chrono::milliseconds(200);

    // Makes the server slow for short periods, independently of other servers.
    template <typename EngineType>
    void addSlowPeriods(rig::EngineSimulation<EngineType>& simulation, std::size_t server)
    {
        std::exponential_distribution<double> timeToSlowPeriod(slowTimeShare / static_cast<double>(core::Duration(slowDuration).count()));
        simulation.scheduler.after(core::Duration(static_cast<core::Duration::rep>(timeToSlowPeriod(simulation.random))), [&simulation, server] {
            simulation.servers[server]->slowdownFactor = slowdownFactor;
            simulation.scheduler.after(slowDuration, [&simulation, server] {
                simulation.servers[server]->slowdownFactor = 1;
                addSlowPeriods(simulation, server);
            });
        });
    }

    template <typename ChooserType>
    void measure(Report& report, const std::string& chooserName, std::uint64_t seed)
    {
        using EngineType = request::Engine<ChooserType>;
        const rig::EngineSimulationOptions options { .table = { .servers = 12, .domains = 3 }, .vmCount = 3 };
        for (const double load : { 0.3, 0.5, 0.7 }) {
            for (const bool enabled : { false, true }) {
                request::EngineOptions engineOptions;
                engineOptions.hedge.enabled = enabled;
                EngineRunResult result = runEngineSimulation<EngineType>(
                    options, { .utilization = load, .duration = std::chrono::seconds(20) }, seed, [&](std::size_t vm, const request::SharedState& shared) { return std::make_unique<EngineType>(engineOptions, ChooserType(), shared, seed * 10 + vm); },
                    [](rig::EngineSimulation<EngineType>& simulation) {
                        for (std::size_t i = 0; i < simulation.servers.size(); ++i)
                            addSlowPeriods(simulation, i);
                    });
                const std::string name = chooserName + ", load " + std::to_string(load).substr(0, 3) + (enabled ? ", hedged" : ", plain");
                report.add({ .benchmark = "hedge", .name = name, .metrics = { { "p50_ms", result.latencyQuantileMs(0.5) }, { "p95_ms", result.latencyQuantileMs(0.95) }, { "p99_ms", result.latencyQuantileMs(0.99) }, { "p999_ms", result.latencyQuantileMs(0.999) }, { "extra_attempts_percent", result.extraAttemptsPercent() }, { "failed_percent", result.failedPercent() } }, .target = {} });
            }
        }
    }

}

void hedge(Report& report, std::uint64_t seed)
{
    measure<request::HomeSubset>(report, "home subset", seed);
    measure<request::RoundRobin>(report, "round robin", seed);
}

}
