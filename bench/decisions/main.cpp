#include "decisions/bench.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace bench = cranberryshed::bench;

namespace {

struct NamedBenchmark {
    std::string_view name;
    bench::Benchmark run;
};

constexpr std::array benchmarks = {
    NamedBenchmark { "choice", bench::choice },
    NamedBenchmark { "crashes", bench::crashes },
    NamedBenchmark { "headofline", bench::headOfLine },
    NamedBenchmark { "admission", bench::admission },
    NamedBenchmark { "hedge", bench::hedge },
    NamedBenchmark { "retries", bench::retries },
    NamedBenchmark { "drain", bench::drain },
    NamedBenchmark { "lookup", bench::lookup },
    NamedBenchmark { "regions", bench::regions },
    NamedBenchmark { "platform", bench::platformCalls },
};

int usage()
{
    std::fprintf(stderr, "usage: bench_decisions NAME|all [--json] [--seed N]\nnames:");
    for (const NamedBenchmark& benchmark : benchmarks)
        std::fprintf(stderr, " %.*s", static_cast<int>(benchmark.name.size()), benchmark.name.data());
    std::fprintf(stderr, "\n");
    return 2;
}

}

void bench::Report::add(const CaseResult& caseResult)
{
    if (!caseResult.isMet)
        ++this->missedTargets;
    if (this->printsJson) {
        std::printf(R"({"bench":"%s","case":"%s")", caseResult.benchmark.c_str(), caseResult.name.c_str());
        for (const Metric& metric : caseResult.metrics)
            std::printf(R"(,"%s":%.6g)", metric.name.c_str(), metric.value);
        if (!caseResult.target.empty())
            std::printf(R"(,"target":"%s","met":%s)", caseResult.target.c_str(), caseResult.isMet ? "true" : "false");
        std::printf("}\n");
    } else {
        std::printf("%-11s %-40s", caseResult.benchmark.c_str(), caseResult.name.c_str());
        for (const Metric& metric : caseResult.metrics)
            std::printf(" %s=%.4g", metric.name.c_str(), metric.value);
        if (!caseResult.target.empty())
            std::printf("  [%s: %s]", caseResult.target.c_str(), caseResult.isMet ? "met" : "MISSED");
        std::printf("\n");
    }
    std::fflush(stdout);
}

// Exits with 0 if every target was met, with 1 if one was missed, and with 2 on a wrong command line.
int main(int count, char** arguments)
{
    if (count < 2)
        return usage();
    const std::string_view name = arguments[1];
    bool json = false;
    std::uint64_t seed = 1;
    for (int i = 2; i < count; ++i) {
        const std::string_view option = arguments[i];
        if (option == "--json")
            json = true;
        else if (option == "--seed" && i + 1 < count)
            seed = std::strtoull(arguments[++i], nullptr, 10);
        else
            return usage();
    }
    bench::Report report(json);
    bool known = false;
    for (const NamedBenchmark& benchmark : benchmarks) {
        if (name != "all" && name != benchmark.name)
            continue;
        known = true;
        benchmark.run(report, seed);
    }
    if (!known)
        return usage();
    return report.missedTargetCount() == 0 ? 0 : 1;
}
