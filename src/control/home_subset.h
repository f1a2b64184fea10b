#pragma once

#include "control/pipeline_types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cranberryshed::control {

// Divides servers between members: for each server the index of the member that prefers it. Depends only on
// the keys, so every entry VM with the same membership finds the same division. With at least as many servers
// as members the parts are disjoint and differ by at most one server; each member has one server otherwise,
// and no server has more than one member more than another.
// Returns for each member the indexes of its servers.
std::vector<std::vector<std::size_t>> assignHomeSubsets(std::span<const std::uint64_t> serverKeys, std::span<const std::uint64_t> memberKeys);

// Filter: marks the servers of this VM's home subset, per service among the members of the own region.
struct ChooseHomeSubset {
    Step operator()(Context, core::TimePoint now) const;
};

}
