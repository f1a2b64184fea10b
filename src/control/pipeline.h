#pragma once

#include "control/build_table.h"
#include "control/cold_servers.h"
#include "control/drain.h"
#include "control/health_and_load.h"
#include "control/home_subset.h"
#include "control/merge.h"
#include "control/region_shift.h"
#include "control/server_list.h"
#include "control/warm_up.h"

namespace cranberryshed::control {

// The control pipe of an entry VM that evaluates health and load itself (app/declared_feed.h). The control thread runs
// it about once a second and on changes. See core::ServerEntry::isHome for the home subset.
//
// Called with ControlInputs and the time, it returns ControlOutput, or the reason why the last table stays in force.
using ControlPipe = core::Pipe<MergeSources, EvaluateHealthAndLoad, PlanWarmUps, PlanDrains, ShiftRegionShares, ChooseHomeSubset, BuildSteeringTable>;

inline ControlPipe makeControlPipe()
{
    return ControlPipe(MergeSources {}, EvaluateHealthAndLoad {}, PlanWarmUps {}, PlanDrains {}, ShiftRegionShares {}, ChooseHomeSubset {}, BuildSteeringTable {});
}

// The control pipe where the platform's store is authoritative for the backend servers (platform/platform_feed.h).
using ServerListPipe = core::Pipe<ApplyServerList, AllowRegions, AssignColdServers, BuildSteeringTable>;

inline ServerListPipe makeServerListPipe()
{
    return ServerListPipe(ApplyServerList {}, AllowRegions {}, AssignColdServers {}, BuildSteeringTable {});
}

}
