#pragma once

#include "declare/schema.h"

#include <boost/json/fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryshed::declare {

// What the value of a key may be.
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

// One key of a JSON object with what is allowed.
struct KeySchema {
    std::string_view name;
    ValueType type = ValueType::Text;
    bool required = false;
    double min = 0; // of Number and Integer; fewest entries of a list
    double max = 0; // of Number and Integer
    std::span<const KeySchema> nestedKeys {}; // of Object and ObjectList
    std::span<const std::string_view> choices {}; // of Choice
};

// Checks a JSON object against its keys. Adds every fault to `problems`, in the order of the keys; `path` is put
// before each key.
void checkKeys(const std::string& path, std::span<const KeySchema> keys, const boost::json::value& value, UnknownKeys, std::vector<Problem>& problems);

}
