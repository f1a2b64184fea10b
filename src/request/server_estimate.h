#pragma once

#include "core/types.h"
#include "request/events.h"

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace cranberryshed::request {

// The objects of the requests that this traffic thread sent to a server most recently (LRU list of bounded size).
class RecentObjects {
public:
    explicit RecentObjects(std::size_t objectCount)
        : maxObjects(objectCount)
    {
    }

    void add(std::uint64_t object);
    bool contains(std::uint64_t object) const { return this->positions.contains(object); }

private:
    std::size_t maxObjects;
    std::list<std::uint64_t> order; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

// Estimates the load and speed of one backend server from the answers that one traffic thread received from it.
//
// A load report is as old as the last answer, so each estimate decays towards its mean with the age of the report: the
// requests of other entry VMs within about the duration of a request, the slowdown within the duration of a noisy
// neighbour's burst.
class ServerEstimate {
public:
    struct Options {
        // The most recent objects that certainly stay in the server's cache, despite the requests of other entry VMs.
        std::size_t maxWarmObjects = 12;
        core::Duration loadDecayTime = std::chrono::milliseconds(400);
        core::Duration slowdownDecayTime = std::chrono::milliseconds(300);
        core::Duration slownessDecayTime = std::chrono::seconds(4);
        double meanSampleWeight = 0.15; // weight of one report in the mean of other entry VMs' requests
        double slownessSampleWeight = 0.1; // weight of one answer in the server's slowness
        double maxSlownessSample = 4; // limits the effect of a single answer
        double maxNormalSlowness = 1.5; // slowness up to this value is within the normal variance of run times
        core::Duration connectionIdleTimeout = std::chrono::seconds(8); // after that, the server closes it
    };

    explicit ServerEstimate(Options estimateOptions)
        : options(estimateOptions)
        , recent(estimateOptions.maxWarmObjects)
    {
    }

    void recordStart(std::uint64_t object, core::TimePoint now);

    // Records the load that a server reported in an answer. `localInFlight`: requests of this entry VM in that load.
    void recordReport(const LoadSample&, std::uint32_t localInFlight, core::TimePoint now);

    // Records the run time of an answered request, relative to the expected run time.
    void recordRelativeTime(double ratio, core::TimePoint now);

    // Records the end of the attempt that was started at this time. `reusable`: its connection can be used again.
    void recordEnd(core::TimePoint startedAt, bool reusable, core::TimePoint now);

    // Whether an open connection is not used by a request.
    bool hasIdleConnection(core::TimePoint now) const { return !this->idleSince.empty() && now - this->idleSince.back() < this->options.connectionIdleTimeout; }

    // Expected number of requests of other entry VMs at the server, including queued ones.
    double peerRequests(core::TimePoint now) const;

    // Current run time relative to the normal run time; at least 1.
    double slowdown(core::TimePoint now) const;

    bool isWarm(std::uint64_t object) const { return this->recent.contains(object); }
    std::optional<core::TimePoint> reportedAt() const { return this->lastReport; }

    // Start of the second-oldest running attempt if the server has sent no load report since then; otherwise nothing.
    // A single long-running attempt is ignored, because it does not indicate that the server is stuck.
    std::optional<core::TimePoint> unansweredSince() const;

private:
    Options options;
    RecentObjects recent;
    std::optional<core::TimePoint> lastReport;
    double lastPeerRequests = 0;
    double meanPeerRequests = 0;
    double lastSlowdown = 1;
    double slowness = 1;
    core::TimePoint slownessAt {};
    std::list<core::TimePoint> runningSince; // start times of running attempts
    std::deque<core::TimePoint> idleSince; // one entry per idle connection: when it became idle, oldest first
};

}
