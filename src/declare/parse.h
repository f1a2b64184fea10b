#pragma once

#include "core/declarations.h"
#include "core/object.h"
#include "declare/schema.h"

#include <span>
#include <string_view>

namespace cranberryshed::declare {

// Turns objects of the store into typed declarations. Deleted objects, status, leases and unknown kinds are left
// out. An object whose content breaks its schema is left out and its faults are added to `problems` if given, so
// that one bad object does not stop the others. Unknown keys are ignored. Never throws for bad content.
core::Declarations parseDeclarations(std::span<const core::Object> objects, std::vector<Problem>* problems = nullptr);

// Reads the platform's list of VMs: {"version":N,"vms":[{"name",…}]}. Rows that break the schema are left out.
// Throws core::Error (BadMessage) if the text is not such a list.
core::ServerList parseServerList(std::string_view text, core::TimePoint receivedAt);

}
