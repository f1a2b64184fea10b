#pragma once

#include "core/names.h"

#include <cstdint>

namespace cranberryshed::fleet {

// The kind of a gossip item. Its name is the kind of the object that carries the item.
enum class ItemKind : std::uint8_t {
    Quarantine, // a fingerprint that no backend server may run
    Suspect, // a fingerprint that was in flight when a backend server broke
    Ejection, // a backend server that gets no requests for a limited time
    Leaving, // a backend server that at least one entry VM saw leaving
    Crash, // how many backend servers a fingerprint has crashed one after another
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::fleet::ItemKind> {
    static constexpr std::array<std::string_view, 5> values = { "item.quarantine", "item.suspect", "item.ejection", "item.leaving", "item.crash" };
};
