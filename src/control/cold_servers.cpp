#include "control/cold_servers.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    bool isInRegion(const Context& context, const std::string& domain, core::RegionIndex region)
    {
        const std::vector<core::DomainDeclaration>& domains = context.declarations().domains;
        const auto found = std::ranges::find(domains, domain, &core::DomainDeclaration::name);
        return found != domains.end() && found->region == context.declarations().regions[region.value].name;
    }

    // Whether `self` has the highest score for the server among the members.
    bool isAssignedTo(std::uint64_t self, std::uint64_t serverKey, const std::vector<std::uint64_t>& members)
    {
        const auto score = [&](std::uint64_t member) { return core::hashCombine(serverKey, member); };
        return std::ranges::none_of(members, [&](std::uint64_t member) { return score(member) > score(self); });
    }

}

std::vector<std::uint64_t> AssignColdServers::eligibleMembers(const Context& context, core::TimePoint now)
{
    std::vector<std::uint64_t> eligible;
    for (const MemberInfo& member : context.inputs.members) {
        if (member.state != core::MemberState::Dead)
            this->deadSince.erase(member.name);
        const bool isForgotten = member.state == core::MemberState::Dead && now - this->deadSince.try_emplace(member.name, now).first->second > deadRetention;
        const bool hasAnnouncedEnd = member.state == core::MemberState::Leaving || member.state == core::MemberState::Left;
        if (!isForgotten && !hasAnnouncedEnd && isInRegion(context, member.domain, context.selfRegion))
            eligible.push_back(core::hashBytes(member.name));
    }
    return eligible;
}

Step AssignColdServers::operator()(Context context, core::TimePoint now)
{
    const std::vector<std::uint64_t> members = this->eligibleMembers(context, now);
    const ControlInputs& inputs = context.inputs;
    const bool isAlone = inputs.registeredMembers == 1 && inputs.members.size() == 1;
    const bool isSettled = inputs.fleetKnownSince && (isAlone || now - *inputs.fleetKnownSince >= settleTime);
    if (inputs.leaving || !isSettled)
        return Step::pass(std::move(context));
    const std::uint64_t self = core::hashBytes(inputs.self);
    for (BackendServer& server : context.servers) {
        const bool isCold = server.listing.coldUntil && now < *server.listing.coldUntil;
        if (isCold && server.region == context.selfRegion)
            server.isUsableCold = isAssignedTo(self, core::hashBytes(server.listing.name), members);
    }
    return Step::pass(std::move(context));
}

}
