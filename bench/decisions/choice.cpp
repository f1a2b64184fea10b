#include "decisions/bench.h"
#include "decisions/chooser_simulation.h"

#include <algorithm>
#include <chrono>

namespace cranberryshed::bench {

namespace {

    double p99Milliseconds(SimulationResult result)
    {
        return quantile(result.classes[0].latencySeconds, 0.99) * 1000;
    }

    struct Measured {
        double ours = 0;
        double ideal = 0;
    };

    Measured compare(Report& report, const Scenario& scenario, std::uint64_t seed, double target)
    {
        const Workload workload = drawWorkload(scenario, seed);
        const Measured measured { .ours = p99Milliseconds(simulateChooser<request::HomeSubset>(scenario, workload, seed)), .ideal = p99Milliseconds(runIdeal(scenario, workload)) };
        const double ratio = measured.ours / measured.ideal;
        CaseResult caseResult { .benchmark = "choice", .name = scenario.name, .metrics = {
                                                                                  { "home_p99_ms", measured.ours },
                                                                                  { "ideal_p99_ms", measured.ideal },
                                                                                  { "roundrobin_p99_ms", p99Milliseconds(simulateChooser<request::RoundRobin>(scenario, workload, seed)) },
                                                                                  { "twochoices_p99_ms", p99Milliseconds(simulateChooser<request::TwoChoices>(scenario, workload, seed)) },
                                                                                  { "leastlatency_p99_ms", p99Milliseconds(simulateChooser<request::LeastLatency>(scenario, workload, seed)) },
                                                                                  { "ratio", ratio },
                                                                              },
            .target = {} };
        if (target > 0) {
            caseResult.target = "ratio <= " + std::to_string(target).substr(0, 3);
            caseResult.isMet = ratio <= target;
        }
        report.add(caseResult);
        return measured;
    }

    struct Size {
        std::string name;
        std::uint32_t servers;
        std::uint32_t entryVms;
        double meanServiceSeconds;
    };

    const std::vector<Size> sizes = {
        { "foundry ledger 20/8", 20, 8, 0.010 },
        { "foundry mould 10/8", 10, 8, 0.030 },
        { "schools repo 25/9", 25, 9, 0.020 },
        { "schools archive 10/9", 10, 9, 0.040 },
    };

    Scenario shortOnly(const Size& size, double load, double sigma)
    {
        return { .name = size.name + " load " + std::to_string(load).substr(0, 3), .servers = size.servers, .entryVms = size.entryVms, .classes = { { .name = "short", .meanServiceSeconds = size.meanServiceSeconds, .logSigma = sigma, .offeredLoad = load } } };
    }

    // Compares the p99 latency with and without slow servers at the same load. A slow period of 3 s is 75 to 300 mean
    // service times.
    void compareSlow(Report& report, const Size& size, double meanSlowSeconds, std::uint64_t seed, double target)
    {
        Scenario without = shortOnly(size, 0.5, 0.5);
        without.durationSeconds = 120;
        Scenario with = without;
        with.slowServerShare = 0.2;
        with.meanSlowSeconds = meanSlowSeconds;
        with.name += " 20 % slow " + std::to_string(static_cast<int>(meanSlowSeconds)) + " s";
        const double clean = compare(report, without, seed, 0).ours;
        const double slowed = compare(report, with, seed, 0).ours;
        const double ratio = slowed / clean;
        // Hedges as in request/hedge.h, but with a larger budget and without its limit on load.
        Scenario hedged = with;
        hedged.hedge = { .enabled = true, .quantile = 0.97, .budget = { .tokensPerSuccess = 0.05, .refillThreshold = 0, .refillPerSecond = 0, .maxTokens = 10 }, .maxLoad = 10 };
        const SimulationResult second = simulateChooser<request::HomeSubset>(hedged, drawWorkload(hedged, seed), seed);
        report.add({ .benchmark = "choice", .name = with.name, .metrics = { { "slow_over_without", ratio }, { "hedged_over_without", p99Milliseconds(second) / clean }, { "extra_attempts", static_cast<double>(second.hedges) / static_cast<double>(second.attempts) } }, .target = target > 0 ? "ratio <= 1.5" : "", .isMet = target <= 0 || ratio <= target });
    }

    // Returns the cost of one choice, including the reservation and release of the slot.
    double choiceNanoseconds(std::uint32_t servers, std::uint64_t seed)
    {
        constexpr std::uint32_t choiceCount = 300'000;
        const Scenario scenario { .name = {}, .servers = servers, .entryVms = 9, .classes = { { .name = "short" } } };
        const std::shared_ptr<core::SteeringTable> table = makeTable(scenario, 0);
        for (core::ServerEntry& server : table->servers)
            server.report = core::LoadReport { .inFlight = 1, .receivedAt = core::TimePoint {} };
        request::HomeSubset chooser;
        core::RandomEngine random(seed);
        std::deque<std::pair<core::ServerIndex, core::TimePoint>> running;
        core::TimePoint now {};
        const auto start = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < choiceCount; ++i) {
            now += core::Duration(100);
            if (const auto server = chooser.choose({ .table = *table, .classIndex = { 0 } }, random, now))
                running.emplace_back(*server, now);
            if (running.size() < std::min(servers, 60U))
                continue;
            const auto [server, startedAt] = running.front();
            running.pop_front();
            table->at(server).slotCounter->release();
            chooser.recordEnd({ .serverKey = table->at(server).key, .classKey = core::hashBytes("short"), .startedAt = startedAt }, now);
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        return elapsed.count() / choiceCount;
    }

}

void choice(Report& report, std::uint64_t seed)
{
    for (std::uint32_t servers : { 25U, 250U, 2500U }) {
        const double cost = choiceNanoseconds(servers, seed);
        report.add({ .benchmark = "choice", .name = "cost with its end, servers " + std::to_string(servers), .metrics = { { "ns", cost } }, .target = servers == 25 ? "ns <= 1000" : "", .isMet = servers != 25 || cost <= 1000 });
    }
    for (const Size& size : sizes)
        compare(report, shortOnly(size, 0.8, 0.5), seed, 1.3);
    Scenario heavy = shortOnly(sizes[2], 0.8, 0.8);
    heavy.name += " sigma 0.8";
    compare(report, heavy, seed, 0);
    Scenario hot = shortOnly(sizes[2], 0.7, 0.5);
    hot.firstVmFactor = 2;
    hot.name += " hot VM 2x";
    compare(report, hot, seed, 0);
    Scenario far = shortOnly(sizes[2], 0.8, 0.5);
    far.oneWayDelay = std::chrono::milliseconds(4);
    far.name += " 4 ms away";
    compare(report, far, seed, 0);
    for (const Size& size : sizes)
        compareSlow(report, size, 3, seed, 1.5);
    compareSlow(report, sizes[2], 1, seed, 0);
    compareSlow(report, sizes[2], 10, seed, 0);
}

}
