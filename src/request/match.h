#pragma once

#include "core/steering_table.h"

#include <optional>
#include <string_view>

namespace cranberryshed::request {

// Finds the class of work for a request: among the classes whose host and method match, the one with the longest
// matching path prefix. Port and letter case of the host are ignored. Returns nothing if no class matches.
std::optional<core::ClassIndex> matchClass(const core::SteeringTable&, std::string_view host, std::string_view method, std::string_view target);

}
