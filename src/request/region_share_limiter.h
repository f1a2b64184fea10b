#pragma once

#include "core/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Keeps the shares of one VM's requests that run in each region from changing fast.
//
// A choice by expected time alone follows every change of load at once: a region that is full for a moment sends half
// of its work away and takes it back two seconds later, which upsets the other regions' servers. So each service has
// reference shares that follow what the choices want in bounded steps, and the requests of a window keep to them.
class RegionShareLimiter {
public:
    struct Options {
        core::Duration window = std::chrono::seconds(1); // over which shares are counted
        double tolerance = 0.04; // that a window's share may differ from its reference
        double maxStepPerSecond = 0.05; // of a reference
        core::Duration preferenceAveragingTime = std::chrono::seconds(1); // over which the choices' preferences are averaged
        core::Duration suspension = std::chrono::seconds(6); // after a change of the servers
        double minRequests = 8; // in a window, before which shares mean nothing
    };

    explicit RegionShareLimiter(Options limitOptions)
        : options(limitOptions)
    {
    }

    // The region that a choice prefers for a request of this service. `initial`: the shares to start from.
    void recordPreference(std::uint64_t service, core::RegionIndex region, const std::vector<double>& initial, core::TimePoint now);

    // The service's servers have changed: for a while the shares may change at once.
    void suspend(std::uint64_t service, core::TimePoint now);

    // Whether another request may run there without exceeding the region's share.
    bool allows(std::uint64_t service, core::RegionIndex, core::TimePoint now) const;

    // The region that is furthest below its share, if one is by more than the slack.
    std::optional<core::RegionIndex> regionBehindShare(std::uint64_t service, core::TimePoint now) const;

    // A request of this service was sent there.
    void recordSent(std::uint64_t service, core::RegionIndex, core::TimePoint now);

private:
    struct Service {
        std::vector<double> reference; // by RegionIndex, sums to 1
        std::vector<double> preferred; // likewise, moving average
        std::vector<double> counted; // requests sent, decayed over the window
        double total = 0;
        core::TimePoint updatedAt {};
        core::TimePoint suspendedUntil {};
    };

    void advance(Service&, core::TimePoint now) const;
    const Service* findLimiting(std::uint64_t service, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, Service> services;
};

}
