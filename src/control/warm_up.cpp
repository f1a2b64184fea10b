#include "control/warm_up.h"

#include "control/health_and_load.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    using Minutes = std::chrono::duration<double, std::ratio<60>>;

    // A process that ran late may not make up for the whole pause in one step.
    constexpr core::Duration longestStep = std::chrono::seconds(2);

    // What the new servers of one service ask for, in slots.
    struct Growth {
        double allSlots = 0; // that the service uses at present
        double wanted = 0; // more of them by the servers' own warm-ups
    };

    bool takesWork(const BackendServer& server)
    {
        return server.state == core::ServerState::Active || server.state == core::ServerState::Warming;
    }

    // Whether the callers of a server's region need more than the servers of the region can take below the headroom.
    bool needed(const Context& context, const BackendServer& server, double slotsNow)
    {
        const auto found = context.services.find(server.listing.service);
        if (found == context.services.end())
            return false;
        const ServiceLoad& load = found->second[server.region.value];
        return load.demandSlots > slotsNow * (1 - headroomOf(context.declarations(), server.listing.service));
    }

}

Step PlanWarmUps::operator()(Context context, core::TimePoint now)
{
    const Minutes step = std::min<core::Duration>(now - this->changedAt, longestStep);
    this->changedAt = now;
    std::map<std::string, double> present;
    std::map<std::string, Growth> growth;
    std::map<std::pair<std::string, core::RegionIndex>, double> slotsNow;
    for (const BackendServer& server : context.servers) {
        if (!takesWork(server))
            continue;
        const auto found = this->warmths.find(server.listing.name);
        const bool bounded = found != this->warmths.end() || server.isSlowStarting;
        const double before = found == this->warmths.end() ? 0 : std::min(found->second, server.warmth);
        if (bounded)
            present.emplace(server.listing.name, before);
        const double used = server.listing.slots * (bounded ? before : server.warmth);
        Growth& sum = growth[server.listing.service];
        sum.allSlots += used;
        sum.wanted += server.listing.slots * server.warmth - used;
        slotsNow[{ server.listing.service, server.region }] += used;
    }
    for (BackendServer& server : context.servers) {
        const auto found = present.find(server.listing.name);
        if (found == present.end())
            continue;
        const Growth& sum = growth[server.listing.service];
        const double allowed = maxWarmUpShareOfCap * shiftCapOf(context.declarations(), server.listing.service) * step.count() * sum.allSlots;
        const double part = sum.wanted > allowed ? allowed / sum.wanted : 1;
        if (!needed(context, server, slotsNow[{ server.listing.service, server.region }]))
            found->second += (server.warmth - found->second) * part;
        else
            found->second = server.warmth;
        server.warmth = found->second;
        if (server.warmth < 1) {
            context.warmingServices.insert(server.listing.service);
            server.state = core::ServerState::Warming;
        } else
            present.erase(found);
    }
    this->warmths = std::move(present);
    computeServiceLoads(context);
    return Step::pass(std::move(context));
}

}
