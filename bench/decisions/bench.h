#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Benchmarks of the decision code. Each is a function in a separate file, declared here and listed in main.cpp. A
// benchmark prints one line per case, which compares this project ("ours") with a naive version and with an ideal one.
namespace cranberryshed::bench {

struct Metric {
    std::string name; // includes the unit, such as "p99_ms"
    double value = 0;
};

// The result of one case of a benchmark.
struct CaseResult {
    std::string benchmark;
    std::string name; // name of the case
    std::vector<Metric> metrics;
    std::string target; // such as "ratio <= 1.5"; empty if the case has none
    bool isMet = true;
};

// Prints each result when it is added, as text or as one JSON object per line, and counts the missed targets.
class Report {
public:
    explicit Report(bool asJson)
        : printsJson(asJson)
    {
    }

    void add(const CaseResult&);
    std::size_t missedTargetCount() const { return this->missedTargets; }

private:
    bool printsJson;
    std::size_t missedTargets = 0;
};

// Runs all cases of a benchmark. The same seed gives the same random numbers.
using Benchmark = void (*)(Report&, std::uint64_t seed);

void headOfLine(Report&, std::uint64_t seed);
void choice(Report&, std::uint64_t seed);
void crashes(Report&, std::uint64_t seed);
void admission(Report&, std::uint64_t seed);
void hedge(Report&, std::uint64_t seed);
void retries(Report&, std::uint64_t seed);
void drain(Report&, std::uint64_t seed);
void lookup(Report&, std::uint64_t seed);
void regions(Report&, std::uint64_t seed);
void platformCalls(Report&, std::uint64_t seed);

}
