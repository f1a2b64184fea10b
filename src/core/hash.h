#pragma once

#include <cstdint>
#include <string_view>

namespace cranberryshed::core {

// A 64-bit hash (XXH3) that is the same on every machine and in every version of the program.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes into one. The order matters.
std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second);

}
