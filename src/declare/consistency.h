#pragma once

#include "core/declarations.h"
#include "declare/schema.h"

#include <set>
#include <string>
#include <vector>

namespace cranberryshed::declare {

struct ConsistencyOptions {
    core::WallTime now {}; // contracts must end after this time
    // Objects ("kind/name") that were accepted before and do not change now. Checks that depend on the time are skipped
    // for them, because these would fail later only because time has passed.
    std::set<std::string> unchanged;
    const core::ServerList* servers = nullptr; // gives a batch's share of its service's capacity; if null, the share is taken as 1
};

// Checks declarations against each other: references, contradictions, and targets that can't be satisfied. Returns
// every problem with its reason.
std::vector<Problem> checkConsistency(const core::Declarations& declarations, const ConsistencyOptions& options);

}
