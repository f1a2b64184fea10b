#pragma once

#include "core/enums.h"

#include <spdlog/spdlog.h>

namespace cranberryshed::wire {

// Logs one short sentence behind the part's fixed prefix.
template <typename... Arguments>
void log(core::LogComponent part, spdlog::level::level_enum level, fmt::format_string<Arguments...> format, Arguments&&... arguments)
{
    if (spdlog::should_log(level))
        spdlog::log(level, "[{}] {}", core::nameOf(part), fmt::format(format, std::forward<Arguments>(arguments)...));
}

}
