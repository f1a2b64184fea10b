#include "declare/schema.h"

#include "core/enums.h"
#include "declare/key_schema.h"
#include "declare/text_formats.h"

#include <array>
#include <boost/json.hpp>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    // The limits are wide: they catch wrong units and typing errors, not unusual values.
    constexpr double maxDelayMs = 10'000;
    constexpr double maxLinkMbitPerSecond = 10'000'000;
    constexpr double dayMs = 86'400'000;
    constexpr double maxAnswerBytes = 1e13;
    constexpr double maxRequestsPerSecond = 1e9;

    constexpr std::array linkKeys = {
        KeySchema { "to", ValueType::Name, true },
        KeySchema { "delayMs", ValueType::Number, true, 0, maxDelayMs },
        KeySchema { "capacityMbit", ValueType::Number, true, 0.1, maxLinkMbitPerSecond },
    };
    constexpr std::array regionKeys = { KeySchema { "links", ValueType::ObjectList, false, 0, 0, linkKeys } };
    constexpr std::array domainKeys = {
        KeySchema { "region", ValueType::Name, true },
        KeySchema { "delayMs", ValueType::Number, true, 0, maxDelayMs },
    };
    constexpr std::array classKeys = {
        KeySchema { "service", ValueType::Name, true },
        KeySchema { "host", ValueType::Text },
        KeySchema { "methods", ValueType::MethodList },
        KeySchema { "pathPrefix", ValueType::Path, true },
        KeySchema { "repeat", ValueType::Choice, true, 0, 0, {}, core::Names<core::Idempotency>::values },
        KeySchema { "length", ValueType::Choice, true, 0, 0, {}, core::Names<core::WorkLength>::values },
        KeySchema { "deadlineMs", ValueType::Number, true, 1, dayMs },
        KeySchema { "typicalBytes", ValueType::Integer, false, 0, maxAnswerBytes },
    };
    constexpr std::array targetKeys = {
        KeySchema { "class", ValueType::Name, true },
        KeySchema { "latencyMs", ValueType::Number, true, 1, dayMs },
        KeySchema { "headroomPercent", ValueType::Number, true, 0, 100 },
        KeySchema { "allowedRegions", ValueType::NameList, false, 1 },
        KeySchema { "shiftCapPercentPerMinute", ValueType::Number, true, 0.001, 100 },
    };
    constexpr std::array batchKeys = {
        KeySchema { "service", ValueType::Name, true },
        KeySchema { "contractEnd", ValueType::Time, true },
        KeySchema { "replacement", ValueType::Name },
        KeySchema { "declaredAt", ValueType::Time },
        KeySchema { "warmUpMs", ValueType::Number, false, 0, dayMs },
    };
    constexpr std::array siteKeys = { KeySchema { "nearestDomains", ValueType::NameList, true, 1 } };
    constexpr std::array blocksKeys = {
        KeySchema { "site", ValueType::Name, true },
        KeySchema { "prefixes", ValueType::PrefixList, true, 1 },
    };
    constexpr std::array vmKeys = {
        KeySchema { "address", ValueType::Endpoint, true },
        KeySchema { "service", ValueType::Name, true },
        KeySchema { "batch", ValueType::Name, true },
        KeySchema { "domain", ValueType::Name, true },
        KeySchema { "leaving", ValueType::Boolean },
        KeySchema { "slots", ValueType::Integer, false, 1, 10'000 },
        KeySchema { "connectionLimit", ValueType::Integer, false, 1, 1'000'000 },
    };
    constexpr std::array statusClassKeys = {
        KeySchema { "class", ValueType::Name, true },
        KeySchema { "latencyMs", ValueType::Number, true, 0, dayMs },
        KeySchema { "headroomPercent", ValueType::Number, true, 0, 100 },
        KeySchema { "requestsPerSecond", ValueType::Number, true, 0, maxRequestsPerSecond },
        KeySchema { "rejectedPerSecond", ValueType::Number, true, 0, maxRequestsPerSecond },
    };
    constexpr std::array statusDrainKeys = {
        KeySchema { "batch", ValueType::Name, true },
        KeySchema { "remainingPercent", ValueType::Number, true, 0, 100 },
        KeySchema { "expectedEnd", ValueType::Time, true },
        KeySchema { "inTime", ValueType::Boolean, true },
    };
    constexpr std::array statusKeys = {
        KeySchema { "writtenAt", ValueType::Time, true },
        KeySchema { "members", ValueType::Integer, true, 0, 1'000'000 },
        KeySchema { "classes", ValueType::ObjectList, true, 0, 0, statusClassKeys },
        KeySchema { "drains", ValueType::ObjectList, true, 0, 0, statusDrainKeys },
    };
    constexpr std::array leaseKeys = {
        KeySchema { "holder", ValueType::Text, true },
        KeySchema { "durationMs", ValueType::Integer, true, 1, dayMs },
    };

    std::span<const KeySchema> schemaOf(Kind kind)
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
    if (!isValidName(name))
        problems.push_back({ path + "name", "must be a name of 1 to 64 letters, digits, '.', '_' or '-'" });
    checkKeys(path, schemaOf(kind), content, unknown, problems);
    return problems;
}

}
