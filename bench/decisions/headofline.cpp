#include "decisions/bench.h"
#include "decisions/chooser_simulation.h"

namespace cranberryshed::bench {

namespace {

    // Short requests and archive requests on the same servers. Archive requests run 100 times longer.
    Scenario mixed(const std::string& name, std::uint32_t servers, std::uint32_t entryVms, double shortLoad, double longLoad)
    {
        return { .name = name, .servers = servers, .entryVms = entryVms, .classes = {
                                                                             { .name = "short", .meanServiceSeconds = 0.02, .offeredLoad = shortLoad },
                                                                             { .name = "archive", .length = core::WorkLength::Long, .meanServiceSeconds = 2, .offeredLoad = longLoad, .deadline = std::chrono::seconds(120) },
                                                                         },
            .durationSeconds = 120,
            .maxExpectedWait = std::chrono::seconds(100) };
    }

    double shortP99(SimulationResult& result) { return quantile(result.classes[0].latencySeconds, 0.99) * 1000; }

    void measure(Report& report, const Scenario& with, std::uint64_t seed)
    {
        Scenario without = with;
        without.classes[1].offeredLoad = 0;
        const Workload workloadWith = drawWorkload(with, seed);
        const Workload workloadWithout = drawWorkload(without, seed);
        SimulationResult alone = simulateChooser<request::HomeSubset>(without, workloadWithout, seed);
        SimulationResult beside = simulateChooser<request::HomeSubset>(with, workloadWith, seed);
        SimulationResult naive = simulateChooser<request::RoundRobin>(with, workloadWith, seed);
        SimulationResult ideal = runIdeal(with, workloadWith);
        const double ratio = shortP99(beside) / shortP99(alone);
        report.add({ .benchmark = "headofline", .name = with.name, .metrics = {
                                                                       { "alone_p99_ms", shortP99(alone) },
                                                                       { "beside_p99_ms", shortP99(beside) },
                                                                       { "roundrobin_p99_ms", shortP99(naive) },
                                                                       { "ideal_p99_ms", shortP99(ideal) },
                                                                       { "archive_p99_s", quantile(beside.classes[1].latencySeconds, 0.99) },
                                                                       { "archive_ideal_p99_s", quantile(ideal.classes[1].latencySeconds, 0.99) },
                                                                       { "archives_rejected", static_cast<double>(beside.classes[1].rejectedCount) },
                                                                       { "ratio", ratio },
                                                                   },
            .target = "ratio <= 1.2",
            .isMet = ratio <= 1.2 });
    }

}

void headOfLine(Report& report, std::uint64_t seed)
{
    measure(report, mixed("schools 25/9 short 0.4 archives 0.2", 25, 9, 0.4, 0.2), seed);
    measure(report, mixed("schools 25/9 short 0.3 archives 0.4", 25, 9, 0.3, 0.4), seed);
    measure(report, mixed("schools 25/9 short 0.6 archives 0.6", 25, 9, 0.6, 0.6), seed);
    measure(report, mixed("schools 10/9 short 0.4 archives 0.2", 10, 9, 0.4, 0.2), seed);
    measure(report, mixed("foundry 20/8 short 0.4 archives 0.2", 20, 8, 0.4, 0.2), seed);
    measure(report, mixed("foundry 10/8 short 0.4 archives 0.2", 10, 8, 0.4, 0.2), seed);
}

}
