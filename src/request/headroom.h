#pragma once

#include "core/errors.h"
#include "core/steering_table.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Keeps the share of capacity free that a class's target states.
//
// Work is refused only if this thread's admitted work exceeds its equal part of the allowed use and the servers'
// service as a whole exceeds it, so an entry VM with more callers than others may use what they leave. That is
// known from the load digests of all entry VMs, or else from the servers' reports; without either, its own part
// decides. Counts all classes of a service.
class Headroom {
public:
    struct Options {
        core::Duration averagingTime = std::chrono::seconds(1); // over which admitted work is averaged
        core::Duration maxReportAge = std::chrono::seconds(3); // age at which a report counts no longer
        std::uint32_t threads = 1; // traffic threads of the process
        // Share of the expected time on a slot that must be left until the deadline. Below 1, because the
        // expected time is a mean and most requests take less.
        double minTimeShare = 0.5;
    };

    Headroom()
        : Headroom(Options {})
    {
    }

    explicit Headroom(Options headroomOptions)
        : options(headroomOptions)
    {
    }

    // Counts the request, or says why it is not admitted: DeadlineTooShort or Overloaded.
    std::optional<core::ErrorKind> admit(const core::SteeringTable&, core::ClassIndex, core::Duration untilDeadline, core::Duration serviceTime, core::TimePoint now);

private:
    struct Capacity {
        std::uint64_t serviceKey = 0; // hash of the service's name
        double slots = 0; // that may be used at present
        double reported = 0; // requests, by fresh reports
        double reportedSlots = 0; // of the servers with fresh reports
        std::optional<double> utilization; // share of the slots in use, by load digests
    };

    struct Usage {
        double slotSeconds = 0; // seconds of slot time, decayed
        core::TimePoint updatedAt {};
    };

    void refresh(const core::SteeringTable&, core::TimePoint now);
    bool exceedsAllowed(const Capacity&, const Usage&, double allowed, std::size_t entryVms) const;

    Options options;
    const core::SteeringTable* lastTable = nullptr; // only compared
    std::uint64_t generation = 0;
    std::size_t entryVms = 1; // entry VMs that serve callers
    std::vector<Capacity> capacities; // by ClassIndex
    std::unordered_map<std::uint64_t, Usage> usage; // by pool
};

}
