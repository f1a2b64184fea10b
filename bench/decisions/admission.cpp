#include "decisions/bench.h"
#include "decisions/chooser_simulation.h"

#include <chrono>

namespace cranberryshed::bench {

namespace {

    constexpr std::uint32_t operationCount = 200'000;

    // Returns the cost of one offer() and one next() at a queue of this length.
    double queueNanoseconds(std::uint32_t length, std::uint64_t seed)
    {
        core::RandomEngine random(seed);
        request::FairQueue queue({});
        core::TimePoint now {};
        const auto offer = [&](std::uint64_t id) {
            queue.offer({ .request = core::RequestId { id }, .serviceKey = 1, .classKey = random() % 4, .caller = core::CallerAddress { static_cast<std::uint32_t>(random() % 50) }, .arrival = now, .deadline = now + std::chrono::seconds(1), .slotTime = std::chrono::milliseconds(5) },
                30, now);
        };
        for (std::uint32_t i = 0; i < length; ++i)
            offer(i);
        const auto start = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < operationCount; ++i) {
            now += core::Duration(100);
            queue.next(now, [](const request::WaitingRequest&) { return true; });
            offer(length + i);
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        return elapsed.count() / operationCount;
    }

    // Returns the service time of requests answered within their deadline, as a share of the slots' capacity.
    double goodput(const SimulationResult& result)
    {
        double work = 0;
        for (const ClassResult& classResult : result.classes)
            work += classResult.goodputSeconds;
        return work / result.capacitySeconds;
    }

    void overload(Report& report, std::uint32_t servers, std::uint32_t entryVms, double load, std::uint64_t seed)
    {
        const Scenario scenario { .name = std::to_string(servers) + "/" + std::to_string(entryVms) + " load " + std::to_string(load).substr(0, 3), .servers = servers, .entryVms = entryVms, .classes = { { .name = "short", .meanServiceSeconds = 0.02, .offeredLoad = load * 0.8, .deadline = std::chrono::milliseconds(500) }, { .name = "other", .meanServiceSeconds = 0.05, .offeredLoad = load * 0.2, .deadline = std::chrono::seconds(1) } }, .durationSeconds = 30 };
        const Workload workload = drawWorkload(scenario, seed);
        SimulationResult ours = simulateChooser<request::HomeSubset>(scenario, workload, seed);
        const SimulationResult naive = simulateChooser<request::RoundRobin>(scenario, workload, seed);
        const SimulationResult plain = simulateChooser<request::HomeSubset, FifoQueue>(scenario, workload, seed);
        const double share = goodput(ours);
        const double answered = static_cast<double>(ours.classes[0].latencySeconds.size());
        report.add({ .benchmark = "admission", .name = scenario.name, .metrics = {
                                                                          { "goodput", share },
                                                                          { "roundrobin_goodput", goodput(naive) },
                                                                          { "fifo_goodput", goodput(plain) },
                                                                          { "p50_ms", quantile(ours.classes[0].latencySeconds, 0.5) * 1000 },
                                                                          { "p99_ms", quantile(ours.classes[0].latencySeconds, 0.99) * 1000 },
                                                                          { "late_share", static_cast<double>(ours.classes[0].lateCount) / answered },
                                                                          { "other_goodput", ours.classes[1].goodputSeconds / ours.capacitySeconds },
                                                                      },
            .target = load >= 2 ? "goodput >= 0.95" : "",
            .isMet = load < 2 || share >= 0.95 });
    }

}

void admission(Report& report, std::uint64_t seed)
{
    for (std::uint32_t length : { 10U, 100U, 1000U })
        report.add({ .benchmark = "admission", .name = "queue cost, length " + std::to_string(length), .metrics = { { "ns", queueNanoseconds(length, seed) } }, .target = {} });
    for (double load : { 1.2, 2.0, 4.0 })
        overload(report, 25, 9, load, seed);
    overload(report, 20, 8, 2, seed);
    overload(report, 10, 8, 2, seed);
    overload(report, 10, 9, 2, seed);
}

}
