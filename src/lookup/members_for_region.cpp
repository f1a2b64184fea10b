#include "lookup/members_for_region.h"

namespace cranberryshed::lookup {

namespace {

    template <typename Predicate>
    std::vector<core::MemberIndex> membersThat(const core::SteeringTable& table, Predicate predicate)
    {
        std::vector<core::MemberIndex> found;
        for (std::uint32_t i = 0; i < table.members.size(); ++i) {
            if (predicate(table.members[i]))
                found.push_back(core::MemberIndex { i });
        }
        return found;
    }

}

std::vector<core::MemberIndex> membersForRegion(const core::SteeringTable& table, std::string_view region)
{
    const auto inRegion = [&](const core::MemberEntry& member) { return table.at(member.region).name == region; };
    for (const core::MemberState state : { core::MemberState::Alive, core::MemberState::Suspect }) {
        std::vector<core::MemberIndex> near = membersThat(table, [&](const core::MemberEntry& member) { return member.state == state && inRegion(member); });
        if (!near.empty())
            return near;
    }
    return membersThat(table, [](const core::MemberEntry& member) { return member.state == core::MemberState::Alive; });
}

}
