#pragma once

#include "core/declarations.h"
#include "core/hash.h"

namespace cranberryshed::core {

// Identifies one run of a backend server: a server that starts again under the same name has another key.
inline std::uint64_t serverKey(const ServerListing& listing)
{
    return hashBytes(listing.name, listing.startedAtMs);
}

}
