#pragma once

#include "core/declarations.h"
#include "core/object.h"
#include "declare/schema.h"

#include <span>
#include <string_view>

namespace cranberryshed::declare {

// Converts objects of the store into typed declarations. Skips deleted objects, status objects, leases and unknown
// kinds. Also skips an object whose content violates its schema, because one bad object must not make the others
// unusable; its problems are appended to `problems`, if given. Ignores unknown keys. Does not throw because of bad
// content.
core::Declarations parseDeclarations(std::span<const core::Object> objects, std::vector<Problem>* problems = nullptr);

// Parses the platform's list of VMs: {"version":N,"vms":[{"name",…}]}. Skips rows that violate the schema. Throws
// core::Error (BadMessage) if the text is not such a list.
core::ServerList parseServerList(std::string_view text, core::TimePoint receivedAt);

}
