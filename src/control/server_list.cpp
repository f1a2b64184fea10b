#include "control/server_list.h"

#include "core/server_key.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    // How long the mark of a leaving server is kept after its last mention. An entry that expired while the store was
    // unavailable can be listed again later.
    constexpr core::Duration leavingMarkRetention = std::chrono::minutes(10);

    const core::ServiceDeclaration* findService(const core::Declarations& declarations, const std::string& name)
    {
        const auto found = std::ranges::find(declarations.services, name, &core::ServiceDeclaration::name);
        return found == declarations.services.end() ? nullptr : &*found;
    }

    std::optional<std::uint32_t> findDomainIndex(const core::Declarations& declarations, const std::string& name)
    {
        const auto found = std::ranges::find(declarations.domains, name, &core::DomainDeclaration::name);
        if (found == declarations.domains.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(found - declarations.domains.begin());
    }

    core::RegionIndex regionOf(const core::Declarations& declarations, core::DomainIndex domain)
    {
        const auto found = std::ranges::find(declarations.regions, declarations.domains[domain.value].region, &core::RegionDeclaration::name);
        return core::RegionIndex { static_cast<std::uint32_t>(found - declarations.regions.begin()) };
    }

}

Step ApplyServerList::operator()(ControlInputs inputs, core::TimePoint now)
{
    this->acceptDeclarations(inputs);
    if (!inputs.declarations)
        return Step::end(SkipReason::NoDeclarations);
    this->trackEvacuations(inputs, now);
    this->trackLeavingServers(inputs, now);
    Context context { .inputs = std::move(inputs) };
    const std::optional<std::uint32_t> self = findDomainIndex(context.declarations(), context.inputs.selfDomain);
    if (!self)
        return Step::end(SkipReason::UnknownDomain);
    context.selfDomain = core::DomainIndex { *self };
    context.selfRegion = regionOf(context.declarations(), context.selfDomain);
    for (const core::ServerListing& listing : context.inputs.serverList.servers) {
        const std::optional<std::uint32_t> domain = findDomainIndex(context.declarations(), listing.domain);
        if (domain)
            context.servers.push_back(this->serverOf(context, listing, core::DomainIndex { *domain }, now));
        else
            context.warnings.push_back("backend server " + listing.name + " is in the undeclared failure domain " + listing.domain);
    }
    std::ranges::sort(context.servers, {}, [](const BackendServer& server) { return server.listing.name; });
    return Step::pass(std::move(context));
}

// Ignores a configuration of a lower revision: it comes from a late message.
void ApplyServerList::acceptDeclarations(ControlInputs& inputs)
{
    if (inputs.declarations && (!this->declarations || inputs.declarations->revision >= this->declarations->revision))
        this->declarations = inputs.declarations;
    inputs.declarations = this->declarations;
}

void ApplyServerList::trackEvacuations(const ControlInputs& inputs, core::TimePoint now)
{
    for (const std::string& domain : this->evacuated) {
        if (!inputs.evacuated.contains(domain))
            this->returnedAt[domain] = now;
    }
    this->evacuated = inputs.evacuated;
}

void ApplyServerList::trackLeavingServers(const ControlInputs& inputs, core::TimePoint now)
{
    for (const AttemptReport& attempt : inputs.attempts) {
        if (attempt.leaving)
            this->leavingServers[attempt.serverKey] = now;
    }
    if (this->leavingServers.empty())
        return;
    for (const core::ServerListing& listing : inputs.serverList.servers) {
        if (const auto found = this->leavingServers.find(core::serverKey(listing)); found != this->leavingServers.end())
            found->second = now;
    }
    std::erase_if(this->leavingServers, [&](const auto& mark) { return now - mark.second > leavingMarkRetention; });
}

// The servers of a failure domain whose evacuation is revoked can have restarted while they got no requests, so they
// count as cold for their service's cold start time from then on.
BackendServer ApplyServerList::serverOf(const Context& context, const core::ServerListing& listing, core::DomainIndex domain, core::TimePoint now) const
{
    BackendServer server { .listing = listing, .region = regionOf(context.declarations(), domain), .domain = domain };
    if (listing.leaving || this->evacuated.contains(listing.domain) || this->leavingServers.contains(core::serverKey(listing))) {
        server.state = core::ServerState::Leaving;
        server.warmth = 0;
    }
    const core::ServiceDeclaration* service = findService(context.declarations(), listing.service);
    const auto returned = this->returnedAt.find(listing.domain);
    if (service && returned != this->returnedAt.end()) {
        const core::TimePoint warmAt = returned->second + service->coldDuration;
        if (warmAt > now)
            server.listing.coldUntil = std::max(listing.coldUntil.value_or(warmAt), warmAt);
    }
    return server;
}

Step AllowRegions::operator()(Context context, core::TimePoint) const
{
    const core::Declarations& declarations = context.declarations();
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        const auto target = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        std::vector<double> maxShares;
        for (const core::RegionDeclaration& region : declarations.regions) {
            const bool allowed = target == declarations.targets.end() || target->allowedRegions.empty()
                || std::ranges::find(target->allowedRegions, region.name) != target->allowedRegions.end();
            maxShares.push_back(allowed ? 1 : 0);
        }
        context.maxShares.push_back(std::move(maxShares));
        context.regionShares.emplace_back();
        context.maxInFlightByRegion.emplace_back();
    }
    return Step::pass(std::move(context));
}

}
