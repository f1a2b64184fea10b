#pragma once

#include "decisions/bench.h"
#include "rig/engine_simulation.h"

#include <algorithm>

namespace cranberryshed::bench {

// Results of a run with short idempotent requests.
struct EngineRunResult {
    std::vector<double> latenciesMs; // of answered requests
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t failed = 0;

    // Reorders the latencies.
    double latencyQuantileMs(double fraction)
    {
        if (this->latenciesMs.empty())
            return 0;
        const auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(this->latenciesMs.size() - 1));
        std::nth_element(this->latenciesMs.begin(), this->latenciesMs.begin() + position, this->latenciesMs.end());
        return this->latenciesMs[static_cast<std::size_t>(position)];
    }

    double failedPercent() const { return 100.0 * static_cast<double>(this->failed) / static_cast<double>(this->requests); }
    double extraAttemptsPercent() const { return 100.0 * (static_cast<double>(this->attempts) / static_cast<double>(this->requests) - 1); }
};

struct EngineLoad {
    double utilization = 0.5; // share of all slots
    core::Duration meanServiceTime = std::chrono::milliseconds(5);
    core::Duration duration = std::chrono::seconds(10);
};

// Simulates entry VMs' engines that receive short requests at a constant mean rate. `addFaults` schedules faults before
// the simulation starts.
template <typename EngineType>
EngineRunResult runEngineSimulation(const rig::EngineSimulationOptions& options, const EngineLoad& load, std::uint64_t seed, const typename rig::EngineSimulation<EngineType>::MakeEngine& makeEngine, const std::function<void(rig::EngineSimulation<EngineType>&)>& addFaults)
{
    rig::EngineSimulation<EngineType> simulation(options, seed, makeEngine);
    simulation.publishTablesEvery(std::chrono::milliseconds(100));
    addFaults(simulation);
    EngineRunResult result;
    const double slotCount = options.table.servers * options.table.slots;
    const double requestsPerSecond = load.utilization * slotCount / std::chrono::duration<double>(load.meanServiceTime).count();
    std::exponential_distribution<double> arrivalGap(requestsPerSecond);
    std::exponential_distribution<double> serviceTime(1.0 / static_cast<double>(load.meanServiceTime.count()));
    const auto onResult = [&](core::RequestId id, const rig::CallerResult& callerResult) {
        if (callerResult.error)
            ++result.failed;
        else
            result.latenciesMs.push_back(static_cast<double>((callerResult.endedAt - simulation.requestRecords[id].arrivedAt).count()) / 1000);
    };
    std::function<void()> arrive = [&] {
        request::RequestArrived arrival;
        arrival.method = "GET";
        arrival.target = "/read";
        arrival.fingerprint = core::Fingerprint { simulation.random() };
        ++result.requests;
        simulation.send(simulation.random() % simulation.vms.size(), 0, std::move(arrival), false, core::Duration(static_cast<core::Duration::rep>(serviceTime(simulation.random))), onResult);
        simulation.scheduler.after(core::Duration(static_cast<core::Duration::rep>(1e6 * arrivalGap(simulation.random))), arrive);
    };
    arrive();
    simulation.scheduler.runUntil(simulation.scheduler.now() + load.duration);
    result.attempts = simulation.counts.attempts;
    return result;
}

}
