#pragma once

#include "declare/kinds.h"

#include <boost/json/fwd.hpp>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// One error in a declaration or a settings file.
struct Problem {
    std::string path; // object and key, such as "region/jyl links[0].delayMs", or file and line
    std::string text; // what is wrong or what is allowed
};

// How keys that are not in the schema are handled. Commands refuse them, because they are probably misspelled. A reader
// of the store ignores them, because a newer version of the program may have written them.
enum class UnknownKeys : std::uint8_t { Refuse,
    Ignore };

// Checks an object's name and content against the schema of its kind. Returns every problem, in the order of the
// schema's keys, followed by the unknown keys of each object.
std::vector<Problem> checkContent(Kind kind, const std::string& name, const boost::json::value& content, UnknownKeys unknown);

}
