#pragma once

#include "core/types.h"

namespace cranberryshed::wire {

// Functions that read the clocks. Decision code gets the current time as an argument and must not call them.

inline core::TimePoint steadyNow()
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

inline core::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}
