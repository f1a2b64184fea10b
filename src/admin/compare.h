#pragma once

#include "admin/command_context.h"

namespace cranberryshed::admin {

// Filter: compares the declared objects with those in the store. If a member has a higher revision in force than the
// highest in the store, the store has lost writes, and declared objects are written even if their content is the same.
struct CompareWithStore {
    Step operator()(Context, core::TimePoint now) const;
};

// Returns one line per top-level key whose value differs between two contents, such as "headroomPercent: 30 -> 35".
std::vector<std::string> differingKeys(const std::string& before, const std::string& after);

}
