#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Filter: decides which cold servers this entry VM may use. Each cold server is assigned to one entry VM of its region by
// rendezvous hashing: the request rate that it bears is for all VMs together, and too low to be divided.
//
// Two VMs whose views of the fleet differ can both take a server for theirs and then exceed its rate. So the assignment
// changes late: a dead member keeps its servers for deadAssignmentTime, because it can be alive on the other side of a
// network partition, and a VM takes no server before it has known the fleet for settleTime, unless it is the only VM.
// Until then the server gets no requests; servers are cold for some seconds only.
class AssignColdServers {
public:
    Step operator()(Context, core::TimePoint now);

    static constexpr core::Duration settleTime = std::chrono::seconds(5); // a new member knows all others by then
    static constexpr core::Duration deadAssignmentTime = std::chrono::minutes(10);

private:
    void trackDeadMembers(const ControlInputs&, core::TimePoint now);
    bool canHaveServers(const Context&, const MemberInfo&, core::TimePoint now) const;
    std::vector<std::uint64_t> candidateKeys(const Context&, core::TimePoint now) const;

    std::map<std::string, core::TimePoint> deadSince; // by member name
};

}
