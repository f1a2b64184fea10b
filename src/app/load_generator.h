#pragma once

#include "app/caller.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace cranberryshed::app {

// A bounded load: it stops by itself after `requests` or `duration`, whichever comes first.
struct LoadOptions {
    Caller::Options caller;
    std::vector<RequestTemplate> mix;
    std::uint32_t maxConcurrentRequests = 8; // pieces of work at the same time; with a rate: at most
    double rate = 0; // pieces of work per second, at random times; 0: closed loop
    std::uint64_t maxRequests = 1000;
    core::Duration maxDuration = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    bool lookupsOnly = false;
    std::string prefix = "w"; // of the work ids
};

struct LoadClassResult {
    wire::LatencyHistogram latency = wire::makeLatencyHistogram(); // seconds, whole answers only
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t answered = 0;
    std::uint64_t mismatches = 0;
    std::uint64_t retried = 0;
};

struct LoadResult {
    std::map<std::string, LoadClassResult> classes;
    core::Duration elapsed {};
    std::uint64_t skipped = 0; // arrivals beyond the allowed connections
    std::uint64_t count = 0;
};

// Runs the load on the calling thread and returns when all its work has ended.
LoadResult runLoad(const LoadOptions&);

boost::json::object loadJson(const LoadResult&);
std::string loadTable(const LoadResult&);

}
