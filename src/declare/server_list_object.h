#pragma once

#include "core/declarations.h"
#include "core/object.h"

#include <optional>

namespace cranberryshed::declare {

// Converts the platform's list of VMs into an object, ordered by the list's version. Members pass this object on, so
// entry VMs that do not fetch the list from the platform receive it from others.
core::Object serverListObject(const core::ServerList&);

// The inverse of serverListObject. Returns nothing if the object is deleted or is not a valid list of VMs.
std::optional<core::ServerList> serverListFromObject(const core::Object&, core::TimePoint receivedAt);

}
