#include "decisions/bench.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace bench = cranberryshed::bench;

namespace {

struct Row {
    std::string_view name;
    bench::Benchmark run;
};

constexpr std::array rows = {
    Row { "choice", bench::choice },
    Row { "headofline", bench::headOfLine },
    Row { "admission", bench::admission },
    Row { "drain", bench::drain },
    Row { "lookup", bench::lookup },
    Row { "regions", bench::regions },
    Row { "platform", bench::platformCalls },
};

int usage()
{
    std::fprintf(stderr, "usage: bench_decisions NAME|all [--json] [--seed N]\nnames:");
    for (const Row& row : rows)
        std::fprintf(stderr, " %.*s", static_cast<int>(row.name.size()), row.name.data());
    std::fprintf(stderr, "\n");
    return 2;
}

}

void bench::Report::add(const Line& line)
{
    if (!line.met)
        ++this->missedTargets;
    if (this->json) {
        std::printf(R"({"bench":"%s","case":"%s")", line.bench.c_str(), line.name.c_str());
        for (const Figure& figure : line.figures)
            std::printf(R"(,"%s":%.6g)", figure.name.c_str(), figure.value);
        if (!line.target.empty())
            std::printf(R"(,"target":"%s","met":%s)", line.target.c_str(), line.met ? "true" : "false");
        std::printf("}\n");
    } else {
        std::printf("%-11s %-40s", line.bench.c_str(), line.name.c_str());
        for (const Figure& figure : line.figures)
            std::printf(" %s=%.4g", figure.name.c_str(), figure.value);
        if (!line.target.empty())
            std::printf("  [%s: %s]", line.target.c_str(), line.met ? "met" : "MISSED");
        std::printf("\n");
    }
    std::fflush(stdout);
}

// Exits with 0 if every target was met, with 1 if not, and with 2 for a wrong command line.
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
    for (const Row& row : rows) {
        if (name != "all" && name != row.name)
            continue;
        known = true;
        row.run(report, seed);
    }
    if (!known)
        return usage();
    return report.missed() == 0 ? 0 : 1;
}
