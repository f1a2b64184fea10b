#include "capacity/measures.h"

#include <string_view>

// Measures the costs of fleet membership and gossip for each member, depending on the size of the fleet.
// Usage: bench_capacity [--json]
int main(int argc, char** argv)
{
    namespace bench = cranberryshed::bench;
    bench::CapacityReport report(argc > 1 && std::string_view(argv[1]) == "--json");
    const auto startedAt = std::chrono::steady_clock::now();
    for (int members : { 3, 10, 30, 100, 460 })
        bench::measureMembers(report, members);
    for (int members : { 30, 460 })
        bench::measureChangesUnderLoss(report, members);
    for (int objects : { 0, 100, 1000 })
        bench::measureObjects(report, objects);
    for (int classes : { 1, 4, 8 })
        bench::measureDigests(report, classes, 12);
    for (int capacities : { 3, 48 })
        bench::measureDigests(report, 8, capacities);
    for (int ejections : { 10, 100 })
        bench::measureEjections(report, ejections);
    for (int crashed : { 1, 35 })
        bench::measureFailures(report, 460, crashed);
    bench::measurePartition(report, 460);
    bench::measureFalseDeaths(report, 100);
    bench::measureEncoding(report);
    for (int members : { 3, 30 })
        bench::measurePeers(report, members);
    report.row("run", { { "wallSeconds", bench::roundToTenths(std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count()) } });
    report.finish();
    return 0;
}
