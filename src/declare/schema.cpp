#include "declare/schema.h"

#include "core/enums.h"
#include "declare/key_schema.h"
#include "declare/text_formats.h"

#include <array>
#include <boost/json.hpp>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    // Limits are wide: they catch a wrong unit or a typing error, not an unusual choice.
    constexpr double longestDelayMs = 10'000;
    constexpr double fastestLinkMbit = 10'000'000;
    constexpr double dayMs = 86'400'000;
    constexpr double largestAnswerBytes = 1e13;
    constexpr double mostRequestsPerSecond = 1e9;

    constexpr std::array linkKeys = {
        Key { "to", ValueType::Name, true },
        Key { "delayMs", ValueType::Number, true, 0, longestDelayMs },
        Key { "capacityMbit", ValueType::Number, true, 0.1, fastestLinkMbit },
    };
    constexpr std::array regionKeys = { Key { "links", ValueType::ObjectList, false, 0, 0, linkKeys } };
    constexpr std::array domainKeys = {
        Key { "region", ValueType::Name, true },
        Key { "delayMs", ValueType::Number, true, 0, longestDelayMs },
    };
    constexpr std::array classKeys = {
        Key { "service", ValueType::Name, true },
        Key { "host", ValueType::Text },
        Key { "methods", ValueType::MethodList },
        Key { "pathPrefix", ValueType::Path, true },
        Key { "repeat", ValueType::Choice, true, 0, 0, {}, core::Names<core::Idempotency>::values },
        Key { "length", ValueType::Choice, true, 0, 0, {}, core::Names<core::WorkLength>::values },
        Key { "deadlineMs", ValueType::Number, true, 1, dayMs },
        Key { "typicalBytes", ValueType::Integer, false, 0, largestAnswerBytes },
    };
    constexpr std::array targetKeys = {
        Key { "class", ValueType::Name, true },
        Key { "latencyMs", ValueType::Number, true, 1, dayMs },
        Key { "headroomPercent", ValueType::Number, true, 0, 100 },
        Key { "allowedRegions", ValueType::NameList, false, 1 },
        Key { "shiftCapPercentPerMinute", ValueType::Number, true, 0.001, 100 },
    };
    constexpr std::array batchKeys = {
        Key { "service", ValueType::Name, true },
        Key { "contractEnd", ValueType::Time, true },
        Key { "replacement", ValueType::Name },
        Key { "declaredAt", ValueType::Time },
        Key { "warmUpMs", ValueType::Number, false, 0, dayMs },
    };
    constexpr std::array siteKeys = { Key { "nearestDomains", ValueType::NameList, true, 1 } };
    constexpr std::array blocksKeys = {
        Key { "site", ValueType::Name, true },
        Key { "prefixes", ValueType::PrefixList, true, 1 },
    };
    constexpr std::array vmKeys = {
        Key { "address", ValueType::Endpoint, true },
        Key { "service", ValueType::Name, true },
        Key { "batch", ValueType::Name, true },
        Key { "domain", ValueType::Name, true },
        Key { "leaving", ValueType::Boolean },
        Key { "slots", ValueType::Integer, false, 1, 10'000 },
        Key { "connectionLimit", ValueType::Integer, false, 1, 1'000'000 },
    };
    constexpr std::array statusClassKeys = {
        Key { "class", ValueType::Name, true },
        Key { "latencyMs", ValueType::Number, true, 0, dayMs },
        Key { "headroomPercent", ValueType::Number, true, 0, 100 },
        Key { "requestsPerSecond", ValueType::Number, true, 0, mostRequestsPerSecond },
        Key { "rejectedPerSecond", ValueType::Number, true, 0, mostRequestsPerSecond },
    };
    constexpr std::array statusDrainKeys = {
        Key { "batch", ValueType::Name, true },
        Key { "remainingPercent", ValueType::Number, true, 0, 100 },
        Key { "expectedEnd", ValueType::Time, true },
        Key { "inTime", ValueType::Boolean, true },
    };
    constexpr std::array statusKeys = {
        Key { "writtenAt", ValueType::Time, true },
        Key { "members", ValueType::Integer, true, 0, 1'000'000 },
        Key { "classes", ValueType::ObjectList, true, 0, 0, statusClassKeys },
        Key { "drains", ValueType::ObjectList, true, 0, 0, statusDrainKeys },
    };
    constexpr std::array leaseKeys = {
        Key { "holder", ValueType::Text, true },
        Key { "durationMs", ValueType::Integer, true, 1, dayMs },
    };

    std::span<const Key> keysOf(Kind kind)
    {
        switch (kind) {
        case Kind::Region:
            return regionKeys;
        case Kind::Domain:
            return domainKeys;
        case Kind::Class:
            return classKeys;
        case Kind::Target:
            return targetKeys;
        case Kind::Batch:
            return batchKeys;
        case Kind::Site:
            return siteKeys;
        case Kind::Blocks:
            return blocksKeys;
        case Kind::Vm:
            return vmKeys;
        case Kind::Status:
            return statusKeys;
        case Kind::Lease:
            return leaseKeys;
        }
        return {};
    }

}

std::vector<Problem> checkContent(Kind kind, const std::string& name, const json::value& content, UnknownKeys unknown)
{
    std::vector<Problem> problems;
    std::string path = std::string(core::nameOf(kind)) + '/' + name + ' ';
    if (!isName(name))
        problems.push_back({ path + "name", "must be a name of 1 to 64 letters, digits, '.', '_' or '-'" });
    checkKeys(path, keysOf(kind), content, unknown, problems);
    return problems;
}

}
