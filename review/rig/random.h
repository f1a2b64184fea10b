#pragma once

#include <random>

namespace rig {

// Returns true with this probability.
inline bool draw(double probability)
{
    thread_local std::mt19937 random(std::random_device {}());
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

}
