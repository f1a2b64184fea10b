#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>

namespace cranberryshed::declare {

// The kinds of objects in the platform's store. Operators write the first seven; the system writes Status and Lease.
// Vm is a row of the platform's list of VMs: it has a schema, but is not an object of the store.
enum class Kind : std::uint8_t {
    Region,
    Domain,
    Class,
    Target,
    Batch,
    Site,
    Blocks,
    Vm,
    Status,
    Lease,
};

// The number of kinds that operators write. They are the first enumerators of Kind.
constexpr std::size_t operatorKindCount = 7;

// The names of these kinds, separated by commas, for error texts.
std::string operatorKindNames();

}

template <>
struct cranberryshed::core::Names<cranberryshed::declare::Kind> {
    static constexpr std::array<std::string_view, 10> values = { "region", "domain", "class", "target", "batch", "site", "blocks", "vm", "status", "lease" };
};
