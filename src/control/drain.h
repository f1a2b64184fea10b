#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// What bounds the drain of one batch, from the declarations alone.
struct DrainLimits {
    double maxShiftPerMinute = 0; // share of a class's traffic that a planned shift may move in a minute
    core::Duration maxWorkDuration {}; // longest deadline of the service's classes
};

DrainLimits drainLimitsOf(const core::Declarations&, const core::BatchDeclaration&);

// When new work starts to leave the batch and when none is left.
struct DrainWindow {
    core::WallTime start {};
    core::WallTime finish {};
};

// The drain ends the longest work and a margin before the contract end and starts early enough to stay at four
// fifths of the cap. The remaining fifth lets an entry VM that fell behind catch up.
DrainWindow drainWindowOf(const core::BatchDeclaration&, const DrainLimits&);

// The share of its usual traffic that a batch should get: 1 before the window, 0 after it, a line between.
// A function of declaration and time only, so that all entry VMs agree without a coordinator.
double drainTargetShare(const DrainWindow&, core::WallTime);

// Filter: gives draining batches a falling share through BackendServer::warmth and sets them Leaving at the end.
//
// This VM moves at most the cap's share of its own traffic in any minute, whatever the declarations or the clock do,
// so the bound holds for the sum over all entry VMs. The share does not fall while the other servers of a region
// have no room for the traffic, because they are still cold or too few. Room is what is left below the headroom, or
// below 95 % of the slots once the drain would miss its date otherwise.
class PlanDrains {
public:
    Step operator()(Context, core::TimePoint now);

private:
    struct Progress {
        double share = 1;
        core::TimePoint changedAt {};
    };

    void drainService(Context&, const std::string& service, core::TimePoint now);

    std::map<std::string, Progress> progress; // by batch
};

}
