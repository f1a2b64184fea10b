#pragma once

#include "decisions/bench.h"
#include "rig/engine_simulation.h"

#include <algorithm>

namespace cranberryshed::bench {

// What callers of short idempotent requests got from a row of servers.
struct RowResult {
    std::vector<double> milliseconds; // of answered requests
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t failed = 0;

    double percentile(double share)
    {
        if (this->milliseconds.empty())
            return 0;
        const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(this->milliseconds.size() - 1));
        std::nth_element(this->milliseconds.begin(), this->milliseconds.begin() + position, this->milliseconds.end());
        return this->milliseconds[static_cast<std::size_t>(position)];
    }

    double failedPercent() const { return 100.0 * static_cast<double>(this->failed) / static_cast<double>(this->requests); }
    double extraPercent() const { return 100.0 * (static_cast<double>(this->attempts) / static_cast<double>(this->requests) - 1); }
};

struct RowLoad {
    double load = 0.5; // share of all slots
    core::Duration meanWork = std::chrono::milliseconds(5);
    core::Duration time = std::chrono::seconds(10);
};

// Sends short requests at a constant mean rate. `prepare` adds faults to the world before it runs.
template <typename EngineType>
RowResult runRow(const rig::EngineSimulationOptions& options, const RowLoad& load, std::uint64_t seed, const typename rig::EngineSimulation<EngineType>::MakeEngine& makeEngine, const std::function<void(rig::EngineSimulation<EngineType>&)>& prepare)
{
    rig::EngineSimulation<EngineType> simulation(options, seed, makeEngine);
    simulation.publishTablesEvery(std::chrono::milliseconds(100));
    prepare(simulation);
    RowResult result;
    const double slots = options.table.servers * options.table.slots;
    const double perSecond = load.load * slots / std::chrono::duration<double>(load.meanWork).count();
    std::exponential_distribution<double> gap(perSecond);
    std::exponential_distribution<double> work(1.0 / static_cast<double>(load.meanWork.count()));
    const auto onOutcome = [&](core::RequestId id, const rig::CallerResult& callerResult) {
        if (callerResult.error)
            ++result.failed;
        else
            result.milliseconds.push_back(static_cast<double>((callerResult.endedAt - simulation.requestRecords[id].arrivedAt).count()) / 1000);
    };
    std::function<void()> arrive = [&] {
        request::RequestArrived arrival;
        arrival.method = "GET";
        arrival.target = "/read";
        arrival.fingerprint = core::Fingerprint { simulation.random() };
        ++result.requests;
        simulation.send(simulation.random() % simulation.vms.size(), 0, std::move(arrival), false, core::Duration(static_cast<core::Duration::rep>(work(simulation.random))), onOutcome);
        simulation.scheduler.after(core::Duration(static_cast<core::Duration::rep>(1e6 * gap(simulation.random))), arrive);
    };
    arrive();
    simulation.scheduler.runUntil(simulation.scheduler.now() + load.time);
    result.attempts = simulation.counts.attempts;
    return result;
}

}
