#pragma once

#include "app/entry_vm.h"
#include "declare/schema.h"

#include <string>
#include <vector>

namespace cranberryshed::app {

enum class LogFormat : std::uint8_t { Text,
    Json };
enum class LogLevel : std::uint8_t { Debug,
    Info,
    Warning,
    Error };

// Contents of the settings file of `serve`.
struct Settings {
    EntryVmOptions vm;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
};

// Parses settings: JSON with comments. Adds every fault to `problems`; the result is only valid if there are none.
Settings parseSettings(std::string_view text, std::vector<declare::Problem>& problems);

// Parses a settings file. A file that can't be read is a problem too.
Settings readSettings(const std::string& path, std::vector<declare::Problem>& problems);

// Whether a text contains settings rather than declarations: a JSON object without the key "kind".
bool looksLikeSettings(std::string_view text);

// Sets spdlog's level and line format for the process.
void startLogging(LogLevel, LogFormat);

}

template <>
struct cranberryshed::core::Names<cranberryshed::app::LogFormat> {
    static constexpr std::array<std::string_view, 2> values = { "text", "json" };
};

template <>
struct cranberryshed::core::Names<cranberryshed::app::LogLevel> {
    static constexpr std::array<std::string_view, 4> values = { "debug", "info", "warning", "error" };
};
