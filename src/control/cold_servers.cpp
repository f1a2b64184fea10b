#include "control/cold_servers.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    bool hasSettledView(const ControlInputs& inputs, core::TimePoint now)
    {
        const bool isAlone = inputs.registeredMembers == 1 && inputs.members.size() == 1;
        return inputs.fleetKnownSince && (isAlone || now - *inputs.fleetKnownSince >= AssignColdServers::settleTime);
    }

    // Whether no candidate has a higher score for the server than `self`.
    bool isAssignedTo(std::uint64_t self, std::uint64_t serverKey, const std::vector<std::uint64_t>& candidates)
    {
        const std::uint64_t ownScore = core::hashCombine(serverKey, self);
        return std::ranges::none_of(candidates, [&](std::uint64_t candidate) { return core::hashCombine(serverKey, candidate) > ownScore; });
    }

}

void AssignColdServers::trackDeadMembers(const ControlInputs& inputs, core::TimePoint now)
{
    std::map<std::string, core::TimePoint> stillDead;
    for (const MemberInfo& member : inputs.members) {
        if (member.state != core::MemberState::Dead)
            continue;
        const auto known = this->deadSince.find(member.name);
        stillDead.emplace(member.name, known == this->deadSince.end() ? now : known->second);
    }
    this->deadSince = std::move(stillDead);
}

bool AssignColdServers::canHaveServers(const Context& context, const MemberInfo& member, core::TimePoint now) const
{
    if (member.state == core::MemberState::Leaving || member.state == core::MemberState::Left)
        return false;
    const auto dead = this->deadSince.find(member.name);
    const bool isLost = dead != this->deadSince.end() && now - dead->second > deadAssignmentTime;
    return !isLost && context.isInSelfRegion(member.domain);
}

// The hashes of the names of the members to which servers can be assigned.
std::vector<std::uint64_t> AssignColdServers::candidateKeys(const Context& context, core::TimePoint now) const
{
    std::vector<std::uint64_t> keys;
    for (const MemberInfo& member : context.inputs.members) {
        if (this->canHaveServers(context, member, now))
            keys.push_back(core::hashBytes(member.name));
    }
    return keys;
}

Step AssignColdServers::operator()(Context context, core::TimePoint now)
{
    this->trackDeadMembers(context.inputs, now);
    if (context.inputs.leaving || !hasSettledView(context.inputs, now))
        return Step::pass(std::move(context));
    const std::vector<std::uint64_t> candidates = this->candidateKeys(context, now);
    const std::uint64_t self = core::hashBytes(context.inputs.self);
    for (BackendServer& server : context.servers) {
        const bool isCold = server.listing.coldUntil && now < *server.listing.coldUntil;
        if (isCold && server.region == context.selfRegion)
            server.isUsableCold = isAssignedTo(self, core::hashBytes(server.listing.name), candidates);
    }
    return Step::pass(std::move(context));
}

}
