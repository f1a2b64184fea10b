#include "request/choose.h"

#include <algorithm>

namespace cranberryshed::request {

std::optional<core::ServerIndex> RoundRobin::choose(const core::SteeringTable& table, core::ClassIndex classIndex, std::span<const core::ServerIndex> excluded, core::RandomEngine&, core::TimePoint)
{
    const std::vector<core::ServerIndex>& servers = table.at(classIndex).servers;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const core::ServerIndex candidate = servers[this->next++ % servers.size()];
        const core::ServerEntry& server = table.at(candidate);
        if (server.state != core::ServerState::Active && server.state != core::ServerState::Warming)
            continue;
        if (std::ranges::find(excluded, candidate) != excluded.end())
            continue;
        if (server.inFlight->tryAcquire(server.slots))
            return candidate;
    }
    return std::nullopt;
}

}
