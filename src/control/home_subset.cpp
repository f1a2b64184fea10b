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

    // Assigns each index of the longer side to an index of the shorter side, best scores first. The numbers assigned
    // to the indexes of the shorter side differ by at most one.
    std::vector<std::uint32_t> assignBalanced(std::vector<Pair> pairs, std::size_t manyCount, std::size_t fewCount)
    {
        std::ranges::sort(pairs, [](const Pair& a, const Pair& b) { return std::tie(b.score, a.many, a.few) < std::tie(a.score, b.many, b.few); });
        const std::size_t minSize = manyCount / fewCount;
        std::size_t largerSubsets = manyCount % fewCount; // how many subsets can still get one more than minSize
        std::vector<std::uint32_t> assignedTo(manyCount, UINT32_MAX);
        std::vector<std::size_t> size(fewCount, 0);
        for (const Pair& pair : pairs) {
            if (assignedTo[pair.many] != UINT32_MAX || size[pair.few] > minSize || (size[pair.few] == minSize && largerSubsets == 0))
                continue;
            if (size[pair.few] == minSize)
                --largerSubsets;
            assignedTo[pair.many] = pair.few;
            ++size[pair.few];
        }
        return assignedTo;
    }

}

std::vector<std::vector<std::size_t>> assignHomeSubsets(std::span<const std::uint64_t> serverKeys, std::span<const std::uint64_t> memberKeys)
{
    std::vector<std::vector<std::size_t>> subsets(memberKeys.size());
    if (serverKeys.empty() || memberKeys.empty())
        return subsets;
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
    const std::vector<std::uint32_t> assignedTo = assignBalanced(std::move(pairs), manyCount, std::min(serverKeys.size(), memberKeys.size()));
    for (std::uint32_t i = 0; i < assignedTo.size(); ++i) {
        if (moreServers)
            subsets[assignedTo[i]].push_back(i);
        else
            subsets[i].push_back(assignedTo[i]);
    }
    return subsets;
}

const ChooseHomeSubset::Assignment& ChooseHomeSubset::assignmentOf(const std::string& service, std::vector<std::uint64_t> serverKeys, const std::vector<std::uint64_t>& memberKeys)
{
    Assignment& assignment = this->assignments[service];
    if (assignment.serverKeys != serverKeys || assignment.memberKeys != memberKeys) {
        std::vector<std::vector<std::size_t>> subsets = assignHomeSubsets(serverKeys, memberKeys);
        assignment = { .serverKeys = std::move(serverKeys), .memberKeys = memberKeys, .subsets = std::move(subsets) };
    }
    return assignment;
}

Step ChooseHomeSubset::operator()(Context context, core::TimePoint)
{
    std::vector<std::uint64_t> memberKeys;
    std::optional<std::size_t> self;
    for (const MemberInfo& member : context.inputs.members) {
        const bool isServing = member.state == core::MemberState::Alive || member.state == core::MemberState::Suspect;
        if (member.name == context.inputs.self)
            self = memberKeys.size();
        else if (!isServing || !context.isInSelfRegion(member.domain))
            continue;
        memberKeys.push_back(core::hashBytes(member.name));
    }
    if (!self)
        return Step::pass(std::move(context));

    // Ejected servers keep their assignment: ejections differ between entry VMs, but the subsets must not.
    std::map<std::string, std::vector<std::size_t>> services;
    for (std::size_t i = 0; i < context.servers.size(); ++i) {
        const BackendServer& server = context.servers[i];
        if (server.region == context.selfRegion && server.state != core::ServerState::Leaving && server.state != core::ServerState::Gone)
            services[server.listing.service].push_back(i);
    }
    std::erase_if(this->assignments, [&](const auto& assignment) { return !services.contains(assignment.first); });
    for (const auto& [service, indexes] : services) {
        std::vector<std::uint64_t> serverKeys;
        for (const std::size_t index : indexes)
            serverKeys.push_back(core::hashBytes(context.servers[index].listing.name));
        for (const std::size_t position : this->assignmentOf(service, std::move(serverKeys), memberKeys).subsets[*self])
            context.servers[indexes[position]].isHome = true;
    }
    return Step::pass(std::move(context));
}

}
