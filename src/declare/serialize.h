#pragma once

#include "core/declarations.h"
#include "core/object.h"

#include <span>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// Turns typed declarations into objects, the reverse of load. Each object has the declarations' revision.
// Caller blocks become one object per site and part, each below the store's size limit.
std::vector<core::Object> declarationObjects(const core::Declarations& declarations);

// The text of the platform's list of VMs, which parseServerList reads.
std::string serializeServerList(std::span<const core::ServerListing> servers, std::uint64_t version);

}
