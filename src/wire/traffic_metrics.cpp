#include "wire/traffic_metrics.h"

namespace cranberryshed::wire {

namespace {

    constexpr unsigned binCount = 264;
    constexpr double lowest = 1e-5; // seconds
    constexpr double highest = 1e3; // seconds

}

LatencyHistogram makeLatencyHistogram()
{
    namespace axis = boost::histogram::axis;
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
        axis::regular<double, axis::transform::log>(binCount, lowest, highest));
}

std::uint64_t entryCount(const LatencyHistogram& histogram)
{
    std::uint64_t count = 0;
    for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all))
        count += *bin;
    return count;
}

double quantile(const LatencyHistogram& histogram, double share)
{
    const double wanted = share * static_cast<double>(entryCount(histogram));
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (*bin > 0 && seen >= wanted)
            return std::min(bin.bin().upper(), highest);
    }
    return 0;
}

void TrafficMetrics::add(const TrafficMetrics& other)
{
    for (const auto& [name, counts] : other.classes) {
        ClassMetrics& own = this->classes[name];
        own.latency += counts.latency;
        for (const auto& [status, count] : counts.answers)
            own.answers[status] += count;
        for (const auto& [kind, count] : counts.errors)
            own.errors[kind] += count;
        own.broken += counts.broken;
    }
    this->lookups += other.lookups;
    this->connections += other.connections;
    this->bytesToCallers += other.bytesToCallers;
}

}
