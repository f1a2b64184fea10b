#pragma once

#include "core/declarations.h"
#include "core/names.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::admin {

enum class OutputFormat : std::uint8_t { Text,
    Json };

// Options of the operators' commands. Comments name the commands that read a field; fields without such a comment apply
// to all commands.
struct Options {
    std::vector<std::string> paths; // check, diff, apply: files and directories of declarations
    std::string storeAddress; // all but check: "IP:port" of the platform's object API
    std::vector<std::string> memberAddresses; // diff, apply, wait: "IP:port" of members' admin addresses
    OutputFormat output = OutputFormat::Text;
    core::WallTime now {}; // current time, compared with contract ends and the age of a status
    core::Duration storeTimeout = std::chrono::seconds(10); // for each call to the store, including its retries
    core::Duration waitTimeout = std::chrono::seconds(30); // wait: total time for all members
    std::optional<std::uint64_t> revision; // wait: revision to wait for; if not set, the highest in the store
    std::string kind; // get: only this kind
    std::string name; // get: only this object
    std::string writer; // apply: id stored with each written object; empty: a random id
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::admin::OutputFormat> {
    static constexpr std::array<std::string_view, 2> values = { "text", "json" };
};
