#pragma once

#include "core/declarations.h"
#include "core/names.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::admin {

enum class OutputFormat : std::uint8_t { Text,
    Json };

// What an operator's command works on. Each command reads only the fields that it names.
struct Options {
    std::vector<std::string> paths; // check, diff, apply: files and directories of declarations
    std::string storeAddress; // "IP:port" of the object API; all but check
    std::vector<std::string> memberAddresses; // apply, wait: "IP:port" of members' admin addresses
    OutputFormat output = OutputFormat::Text;
    core::WallTime now {}; // contract ends are compared with it
    core::Duration storeTimeout = std::chrono::seconds(10); // of each call to the store, with all its attempts
    core::Duration waitTimeout = std::chrono::seconds(30); // wait: for all members together
    std::optional<std::uint64_t> revision; // wait: instead of the highest one in the store
    std::string kind; // get: only this kind
    std::string name; // get: only this object
    std::string writer; // written into objects; empty: made up from random bits
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::admin::OutputFormat> {
    static constexpr std::array<std::string_view, 2> values = { "text", "json" };
};
