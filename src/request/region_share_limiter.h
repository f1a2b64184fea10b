#pragma once

#include "core/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Limits how fast the distribution of one traffic thread's requests over the regions changes.
//
// Choosing by expected time alone reacts to every load change at once: a region that is full for a moment sends half of
// its requests to other regions and takes them back two seconds later, which disturbs the servers there. Therefore each
// service has reference shares that follow the preferred regions at a bounded rate, and the shares of the recent
// requests stay close to the reference.
//
// The fleet's share changes by the sum of what its entry VMs do, and they learn of a change at the same moment. So the
// bound must hold for each of them from its first request on, although in a large fleet each gets only a few requests a
// second. Therefore each request adds its reference shares to the credit of the regions, and the region that gets it
// pays one request.
class RegionShareLimiter {
public:
    struct Options {
        core::Duration window = std::chrono::seconds(1); // time constant of the request counts
        // Credit and debt that a region may have, relative to the requests of a window.
        double tolerance = 0.04;
        double minDebt = 1; // requests of debt that a region may always have
        double creditRequests = 25; // credit and debt are forgotten over at least this many requests
        double maxStepPerSecond = 0.05; // share of the requests that can change their region
        core::Duration preferenceAveragingTime = std::chrono::seconds(1); // time constant of the preference average
        core::Duration suspension = std::chrono::seconds(6); // how long shares are unlimited after a change of the servers
    };

    explicit RegionShareLimiter(Options limitOptions)
        : options(limitOptions)
    {
    }

    // Records the preferred region of a request of this service. `initial`: shares for the first request.
    void recordPreference(std::uint64_t serviceKey, core::RegionIndex region, const std::vector<double>& initial, core::TimePoint now);

    // Lifts the limit for the time Options::suspension. Called when the service's servers have changed.
    void suspend(std::uint64_t serviceKey, core::TimePoint now);

    // Whether another request to this region keeps the region within its reference share plus tolerance.
    bool allows(std::uint64_t serviceKey, core::RegionIndex, core::TimePoint now) const;

    // The region that is furthest below its reference share, if the gap exceeds the tolerance.
    std::optional<core::RegionIndex> regionBehindShare(std::uint64_t serviceKey, core::TimePoint now) const;

    // Counts a request of this service that was sent to the region.
    void recordSent(std::uint64_t serviceKey, core::RegionIndex, core::TimePoint now);

private:
    struct Service {
        std::vector<double> reference; // by RegionIndex, sums to 1
        std::vector<double> preferred; // by RegionIndex, moving average of the preferences
        std::vector<double> credit; // by RegionIndex, in requests
        std::vector<double> counted; // by RegionIndex, requests sent, exponentially decayed over the window
        double total = 0; // sum of `counted`
        core::TimePoint updatedAt {};
        core::TimePoint suspendedUntil {};
    };

    void advance(Service&, core::TimePoint now) const;
    static void moveReference(Service&, double maxStep);
    // The service if its shares are limited at this time, else nullptr.
    const Service* findLimiting(std::uint64_t serviceKey, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, Service> services; // by service key
};

}
