#pragma once

#include "declare/schema.h"

#include <boost/json/fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryshed::declare {

// The type of a key's value.
enum class ValueType : std::uint8_t { Text,
    Path,
    Name,
    NameList,
    MethodList,
    PrefixList,
    Number,
    Integer,
    Boolean,
    Time,
    Endpoint,
    ListenEndpoint, // port 0 lets the kernel choose
    EndpointList,
    Choice,
    Object,
    ObjectList };

// What a JSON object can contain under one key.
struct KeySchema {
    std::string_view name;
    ValueType type = ValueType::Text;
    bool required = false;
    double min = 0; // Number and Integer: smallest value; lists: smallest number of entries
    double max = 0; // Number and Integer: largest value
    std::span<const KeySchema> nestedKeys {}; // Object and ObjectList: keys of the nested objects
    std::span<const std::string_view> choices {}; // Choice: the allowed values
};

// Checks a JSON object against the schemas of its keys. Appends every problem to `problems`, in the order of the keys.
// The path of a problem is `path` followed by the name of the key.
void checkKeys(const std::string& path, std::span<const KeySchema> keys, const boost::json::value& value, UnknownKeys, std::vector<Problem>& problems);

}
