#include "fleet/rendezvous.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::fleet {

namespace {

    bool canHaveRole(core::MemberState state)
    {
        return state == core::MemberState::Alive || state == core::MemberState::Suspect;
    }

}

std::vector<MemberId> membersWithRole(const std::vector<const MemberRecord*>& members, std::string_view domain, Role role)
{
    const std::uint64_t salt = core::hashBytes(domain, static_cast<std::uint64_t>(role) + 1);
    std::vector<std::pair<std::uint64_t, MemberId>> ranked;
    for (const MemberRecord* member : members) {
        if (member->domain == domain && canHaveRole(member->fact.state))
            ranked.emplace_back(core::hashCombine(static_cast<std::uint64_t>(member->fact.id), salt), member->fact.id);
    }
    const auto count = std::min(maxMembersPerRole, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<> {});
    std::vector<MemberId> picked;
    for (std::size_t i = 0; i < count; ++i)
        picked.push_back(ranked[i].second);
    return picked;
}

std::size_t rankFor(std::string_view topic, const std::vector<MemberRecord>& members, MemberId member)
{
    const std::uint64_t salt = core::hashBytes(topic);
    const auto score = [salt](MemberId id) { return core::hashCombine(static_cast<std::uint64_t>(id), salt); };
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const MemberRecord& other) {
        return other.fact.state == core::MemberState::Alive && other.fact.id != member && score(other.fact.id) > score(member);
    }));
}

std::vector<MemberId> storeWatchers(const std::vector<const MemberRecord*>& members, std::string_view domain)
{
    return membersWithRole(members, domain, Role::WatchStore);
}

}
