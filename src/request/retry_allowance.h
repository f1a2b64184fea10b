#pragma once

#include "core/types.h"

#include <array>

namespace cranberryshed::request {

// This entry VM's part of the extra attempts that all of them may make at one service: in every window, a share of
// the requests for the service, and a fixed number that the entry VMs divide among themselves.
class RetryAllowance {
public:
    struct Options {
        double share = 0; // of the requests in a window; 0: the allowance is not used
        double slack = 0; // extra attempts in a window besides, of all entry VMs together
        core::Duration window = std::chrono::seconds(10);
        // Part of the bounds that is used. Entry VMs that come and go see different numbers of members for a moment.
        double usedFraction = 0.7;
    };

    // A request for the service arrived.
    void countRequest(const Options&, core::TimePoint now);

    // Takes one extra attempt, if the window has one left.
    bool trySpend(const Options&, std::size_t members, core::TimePoint now);

private:
    static constexpr std::size_t parts = 10; // of the window

    struct Part {
        double requests = 0;
        double extra = 0;
    };

    void advance(const Options&, core::TimePoint now);

    std::array<Part, parts> counts {};
    std::int64_t newest = 0; // number of the newest part since the clock's start
};

}
