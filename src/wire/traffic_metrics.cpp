#include "wire/traffic_metrics.h"

namespace cranberryshed::wire {

namespace {

    constexpr unsigned binCount = 264;
    constexpr double minLatencySeconds = 1e-5;
    constexpr double maxLatencySeconds = 1e3;

}

LatencyHistogram makeLatencyHistogram()
{
    namespace axis = boost::histogram::axis;
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
        axis::regular<double, axis::transform::log>(binCount, minLatencySeconds, maxLatencySeconds));
}

std::uint64_t sampleCount(const LatencyHistogram& histogram)
{
    std::uint64_t count = 0;
    for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all))
        count += *bin;
    return count;
}

double quantile(const LatencyHistogram& histogram, double share)
{
    const double wanted = share * static_cast<double>(sampleCount(histogram));
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (*bin > 0 && seen >= wanted)
            return std::min(bin.bin().upper(), maxLatencySeconds);
    }
    return 0;
}

void TrafficMetrics::add(const TrafficMetrics& other)
{
    for (const auto& [name, counts] : other.classes) {
        ClassMetrics& sum = this->classes[name];
        sum.latency += counts.latency;
        for (const auto& [status, count] : counts.answers)
            sum.answers[status] += count;
        for (const auto& [kind, count] : counts.errors)
            sum.errors[kind] += count;
        sum.broken += counts.broken;
    }
    this->lookups += other.lookups;
    this->connections += other.connections;
    this->bytesToCallers += other.bytesToCallers;
}

}
