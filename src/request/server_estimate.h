#pragma once

#include "core/types.h"
#include "request/events.h"

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace cranberryshed::request {

// The objects that a server ran last, as far as this entry VM sent them: a bounded list, the latest first.
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
    std::list<std::uint64_t> order; // the latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

// What one traffic thread knows of one backend server from the answers that it got there.
//
// Load reports are as old as the last answer, so each figure moves back to its mean with age: other entry VMs'
// requests within about the time of a request, the slowdown within the time that a noisy neighbour takes.
class ServerEstimate {
public:
    struct Options {
        std::size_t maxWarmObjects = 12; // that a server surely keeps warm, whatever other entry VMs send there
        core::Duration loadDecayTime = std::chrono::milliseconds(400);
        core::Duration slowdownDecayTime = std::chrono::milliseconds(300);
        core::Duration slownessDecayTime = std::chrono::seconds(4);
        double meanSampleWeight = 0.15; // of one report in the mean of the others' requests
        double slownessSampleWeight = 0.1; // of one answer in the server's slowness
        double maxSlownessSample = 4; // of one answer
        double maxNormalSlowness = 1.5; // slowness up to this comes from the spread of the work
        core::Duration connectionIdleTimeout = std::chrono::seconds(8); // that a connection stays open without a request
    };

    explicit ServerEstimate(Options viewOptions)
        : options(viewOptions)
        , recent(viewOptions.maxWarmObjects)
    {
    }

    void recordStart(std::uint64_t object, core::TimePoint now);

    // An answer with the server's load, and the requests of this entry VM that are left there.
    void recordReport(const LoadSample&, std::uint32_t localInFlight, core::TimePoint now);

    // How long an answer took, relative to what was expected.
    void recordRelativeTime(double ratio, core::TimePoint now);

    // An attempt that was started at this time has ended. `reusable`: its connection can take another request.
    void recordEnd(core::TimePoint startedAt, bool reusable, core::TimePoint now);

    // Whether a connection is open that no request uses.
    bool hasIdleConnection(core::TimePoint now) const { return !this->idleSince.empty() && now - this->idleSince.back() < this->options.connectionIdleTimeout; }

    // Expected requests of other entry VMs, waiting ones included.
    double peerRequests(core::TimePoint now) const;

    // How long work takes at this moment, relative to usual.
    double slowdown(core::TimePoint now) const;

    bool isWarm(std::uint64_t object) const { return this->recent.contains(object); }
    std::optional<core::TimePoint> reportedAt() const { return this->lastReport; }

    // Since when several attempts have run and none was answered. Nothing if an answer came in between: one long run
    // says nothing about the server.
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
    std::list<core::TimePoint> runningSince; // starts of attempts
    std::deque<core::TimePoint> idleSince; // since when connections are idle, the latest last
};

}
