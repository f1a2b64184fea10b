#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Benchmarks of decisions. Each is a function in a file of its own, declared here and listed in main.cpp.
// A benchmark prints one line a case: ours beside the naive version and the ideal.
namespace cranberryshed::bench {

struct Metric {
    std::string name; // with its unit, such as "p99_ms"
    double value = 0;
};

// One case of a benchmark.
struct CaseResult {
    std::string benchmark;
    std::string name; // of the case
    std::vector<Metric> metrics;
    std::string target; // such as "ratio <= 1.5"; empty: none
    bool isMet = true;
};

// Prints lines as they are measured, as text or as one JSON object a line.
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

// Each runs all its cases. The seed fixes every random draw.
using Benchmark = void (*)(Report&, std::uint64_t seed);

void headOfLine(Report&, std::uint64_t seed);
void choice(Report&, std::uint64_t seed);
void admission(Report&, std::uint64_t seed);
void hedge(Report&, std::uint64_t seed);
void retries(Report&, std::uint64_t seed);
void drain(Report&, std::uint64_t seed);
void lookup(Report&, std::uint64_t seed);
void regions(Report&, std::uint64_t seed);
void platformCalls(Report&, std::uint64_t seed);

}
