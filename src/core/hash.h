#pragma once

#include <cstdint>
#include <string_view>

namespace cranberryshed::core {

// Returns the 64-bit XXH3 hash, which is the same on every machine and in every version of the program.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes into one. The result depends on their order.
std::uint64_t hashCombine(std::uint64_t first, std::uint64_t second);

}
