#include "control/merge.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    template <typename Declaration>
    std::optional<std::uint32_t> positionOf(const std::vector<Declaration>& all, const std::string& name)
    {
        const auto found = std::ranges::find(all, name, &Declaration::name);
        if (found == all.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(found - all.begin());
    }

    // The indexes of a domain and its region, or nothing if one of them is not declared.
    std::optional<std::pair<core::DomainIndex, core::RegionIndex>> locate(const core::Declarations& declarations, const std::string& domainName)
    {
        const auto domain = positionOf(declarations.domains, domainName);
        if (!domain)
            return std::nullopt;
        const auto region = positionOf(declarations.regions, declarations.domains[*domain].region);
        if (!region)
            return std::nullopt;
        return std::pair { core::DomainIndex { *domain }, core::RegionIndex { *region } };
    }

}

Step Merge::operator()(Sources sources, core::TimePoint)
{
    if (!sources.declarations)
        return Step::end(Halt::NoDeclarations);
    Context context { .sources = std::move(sources) };
    const auto self = locate(context.declarations(), context.sources.selfDomain);
    if (!self)
        return Step::end(Halt::UnknownDomain);
    std::tie(context.selfDomain, context.selfRegion) = *self;
    for (const core::ServerListing& listing : context.sources.list.servers) {
        const auto place = locate(context.declarations(), listing.domain);
        if (!place) {
            context.warnings.push_back("backend server " + listing.name + " is in undeclared failure domain " + listing.domain);
            continue;
        }
        context.servers.push_back({ .listing = listing, .region = place->second, .domain = place->first, .state = listing.leaving ? core::ServerState::Leaving : core::ServerState::Active });
    }
    std::ranges::sort(context.servers, {}, [](const Server& server) -> const std::string& { return server.listing.name; });
    return Step::pass(std::move(context));
}

}
