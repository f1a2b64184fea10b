#include "core/hash.h"

#include <array>

// Compiles xxHash into this file, so that the program does not need its shared library.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cranberryshed::core {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> pair = { first, second };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

}
