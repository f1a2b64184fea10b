#include "control/warm_up.h"

#include "control/health_and_load.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    using Minutes = std::chrono::duration<double, std::ratio<60>>;

    // Longest time that one step covers. After a pause of the process, a step must not make up for the whole pause.
    constexpr core::Duration maxStep = std::chrono::seconds(2);

    // The growth that the warm-ups of one service's new servers request, in slots.
    struct Growth {
        double usedSlots = 0; // slots that the service uses now
        double requestedSlots = 0; // additional slots by the servers' individual warm-ups
    };

    bool acceptsRequests(const BackendServer& server)
    {
        return server.state == core::ServerState::Active || server.state == core::ServerState::Warming;
    }

    // Whether the callers of the server's region need more slots than its servers have without the headroom.
    bool isNeeded(const Context& context, const BackendServer& server, double slotsNow)
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
    const Minutes step = std::min<core::Duration>(now - this->changedAt, maxStep);
    this->changedAt = now;
    std::map<std::string, double> current;
    std::map<std::string, Growth> growth;
    std::map<std::pair<std::string, core::RegionIndex>, double> slotsNow;
    for (const BackendServer& server : context.servers) {
        if (!acceptsRequests(server))
            continue;
        const auto found = this->warmths.find(server.listing.name);
        const bool isBounded = found != this->warmths.end() || server.isSlowStarting;
        const double lastWarmth = found == this->warmths.end() ? 0 : std::min(found->second, server.warmth);
        if (isBounded)
            current.emplace(server.listing.name, lastWarmth);
        const double serverSlots = server.listing.slots * (isBounded ? lastWarmth : server.warmth);
        Growth& sum = growth[server.listing.service];
        sum.usedSlots += serverSlots;
        sum.requestedSlots += server.listing.slots * server.warmth - serverSlots;
        slotsNow[{ server.listing.service, server.region }] += serverSlots;
    }
    for (BackendServer& server : context.servers) {
        const auto found = current.find(server.listing.name);
        if (found == current.end())
            continue;
        const Growth& sum = growth[server.listing.service];
        const double maxNewSlots = maxWarmUpShareOfCap * shiftCapOf(context.declarations(), server.listing.service) * step.count() * sum.usedSlots;
        const double stepShare = sum.requestedSlots > maxNewSlots ? maxNewSlots / sum.requestedSlots : 1;
        if (!isNeeded(context, server, slotsNow[{ server.listing.service, server.region }]))
            found->second += (server.warmth - found->second) * stepShare;
        else
            found->second = server.warmth;
        server.warmth = found->second;
        if (server.warmth < 1) {
            context.warmingServices.insert(server.listing.service);
            server.state = core::ServerState::Warming;
        } else
            current.erase(found);
    }
    this->warmths = std::move(current);
    computeServiceLoads(context);
    return Step::pass(std::move(context));
}

}
