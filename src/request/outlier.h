#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Estimates the median time of a class's attempts. Each sample moves the estimate by a fixed factor, whatever its
// distance, so a few samples of slow servers have little effect.
class RunningMedian {
public:
    void add(core::Duration);
    double medianSeconds() const { return this->median; } // 0: no samples yet

private:
    double median = 0;
    std::uint32_t samples = 0;
};

// State of a backend server in the outlier detection of one traffic thread, ordered from best to worst.
enum class OutlierState : std::uint8_t {
    Usable,
    Probing, // the ejection has ended: gets one request at a time until one is answered in normal time
    Suspect, // a running attempt takes much longer than the median: only used if no better server is free
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

// Ejects slow or failing backend servers for a short time, based on the attempts of one traffic thread.
//
// The age of the running attempts reveals a server that has become slow before any of these attempts ends. Latency is
// compared with the median time of the attempt's class. Only attempts of short classes are compared, because the time
// of long ones depends on their size and on the caller's connection.
class OutlierDetector {
public:
    struct Options {
        // Both relative to the median time of the attempt's class.
        double suspectAgeToMedian = 2.5; // age of a running attempt that makes its server suspect
        double slowTimeToMedian = 4; // time of an attempt that counts as slow
        std::uint32_t failureThreshold = 2; // consecutive slow or failed attempts that eject a server
        double maxEjectedShare = 0.4; // of the servers, at the same time
        core::Duration baseEjectionTime = std::chrono::milliseconds(500); // doubles with each ejection in a row
        core::Duration maxEjectionTime = std::chrono::seconds(5);
    };

    // One attempt at a backend server.
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

    // Sets the servers to track and drops the state of all others. Their number also bounds the number of ejections.
    void setServers(const std::vector<std::uint64_t>& serverKeys);

    void recordStart(const TrackedAttempt&);
    void recordEnd(const TrackedAttempt&, core::AttemptResult, core::TimePoint now);

    OutlierState outlierState(std::uint64_t serverKey, core::TimePoint now) const;
    std::size_t ejectedCount(core::TimePoint now) const;

    // Time of the latest ejection of any server; nothing if there was none.
    std::optional<core::TimePoint> lastEjectionAt() const { return this->ejectedAt; }

    // Median time of the class's short attempts in seconds; 0 if unknown.
    double medianSeconds(std::uint64_t classKey) const;

private:
    struct Running {
        core::TimePoint startedAt;
        core::TimePoint suspectAt;
    };

    struct Server {
        std::vector<Running> running; // attempts of short classes
        core::TimePoint suspectAt = core::TimePoint::max(); // earliest `suspectAt` of the running attempts
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0; // consecutive, without a good attempt in between
        core::TimePoint ejectedUntil {};
        bool probing = false; // from the ejection to the first good attempt after it
    };

    void removeRunning(Server&, core::TimePoint startedAt);
    void eject(Server&, core::TimePoint now);
    std::uint32_t failureCount(const TrackedAttempt&, core::AttemptResult, core::TimePoint now) const;

    Options options;
    std::unordered_map<std::uint64_t, Server> servers;
    std::unordered_map<std::uint64_t, RunningMedian> medians; // by class key
    std::optional<core::TimePoint> ejectedAt;
};

}
