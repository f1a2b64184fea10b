#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cranberryshed::core {

// Orders the states of one object. The revision is raised by the operator's command from the highest that
// store and members know, so a store that was restored from an old copy cannot make a target revert.
struct ObjectVersion {
    std::uint64_t revision = 0; // written by `apply` into the object
    std::uint64_t version = 0; // assigned by the platform's store

    auto operator<=>(const ObjectVersion&) const = default;
};

// An object of the platform's API with its content as JSON text. Fields that this version of the
// program does not know stay in the text and are passed on.
struct Object {
    std::string kind;
    std::string name;
    ObjectVersion version;
    bool deleted = false; // a deletion that is remembered
    std::string content;
};

}
