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

// The control pipeline, run by the control thread about once a second and on changes:
// merge sources -> evaluate health and load -> plan warm-ups and drains -> shift region shares -> choose the home
// subset -> build the steering table.
// Called with ControlInputs and the time, it returns ControlOutput, or the reason why the last table stays in force.
using ControlPipe = core::Pipe<MergeSources, EvaluateHealthAndLoad, PlanWarmUps, PlanDrains, ShiftRegionShares, ChooseHomeSubset, BuildSteeringTable>;

inline ControlPipe makeControlPipe()
{
    return ControlPipe(MergeSources {}, EvaluateHealthAndLoad {}, PlanWarmUps {}, PlanDrains {}, ShiftRegionShares {}, ChooseHomeSubset {}, BuildSteeringTable {});
}

// The control pipeline where the platform's store is authoritative for the backend servers.
using ServerListPipe = core::Pipe<ApplyServerList, AllowRegions, ChooseHomeSubset, BuildSteeringTable>;

inline ServerListPipe makeServerListPipe()
{
    return ServerListPipe(ApplyServerList {}, AllowRegions {}, ChooseHomeSubset {}, BuildSteeringTable {});
}

}
