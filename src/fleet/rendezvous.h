#pragma once

#include "fleet/messages.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryshed::fleet {

// What members are picked for by rendezvous hashing.
enum class Role : std::uint8_t { WatchStore,
    AggregateLoads };

// How many members of a failure domain share each duty.
constexpr std::size_t membersPerRole = 2;

// The members of a failure domain that have the duty, first choice first. Members with the same view pick the
// same ones, and a member that comes or goes moves only its own duties. Members that are dead, left or
// leaving are not picked; a suspect is, because another one has the same duty.
std::vector<MemberId> membersWithRole(const std::vector<const MemberRecord*>& members, std::string_view domain, Role);

// The members of a failure domain that watch the store.
std::vector<MemberId> storeWatchers(const std::vector<const MemberRecord*>& members, std::string_view domain);

}
