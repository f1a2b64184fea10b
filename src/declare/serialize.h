#pragma once

#include "core/declarations.h"
#include "core/object.h"

#include <span>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// Converts typed declarations into objects, the reverse of parseDeclarations. Each object has the declarations'
// revision. The caller blocks of a site are split into as many objects as needed to stay below the store's size limit.
std::vector<core::Object> declarationObjects(const core::Declarations& declarations);

// Serializes the platform's list of VMs as JSON, in the form that parseServerList reads.
std::string serializeServerList(std::span<const core::ServerListing> servers, std::uint64_t version);

}
