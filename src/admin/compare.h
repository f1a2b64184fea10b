#pragma once

#include "admin/command_context.h"

namespace cranberryshed::admin {

// Filter: finds how the declared objects differ from the store's. If a member has a higher revision in force than
// the store has, the store lost writes, and all declared objects count as to be written again.
struct CompareWithStore {
    Step operator()(Context, core::TimePoint now) const;
};

// One line per top-level key that differs between two contents, such as "headroomPercent: 30 -> 35".
std::vector<std::string> differingKeys(const std::string& before, const std::string& after);

}
