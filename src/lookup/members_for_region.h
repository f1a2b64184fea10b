#pragma once

#include "core/steering_table.h"

#include <string_view>
#include <vector>

namespace cranberryshed::lookup {

// Returns the entry VMs for callers that state their region: the region's alive members. If there are none, returns the
// region's suspect members, and if there are none of these either, the alive members of all regions.
std::vector<core::MemberIndex> membersForRegion(const core::SteeringTable&, std::string_view region);

}
