#pragma once

#include "core/types.h"

namespace cranberryshed::wire {

// Reads the clocks. Decisions get the present time as an argument and never call these.

inline core::TimePoint steadyNow()
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

inline core::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}
