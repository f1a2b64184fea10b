#pragma once

#include "declare/kinds.h"

#include <boost/json/fwd.hpp>
#include <string>
#include <vector>

namespace cranberryshed::declare {

// One fault of a declaration: where, and what is allowed there.
struct Problem {
    std::string path; // such as "region/jyl links[0].delayMs"
    std::string text;
};

// What to do about keys that the schema does not name. Commands refuse them, since they may be typing errors.
// A reader of the store ignores them, since a newer version of the program may have written them.
enum class UnknownKeys : std::uint8_t { Refuse,
    Ignore };

// Checks an object's content against its kind's schema. Returns every fault, in the order of the schema.
std::vector<Problem> checkContent(Kind kind, const std::string& name, const boost::json::value& content, UnknownKeys unknown);

}
