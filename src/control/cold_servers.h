#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Filter: decides which cold servers this entry VM may use. Each cold server is assigned to one entry VM of its region by
// rendezvous hashing, because it can only handle a low request rate, which VMs could not divide without delay.
//
// Views of the fleet differ for a while, and each VM that takes a server for its own uses the whole rate. So the
// assignment changes late: a member that is dead keeps its servers for deadRetention, since it can be alive on the other
// side of a cut, and a VM takes none before it has known the fleet for settleTime, unless it is the only one. Meanwhile such a server gets no
// requests; it is cold for some seconds only.
class AssignColdServers {
public:
    Step operator()(Context, core::TimePoint now);

    static constexpr core::Duration settleTime = std::chrono::seconds(5); // within which new members hear of all others
    static constexpr core::Duration deadRetention = std::chrono::minutes(10);

private:
    // The hashes of the names of the members to which servers can be assigned.
    std::vector<std::uint64_t> eligibleMembers(const Context&, core::TimePoint now);

    std::map<std::string, core::TimePoint> deadSince; // by member name
};

}
