#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Follows the usual time of a class's attempts: a running median that moves by a fixed share per sample,
// so a few samples of slow servers do not move it.
class RunningMedian {
public:
    void add(core::Duration);
    double medianSeconds() const { return this->median; } // seconds; 0: unknown

private:
    double median = 0;
    std::uint32_t samples = 0;
};

// Whether a backend server gets work from this thread.
// From best to worst.
enum class OutlierState : std::uint8_t {
    Usable,
    Probing, // was ejected: gets one request at a time until one is answered as fast as usual
    Suspect, // an attempt takes much longer than usual: only used if nothing better is free
    Ejected,
};
}

namespace cranberryshed::core {

template <>
struct Names<request::OutlierState> {
    static constexpr std::array<std::string_view, 4> values = { "usable", "probing", "suspect", "ejected" };
};

}

namespace cranberryshed::request {

// Takes backend servers out for moments, by the attempts of one traffic thread.
//
// A server that is slow for a moment is noticed by the age of its running attempts, before any of them ends.
// Latency is compared with the usual time of the attempt's class. Only attempts of short classes count, since
// the time of long ones depends on their size and on the caller's connection.
class OutlierDetector {
public:
    struct Options {
        double suspectAgeToMedian = 2.5; // age of a running attempt, in usual times
        double slowTimeToMedian = 4; // time of an attempt that counts as slow, in usual times
        std::uint32_t failureThreshold = 2; // slow or failed attempts without a good one in between
        double maxEjectedShare = 0.4; // of the servers, that may be ejected at the same time
        core::Duration baseEjectionTime = std::chrono::milliseconds(500);
        core::Duration maxEjectionTime = std::chrono::seconds(5); // doubles from the first up to this
    };

    // The server of one attempt, as the chooser knows it.
    struct TrackedAttempt {
        std::uint64_t serverKey = 0;
        std::uint64_t classKey = 0;
        core::WorkLength length = core::WorkLength::Short;
        core::TimePoint startedAt {};
    };

    explicit OutlierDetector(Options detectorOptions)
        : options(detectorOptions)
    {
    }

    // Forgets servers that are not in the list. The number of servers bounds how many may be ejected.
    void setServers(const std::vector<std::uint64_t>& serverKeys);

    void recordStart(const TrackedAttempt&);
    void recordEnd(const TrackedAttempt&, core::AttemptResult, core::TimePoint now);

    OutlierState outlierState(std::uint64_t serverKey, core::TimePoint now) const;
    std::size_t ejectedCount(core::TimePoint now) const;

    // When a server was last ejected; nothing if none was.
    std::optional<core::TimePoint> lastEjectionAt() const { return this->ejectedAt; }

    // Usual time of the class's attempts in seconds, 0 if unknown.
    double medianSeconds(std::uint64_t classKey) const;

private:
    struct Running {
        core::TimePoint startedAt;
        core::TimePoint suspectAt;
    };

    struct Server {
        std::vector<Running> running; // attempts of short classes
        core::TimePoint suspectAt = core::TimePoint::max(); // earliest of the running attempts
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0; // in a row
        core::TimePoint ejectedUntil {};
        bool probing = false; // from the ejection to the first good attempt after it
    };

    void removeRunning(Server&, core::TimePoint startedAt);
    void eject(Server&, core::TimePoint now);
    std::uint32_t failureCount(const TrackedAttempt&, core::AttemptResult, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, Server> servers;
    std::unordered_map<std::uint64_t, RunningMedian> medians; // by class
    std::optional<core::TimePoint> ejectedAt;
};

}
