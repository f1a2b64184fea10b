#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cranberryshed::core {

// Orders the versions of one object, by what its writer states first, so that a store that comes back from an older copy
// can't revert an object. The `apply` command writes a revision above the highest that the store and the members hold.
// For objects that operators and backend servers write on the users' platform, see object_order.h.
struct ObjectVersion {
    std::uint64_t revision = 0; // stated by the object's writer
    std::uint64_t version = 0; // assigned by the platform's store

    auto operator<=>(const ObjectVersion&) const = default;
};

// An object of the platform's API with its content as JSON text. Fields that are unknown to this version of the
// program are kept in the text and passed on.
struct Object {
    std::string kind;
    std::string name;
    ObjectVersion version;
    bool deleted = false; // a tombstone of a deleted object
    std::string content;
};

}
