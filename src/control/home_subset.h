#pragma once

#include "control/pipeline_types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace cranberryshed::control {

// Divides the servers among the members and returns the indexes of each member's servers. The result depends on the
// keys only, so all entry VMs with the same membership compute the same subsets. With at least as many servers as
// members, the subsets are disjoint and their sizes differ by at most one. Otherwise each member gets one server, and
// the numbers of members per server differ by at most one.
std::vector<std::vector<std::size_t>> assignHomeSubsets(std::span<const std::uint64_t> serverKeys, std::span<const std::uint64_t> memberKeys);

// Filter: marks the servers of this VM's home subset. The servers of each service in the local region are divided among
// the entry VMs of that region. Keeps the last result of each service, because most runs find the same servers and
// members, and the assignment looks at each pair of them.
class ChooseHomeSubset {
public:
    Step operator()(Context, core::TimePoint now);

private:
    struct Assignment {
        std::vector<std::uint64_t> serverKeys;
        std::vector<std::uint64_t> memberKeys;
        std::vector<std::vector<std::size_t>> subsets; // by member
    };

    const Assignment& assignmentOf(const std::string& service, std::vector<std::uint64_t> serverKeys, const std::vector<std::uint64_t>& memberKeys);

    std::map<std::string, Assignment> assignments; // by service
};

}
