#pragma once

#include "core/errors.h"
#include "core/steering_table.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// Admission control that keeps the headroom of a class's target free.
//
// A request is rejected only if this thread's admitted work exceeds its equal share of the allowed utilization and the
// utilization of the whole service exceeds it too. An entry VM with more callers than others can therefore use capacity
// that the others leave free. The utilization of the service comes from the load digests of all entry VMs, otherwise
// from the servers' reports; without either, the thread's own share alone decides. All classes of a service count.
class Headroom {
public:
    struct Options {
        core::Duration averagingTime = std::chrono::seconds(1); // time constant of the admitted work
        core::Duration maxReportAge = std::chrono::seconds(3); // older reports are ignored
        std::uint32_t threads = 1; // traffic threads of the process
        // Minimum time until the deadline, relative to the expected slot time. Below 1, because the expected time is
        // a mean and most requests take less.
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

    // Admits and counts the request, or returns why it is rejected: DeadlineTooShort or Overloaded.
    std::optional<core::ErrorKind> admit(const core::SteeringTable&, core::ClassIndex, core::Duration untilDeadline, core::Duration slotTime, core::TimePoint now);

private:
    struct Capacity {
        std::uint64_t serviceKey = 0; // hash of the service's name
        double slots = 0; // usable at present
        double reported = 0; // requests in flight, by fresh reports
        double reportedSlots = 0; // usable slots of the servers with fresh reports
        std::optional<double> utilization; // of the service's slots, by load digests
    };

    struct Usage {
        double slotSeconds = 0; // admitted slot time, exponentially decayed
        core::TimePoint updatedAt {};
    };

    void refresh(const core::SteeringTable&, core::TimePoint now);
    // Whether both this thread's share and the service as a whole exceed the allowed utilization.
    bool exceedsAllowed(const Capacity&, const Usage&, double allowed, std::size_t entryVms) const;

    Options options;
    const core::SteeringTable* lastTable = nullptr; // only compared, never dereferenced
    std::uint64_t generation = 0;
    std::size_t entryVms = 1; // alive entry VMs, at least 1
    std::vector<Capacity> capacities; // by ClassIndex
    std::unordered_map<std::uint64_t, Usage> usage; // by service key
};

}
