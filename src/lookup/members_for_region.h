#pragma once

#include "core/steering_table.h"

#include <string_view>
#include <vector>

namespace cranberryshed::lookup {

// The entry VMs for callers that state their region: those of the region that take callers, or
// if there are none, those of all regions. A suspect is only named where no other is left.
std::vector<core::MemberIndex> membersForRegion(const core::SteeringTable&, std::string_view region);

}
