#pragma once

#include "core/errors.h"
#include "core/types.h"

#include <boost/histogram.hpp>
#include <map>
#include <string>

namespace cranberryshed::wire {

// Latency histogram with logarithmic bins from 10 us to 1,000 s, each 7 % wide. A quantile is its bin's upper edge.
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<std::uint64_t>>;

LatencyHistogram makeLatencyHistogram();

// The value below which this share of the entries lies, in seconds; 0 if there are none.
double quantile(const LatencyHistogram&, double share);

std::uint64_t entryCount(const LatencyHistogram&);

// Counts of one class of work.
struct ClassMetrics {
    LatencyHistogram latency = makeLatencyHistogram(); // seconds to the end of the answer
    std::map<std::uint16_t, std::uint64_t> answers; // by status of a backend server's answer
    std::map<core::ErrorKind, std::uint64_t> errors; // answers of the system's own
    std::uint64_t broken = 0; // answers that broke off half way
};

// What one traffic thread counts.
struct TrafficMetrics {
    std::map<std::string, ClassMetrics> classes;
    std::uint64_t lookups = 0;
    std::uint64_t connections = 0; // accepted
    std::uint64_t bytesToCallers = 0;

    void add(const TrafficMetrics&);
};

}
