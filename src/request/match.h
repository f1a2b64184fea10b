#pragma once

#include "core/steering_table.h"

#include <optional>
#include <string_view>

namespace cranberryshed::request {

// Finds the class of work for a request: the longest matching path prefix among the classes whose host
// and method match. Matching by host ignores a port and letter case.
std::optional<core::ClassIndex> matchClass(const core::SteeringTable&, std::string_view host, std::string_view method, std::string_view target);

}
