#pragma once

#include "core/enums.h"

#include <spdlog/spdlog.h>

namespace cranberryshed::wire {

// Writes a log line that is prefixed with the name of the component.
template <typename... Arguments>
void log(core::LogComponent component, spdlog::level::level_enum level, fmt::format_string<Arguments...> format, Arguments&&... arguments)
{
    if (spdlog::should_log(level))
        spdlog::log(level, "[{}] {}", core::nameOf(component), fmt::format(format, std::forward<Arguments>(arguments)...));
}

}
