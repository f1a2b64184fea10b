#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// The limits of one batch's drain, which depend on the declarations only.
struct DrainLimits {
    double maxShiftPerMinute = 0; // share of a class's traffic that the drain can move per minute
    core::Duration maxWorkDuration {}; // longest deadline of the service's classes
};

DrainLimits drainLimitsOf(const core::Declarations&, const core::BatchDeclaration&);

// The time over which the batch's share of new requests falls from 1 to 0.
struct DrainWindow {
    core::WallTime start {};
    core::WallTime finish {};
};

// The window ends before the contract end by the longest deadline plus a margin, and it is long enough for four
// fifths of the shift cap. The remaining fifth lets an entry VM that fell behind catch up.
DrainWindow drainWindowOf(const core::BatchDeclaration&, const DrainLimits&);

// The share of its usual traffic that a batch should get: 1 before the window, 0 after it, linear in between.
// It depends on the declaration and the time only, so all entry VMs agree without a coordinator.
double drainTargetShare(const DrainWindow&, core::WallTime);

// Filter: lowers the share of draining batches through BackendServer::warmth and sets their servers to Leaving at the
// end.
//
// In any minute, this VM moves at most the shift cap's share of its own traffic, even if the declarations change or
// the clock jumps, so the bound also holds for the sum over all entry VMs. The share does not fall while the other
// servers lack the capacity for the traffic because they are still cold or too few. The capacity excludes the
// headroom, or only 5 % of the slots if the drain would otherwise miss its date.
class PlanDrains {
public:
    Step operator()(Context, core::TimePoint now);

private:
    struct Progress {
        double share = 1; // of the batch's usual traffic
        core::TimePoint changedAt {};
    };

    void drainService(Context&, const std::string& service, core::TimePoint now);

    std::map<std::string, Progress> progress; // by batch
};

}
