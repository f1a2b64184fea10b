#pragma once

#include "core/types.h"

#include <array>

namespace cranberryshed::request {

// Limits this entry VM's extra attempts at one service so that all entry VMs together stay within a common bound: in
// every window, a fraction of the requests for the service plus a fixed number that the entry VMs share equally.
class RetryAllowance {
public:
    struct Options {
        double share = 0; // upper bound of the extra attempts per request in a window; 0: the allowance is not used
        double slack = 0; // upper bound of the additional extra attempts per window, of all entry VMs together
        core::Duration window = std::chrono::seconds(10);
        // Fraction of the bound that is used. The rest of the slack is for processes in their first window.
        double usedFraction = 0.7;
        std::uint32_t threads = 1; // traffic threads of this process, each of which has an allowance of its own
    };

    // Counts a request for the service.
    void countRequest(const Options&, core::TimePoint now);

    // Takes one extra attempt. Returns false if the window has none left. `slackSharers` is an upper bound of the number
    // of entry VMs that share the slack; if it is 0, this one has no part of it. In the first window after `startedAt`,
    // the part is smaller by what an earlier process of this entry VM can have taken.
    bool trySpend(const Options&, std::size_t slackSharers, core::TimePoint now, core::TimePoint startedAt = {});

    // Moves an extra attempt from the time at which it was taken to that at which it is sent. In between it can wait for
    // seconds, and the bound is on what arrives at the servers.
    void recordSent(const Options&, core::TimePoint takenAt, core::TimePoint now);

private:
    static constexpr std::size_t bucketsPerWindow = 10;
    // One more than a window has: the oldest and the newest bucket are only partly inside the window.
    static constexpr std::size_t bucketCount = bucketsPerWindow + 1;

    struct Bucket {
        double requests = 0;
        double extraAttempts = 0;
    };

    static double ownSlack(const Options&, std::size_t slackSharers, bool isFirstWindow);
    static std::int64_t bucketNumber(const Options&, core::TimePoint);
    void advance(const Options&, core::TimePoint now);
    Bucket& bucket(std::int64_t number) { return this->counts[static_cast<std::size_t>(number) % bucketCount]; }

    std::array<Bucket, bucketCount> counts {};
    std::int64_t newestBucket = 0; // number of the newest bucket, counted from the clock's epoch
};

}
