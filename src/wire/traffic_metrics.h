#pragma once

#include "core/errors.h"
#include "core/types.h"

#include <boost/histogram.hpp>
#include <map>
#include <string>

namespace cranberryshed::wire {

// Latency histogram in seconds with logarithmic bins from 10 us to 1,000 s, each 7 % wide.
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<std::uint64_t>>;

LatencyHistogram makeLatencyHistogram();

// Returns the quantile for `share` (0 to 1) in seconds: the upper edge of the bin that contains it, at most 1,000 s.
// Returns 0 if the histogram is empty.
double quantile(const LatencyHistogram&, double share);

// Returns the number of latencies in the histogram, including those outside its range.
std::uint64_t sampleCount(const LatencyHistogram&);

// Counts of the answers to the requests of one class.
struct ClassMetrics {
    LatencyHistogram latency = makeLatencyHistogram(); // from the arrival of the request to the end of the answer
    std::map<std::uint16_t, std::uint64_t> answers; // complete answers of backend servers, by status
    std::map<core::ErrorKind, std::uint64_t> errors; // error answers of cranberryshed itself
    std::uint64_t broken = 0; // answers that ended before they were complete
};

// Counts of one traffic thread.
struct TrafficMetrics {
    std::map<std::string, ClassMetrics> classes;
    std::uint64_t lookups = 0;
    std::uint64_t connections = 0; // accepted
    std::uint64_t bytesToCallers = 0;

    // Adds the counts of another traffic thread.
    void add(const TrafficMetrics&);
};

}
