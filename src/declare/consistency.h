#pragma once

#include "core/declarations.h"
#include "declare/schema.h"

#include <set>
#include <string>
#include <vector>

namespace cranberryshed::declare {

struct ConsistencyOptions {
    core::WallTime now {}; // contract ends must be later
    // "kind/name" of objects that were accepted before and are not changed now. Time goes on, so what depends on it
    // is not checked again for them.
    std::set<std::string> unchanged;
    const core::ServerList* servers = nullptr; // if known, says how much of a service's capacity a batch is
};

// Checks declarations against each other: references, contradictions, and targets that can't be satisfied. Returns
// every fault with its reason.
std::vector<Problem> checkConsistency(const core::Declarations& declarations, const ConsistencyOptions& options);

}
