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
// With few requests in a window, their shares are too inaccurate to enforce. Entry VMs that get few requests then choose
// freely, and differ from each other. Only after a start do they learn the same things at the same moment: the servers
// are cold, and seconds later the objects are warm in the callers' region. Until the reference has settled after that,
// each request adds its reference shares to the credit of the regions, and the region that gets it pays one request.
class RegionShareLimiter {
public:
    struct Options {
        core::Duration window = std::chrono::seconds(1); // time constant of the request counts
        double tolerance = 0.04; // allowed difference between a window's share and its reference
        double minRequests = 8; // in a window; with fewer, its shares are not enforced
        core::Duration startPeriod = std::chrono::seconds(4); // after the first request, the reference is not settled yet
        double settledGap = 0.1; // share of the requests that may still change their region when the reference is settled
        double maxDebt = 1; // requests
        double creditRequests = 25; // credit and debt are forgotten over this many requests
        // Maximum change of a reference share. With credit, of all shares together.
        double maxStepPerSecond = 0.05;
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
        core::TimePoint startedAt {}; // time of the first request
        bool isSettled = false; // the reference has reached the preferred shares after the start
        core::TimePoint suspendedUntil {};
    };

    void advance(Service&, core::TimePoint now) const;
    bool usesCredit(const Service& service) const { return service.total < this->options.minRequests; }
    void moveReference(Service&, double maxStep) const;
    // The service if its shares are limited at this time, else nullptr.
    const Service* findLimiting(std::uint64_t serviceKey, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, Service> services; // by service key
};

}
