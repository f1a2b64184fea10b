#pragma once

#include "control/build_table.h"
#include "control/drain.h"
#include "control/health_and_load.h"
#include "control/home_subset.h"
#include "control/merge.h"
#include "control/region_shift.h"
#include "control/server_list.h"
#include "control/warm_up.h"

namespace cranberryshed::control {

// The control path, run by the control thread about once a second and on changes:
// sources -> merge -> judge -> plan (warm-ups, drains, regions, home subsets) -> publish.
// Called with ControlInputs and the time, it gives ControlOutput, or why the last table stays in force.
using ControlPipe = core::Pipe<MergeSources, EvaluateHealthAndLoad, PlanWarmUps, PlanDrains, ShiftRegionShares, ChooseHomeSubset, BuildSteeringTable>;

inline ControlPipe makeControlPipe()
{
    return ControlPipe(MergeSources {}, EvaluateHealthAndLoad {}, PlanWarmUps {}, PlanDrains {}, ShiftRegionShares {}, ChooseHomeSubset {}, BuildSteeringTable {});
}

// The control path where the platform's store is the authority on the backend servers.
using ServerListPipe = core::Pipe<ApplyServerList, AllowRegions, ChooseHomeSubset, BuildSteeringTable>;

inline ServerListPipe makeServerListPipe()
{
    return ServerListPipe(ApplyServerList {}, AllowRegions {}, ChooseHomeSubset {}, BuildSteeringTable {});
}

}
