#include "control/home_subset.h"

#include "core/hash.h"

#include <algorithm>
#include <map>

namespace cranberryshed::control {

namespace {

    struct Pair {
        std::uint64_t score;
        std::uint32_t many; // index on the longer side
        std::uint32_t few; // index on the shorter side
    };

    // Gives each index of the longer side to one of the shorter side, best scores first, sizes within one.
    std::vector<std::uint32_t> assignBalanced(std::vector<Pair> pairs, std::size_t manyCount, std::size_t fewCount)
    {
        std::ranges::sort(pairs, [](const Pair& a, const Pair& b) { return std::tie(b.score, a.many, a.few) < std::tie(a.score, b.many, b.few); });
        const std::size_t base = manyCount / fewCount;
        std::size_t larger = manyCount % fewCount; // parts that may have one more than the base
        std::vector<std::uint32_t> owner(manyCount, UINT32_MAX);
        std::vector<std::size_t> size(fewCount, 0);
        for (const Pair& pair : pairs) {
            if (owner[pair.many] != UINT32_MAX || size[pair.few] > base || (size[pair.few] == base && larger == 0))
                continue;
            if (size[pair.few] == base)
                --larger;
            owner[pair.many] = pair.few;
            ++size[pair.few];
        }
        return owner;
    }

}

std::vector<std::vector<std::size_t>> assignHomeSubsets(std::span<const std::uint64_t> serverKeys, std::span<const std::uint64_t> memberKeys)
{
    std::vector<std::vector<std::size_t>> parts(memberKeys.size());
    if (serverKeys.empty() || memberKeys.empty())
        return parts;
    const bool moreServers = serverKeys.size() >= memberKeys.size();
    std::vector<Pair> pairs;
    pairs.reserve(serverKeys.size() * memberKeys.size());
    for (std::uint32_t server = 0; server < serverKeys.size(); ++server) {
        for (std::uint32_t member = 0; member < memberKeys.size(); ++member) {
            const std::uint64_t score = core::hashCombine(serverKeys[server], memberKeys[member]);
            pairs.push_back({ .score = score, .many = moreServers ? server : member, .few = moreServers ? member : server });
        }
    }
    const std::size_t manyCount = std::max(serverKeys.size(), memberKeys.size());
    const std::vector<std::uint32_t> owner = assignBalanced(std::move(pairs), manyCount, std::min(serverKeys.size(), memberKeys.size()));
    for (std::uint32_t i = 0; i < owner.size(); ++i) {
        if (moreServers)
            parts[owner[i]].push_back(i);
        else
            parts[i].push_back(owner[i]);
    }
    return parts;
}

Step ChooseHomeSubset::operator()(Context context, core::TimePoint) const
{
    std::vector<std::uint64_t> memberKeys;
    std::optional<std::size_t> self;
    for (const MemberInfo& member : context.inputs.members) {
        const bool serving = member.state == core::MemberState::Alive || member.state == core::MemberState::Suspect;
        const auto domain = std::ranges::find(context.declarations().domains, member.domain, &core::DomainDeclaration::name);
        const bool near = domain != context.declarations().domains.end() && domain->region == context.declarations().regions[context.selfRegion.value].name;
        if (member.name == context.inputs.self)
            self = memberKeys.size();
        else if (!serving || !near)
            continue;
        memberKeys.push_back(core::hashBytes(member.name));
    }
    if (!self)
        return Step::pass(std::move(context));

    // Ejected servers stay in the division: ejections differ between entry VMs, the division must not.
    std::map<std::string, std::vector<std::size_t>> services;
    for (std::size_t i = 0; i < context.servers.size(); ++i) {
        const BackendServer& server = context.servers[i];
        if (server.region == context.selfRegion && server.state != core::ServerState::Leaving && server.state != core::ServerState::Gone)
            services[server.listing.service].push_back(i);
    }
    for (const auto& [service, indexes] : services) {
        std::vector<std::uint64_t> serverKeys;
        for (const std::size_t index : indexes)
            serverKeys.push_back(core::hashBytes(context.servers[index].listing.name));
        const std::vector<std::vector<std::size_t>> parts = assignHomeSubsets(serverKeys, memberKeys);
        for (const std::size_t position : parts[*self])
            context.servers[indexes[position]].isHome = true;
    }
    return Step::pass(std::move(context));
}

}
