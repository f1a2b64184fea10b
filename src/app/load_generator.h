#pragma once

#include "app/caller.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace cranberryshed::app {

// A generated load. It stops at maxRequests or maxDuration, whichever comes first.
struct LoadOptions {
    Caller::Options caller;
    std::vector<RequestTemplate> mix;
    std::uint32_t maxConcurrentRequests = 8; // in a closed loop; with a rate: the maximum
    double rate = 0; // requests per second, with exponential gaps; 0: closed loop, each answer triggers the next request
    std::uint64_t maxRequests = 1000;
    core::Duration maxDuration = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    bool lookupsOnly = false;
    std::string prefix = "w"; // start of the work ids
};

struct LoadClassResult {
    wire::LatencyHistogram latency = wire::makeLatencyHistogram(); // seconds, complete answers only
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t answered = 0;
    std::uint64_t mismatches = 0;
    std::uint64_t retried = 0;
};

struct LoadResult {
    std::map<std::string, LoadClassResult> classes;
    core::Duration elapsed {};
    std::uint64_t skipped = 0; // arrivals that were dropped because of maxConcurrentRequests
    std::uint64_t count = 0; // requests that ended
};

// Runs the load on the calling thread. Returns after the last request has ended.
LoadResult runLoad(const LoadOptions&);

boost::json::object loadJson(const LoadResult&);
std::string loadTable(const LoadResult&);

}
