#pragma once

#include <cstdlib>
#include <string>
#include <vector>

namespace cranberryshed::test {

// The seeds of CRANBERRYSHED_SEEDS, such as "1-50", or else the given ones.
inline std::vector<unsigned> seedsOr(std::vector<unsigned> usual)
{
    const char* text = std::getenv("CRANBERRYSHED_SEEDS");
    if (!text)
        return usual;
    const std::string range(text);
    const std::size_t dash = range.find('-');
    std::vector<unsigned> seeds;
    for (unsigned long seed = std::stoul(range); seed <= std::stoul(range.substr(dash == std::string::npos ? 0 : dash + 1)); ++seed)
        seeds.push_back(static_cast<unsigned>(seed));
    return seeds;
}

}
