#pragma once

#include "core/declarations.h"
#include "core/object.h"

#include <optional>

namespace cranberryshed::declare {

// The platform's list of VMs as an object, so that entry VMs that do not ask the platform themselves get it
// from the others. It is ordered by the list's version.
core::Object serverListObject(const core::ServerList&);

// The inverse of serverListObject; nothing if the object is not such a list.
std::optional<core::ServerList> serverListFromObject(const core::Object&, core::TimePoint receivedAt);

}
