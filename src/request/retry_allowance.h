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
        // Fraction of the bound that is used. The margin is needed because entry VMs temporarily disagree about the
        // number of members when one joins or leaves.
        double usedFraction = 0.7;
    };

    // Counts a request for the service.
    void countRequest(const Options&, core::TimePoint now);

    // Takes one extra attempt. Returns false if the window has none left. `members` is the number of alive entry VMs.
    bool trySpend(const Options&, std::size_t members, core::TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10; // per window

    struct Bucket {
        double requests = 0;
        double extraAttempts = 0;
    };

    void advance(const Options&, core::TimePoint now);

    std::array<Bucket, bucketCount> counts {};
    std::int64_t newestBucket = 0; // number of the newest bucket, counted from the clock's epoch
};

}
