#pragma once

#include "fleet/messages.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryshed::fleet {

// The roles for which members of a failure domain are selected by rendezvous hashing.
enum class Role : std::uint8_t { WatchStore,
    AggregateLoads };

// A failure domain with fewer members has fewer members per role.
constexpr std::size_t maxMembersPerRole = 2;

// The members of a failure domain that have the role, in order of preference. Members with the same view of the fleet
// select the same ones, and a member that joins or leaves moves only its own roles. Dead, left and leaving members are
// not selected. Suspects can be selected; if one is dead, the second member covers the role.
std::vector<MemberId> membersWithRole(const std::vector<const MemberRecord*>& members, std::string_view domain, Role);

// The position of a member in the order in which the alive members of the whole fleet take on a topic: 0 if it is the
// first. Members that see the same members agree on the order. Suspects have no position, so that the next one takes
// over at once if the first fails.
std::size_t rankFor(std::string_view topic, const std::vector<MemberRecord>& members, MemberId);

std::vector<MemberId> storeWatchers(const std::vector<const MemberRecord*>& members, std::string_view domain);

}
