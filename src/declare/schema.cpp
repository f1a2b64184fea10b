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
        Key { "to", Shape::Name, true },
        Key { "delayMs", Shape::Number, true, 0, longestDelayMs },
        Key { "capacityMbit", Shape::Number, true, 0.1, fastestLinkMbit },
    };
    constexpr std::array regionKeys = { Key { "links", Shape::ObjectList, false, 0, 0, linkKeys } };
    constexpr std::array domainKeys = {
        Key { "region", Shape::Name, true },
        Key { "delayMs", Shape::Number, true, 0, longestDelayMs },
    };
    constexpr std::array classKeys = {
        Key { "service", Shape::Name, true },
        Key { "host", Shape::Text },
        Key { "methods", Shape::MethodList },
        Key { "pathPrefix", Shape::Path, true },
        Key { "repeat", Shape::Choice, true, 0, 0, {}, core::Names<core::Idempotency>::values },
        Key { "length", Shape::Choice, true, 0, 0, {}, core::Names<core::WorkLength>::values },
        Key { "deadlineMs", Shape::Number, true, 1, dayMs },
        Key { "typicalBytes", Shape::Whole, false, 0, largestAnswerBytes },
    };
    constexpr std::array targetKeys = {
        Key { "class", Shape::Name, true },
        Key { "latencyMs", Shape::Number, true, 1, dayMs },
        Key { "headroomPercent", Shape::Number, true, 0, 100 },
        Key { "allowedRegions", Shape::NameList, false, 1 },
        Key { "shiftCapPercentPerMinute", Shape::Number, true, 0.001, 100 },
    };
    constexpr std::array batchKeys = {
        Key { "service", Shape::Name, true },
        Key { "contractEnd", Shape::Time, true },
        Key { "replacement", Shape::Name },
        Key { "declaredAt", Shape::Time },
        Key { "warmUpMs", Shape::Number, false, 0, dayMs },
    };
    constexpr std::array siteKeys = { Key { "nearestDomains", Shape::NameList, true, 1 } };
    constexpr std::array blocksKeys = {
        Key { "site", Shape::Name, true },
        Key { "prefixes", Shape::PrefixList, true, 1 },
    };
    constexpr std::array vmKeys = {
        Key { "address", Shape::Endpoint, true },
        Key { "service", Shape::Name, true },
        Key { "batch", Shape::Name, true },
        Key { "domain", Shape::Name, true },
        Key { "leaving", Shape::Flag },
        Key { "slots", Shape::Whole, false, 1, 10'000 },
        Key { "connectionLimit", Shape::Whole, false, 1, 1'000'000 },
    };
    constexpr std::array statusClassKeys = {
        Key { "class", Shape::Name, true },
        Key { "latencyMs", Shape::Number, true, 0, dayMs },
        Key { "headroomPercent", Shape::Number, true, 0, 100 },
        Key { "requestsPerSecond", Shape::Number, true, 0, mostRequestsPerSecond },
        Key { "rejectedPerSecond", Shape::Number, true, 0, mostRequestsPerSecond },
    };
    constexpr std::array statusDrainKeys = {
        Key { "batch", Shape::Name, true },
        Key { "remainingPercent", Shape::Number, true, 0, 100 },
        Key { "expectedEnd", Shape::Time, true },
        Key { "inTime", Shape::Flag, true },
    };
    constexpr std::array statusKeys = {
        Key { "writtenAt", Shape::Time, true },
        Key { "members", Shape::Whole, true, 0, 1'000'000 },
        Key { "classes", Shape::ObjectList, true, 0, 0, statusClassKeys },
        Key { "drains", Shape::ObjectList, true, 0, 0, statusDrainKeys },
    };
    constexpr std::array leaseKeys = {
        Key { "holder", Shape::Text, true },
        Key { "durationMs", Shape::Whole, true, 1, dayMs },
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
