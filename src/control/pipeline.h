#pragma once

#include "control/homes.h"
#include "control/merge.h"
#include "control/publish.h"

namespace cranberryshed::control {

// The control path, run by the control thread about once a second and on changes:
// sources -> merge -> judge -> plan (drains, regions, home subsets) -> publish.
// Called with Sources and the time, it gives Published, or why the last table stays in force.
using ControlPipe = core::Pipe<Merge, ChooseHomes, Publish>;

}
