#pragma once

#include "control/pipeline_types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cranberryshed::control {

// Divides the servers among the members and returns the indexes of each member's servers. The result depends on the
// keys only, so all entry VMs with the same membership compute the same subsets. With at least as many servers as
// members, the subsets are disjoint and their sizes differ by at most one. Otherwise each member gets one server, and
// the numbers of members per server differ by at most one.
std::vector<std::vector<std::size_t>> assignHomeSubsets(std::span<const std::uint64_t> serverKeys, std::span<const std::uint64_t> memberKeys);

// Filter: marks the servers of this VM's home subset. The servers of each service in the local region are divided among
// the entry VMs of that region.
struct ChooseHomeSubset {
    Step operator()(Context, core::TimePoint now) const;
};

}
