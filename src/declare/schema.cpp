#include "declare/schema.h"

#include "core/sets.h"
#include "declare/text.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <span>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    enum class Shape : std::uint8_t { Text,
        Path,
        Name,
        NameList,
        MethodList,
        PrefixList,
        Number,
        Whole,
        Flag,
        Time,
        Endpoint,
        RepeatName,
        LengthName,
        ObjectList };

    struct Key {
        std::string_view name;
        Shape shape = Shape::Text;
        bool required = false;
        double least = 0; // of Number and Whole; fewest entries of a list
        double most = 0; // of Number and Whole
        std::span<const Key> inner {}; // of ObjectList
    };

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
        Key { "repeat", Shape::RepeatName, true },
        Key { "length", Shape::LengthName, true },
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

    // A bound without trailing zeros.
    std::string numberText(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.12g", value);
        return text.data();
    }

    // What a key allows, for messages.
    std::string allowedText(const Key& key)
    {
        std::string some = key.least > 0 ? "a list of one or more " : "a list of ";
        switch (key.shape) {
        case Shape::Text:
            return "a text";
        case Shape::Path:
            return "a text that starts with '/'";
        case Shape::Name:
            return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
        case Shape::NameList:
            return some + "names of 1 to 64 letters, digits, '.', '_' or '-'";
        case Shape::MethodList:
            return some + "HTTP methods in capital letters";
        case Shape::PrefixList:
            return some + "IPv4 prefixes such as \"10.1.0.0/16\" without bits beyond the prefix";
        case Shape::Number:
            return "a number from " + numberText(key.least) + " to " + numberText(key.most);
        case Shape::Whole:
            return "a whole number from " + numberText(key.least) + " to " + numberText(key.most);
        case Shape::Flag:
            return "true or false";
        case Shape::Time:
            return "a UTC time such as \"2027-03-31T22:00:00Z\"";
        case Shape::Endpoint:
            return "an IPv4 address and port such as \"127.0.0.1:8080\"";
        case Shape::RepeatName:
            return "one of " + core::allNames<core::Repeat>();
        case Shape::LengthName:
            return "one of " + core::allNames<core::WorkLength>();
        case Shape::ObjectList:
            return some + "objects";
        }
        return {};
    }

    std::optional<std::string_view> textOf(const json::value& value)
    {
        if (const json::string* text = value.if_string())
            return std::string_view(text->data(), text->size());
        return std::nullopt;
    }

    bool inRange(const Key& key, const json::value& value)
    {
        if (!value.is_number())
            return false;
        double number = value.to_number<double>();
        bool whole = key.shape != Shape::Whole || number == std::floor(number);
        return whole && number >= key.least && number <= key.most;
    }

    bool isMethod(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    }

    bool isAllowedText(Shape shape, std::string_view text)
    {
        switch (shape) {
        case Shape::Text:
            return true;
        case Shape::Path:
            return text.starts_with('/');
        case Shape::Name:
        case Shape::NameList:
            return isName(text);
        case Shape::MethodList:
            return isMethod(text);
        case Shape::PrefixList:
            return parsePrefix(text).has_value();
        case Shape::Time:
            return parseTime(text).has_value();
        case Shape::Endpoint:
            return isEndpoint(text);
        case Shape::RepeatName:
            return core::parseName<core::Repeat>(text).has_value();
        case Shape::LengthName:
            return core::parseName<core::WorkLength>(text).has_value();
        default:
            return false;
        }
    }

    // Collects the faults of one object.
    class Checker {
    public:
        Checker(std::vector<Problem>& problemList, UnknownKeys unknownKeys)
            : problems(problemList)
            , unknown(unknownKeys)
        {
        }

        void checkObject(const std::string& path, std::span<const Key> keys, const json::value& value)
        {
            const json::object* object = value.if_object();
            if (!object) {
                this->problems.push_back({ path, "must be an object" });
                return;
            }
            for (const Key& key : keys)
                this->checkKey(path, key, object->if_contains(key.name));
            if (this->unknown == UnknownKeys::Refuse)
                this->refuseUnknown(path, keys, *object);
        }

    private:
        void refuseUnknown(const std::string& path, std::span<const Key> keys, const json::object& object)
        {
            for (const auto& member : object) {
                std::string_view name(member.key().data(), member.key().size());
                if (std::any_of(keys.begin(), keys.end(), [&](const Key& key) { return key.name == name; }))
                    continue;
                std::string names;
                for (const Key& key : keys)
                    names += (names.empty() ? "" : ", ") + std::string(key.name);
                this->problems.push_back({ path + std::string(name), "unknown key; allowed are " + names });
            }
        }

        void checkKey(const std::string& path, const Key& key, const json::value* value)
        {
            std::string keyPath = path + std::string(key.name);
            if (!value) {
                if (key.required)
                    this->problems.push_back({ keyPath, "is missing; must be " + allowedText(key) });
                return;
            }
            switch (key.shape) {
            case Shape::Number:
            case Shape::Whole:
                this->require(inRange(key, *value), keyPath, key);
                return;
            case Shape::Flag:
                this->require(value->is_bool(), keyPath, key);
                return;
            case Shape::NameList:
            case Shape::MethodList:
            case Shape::PrefixList:
            case Shape::ObjectList:
                this->checkList(keyPath, key, *value);
                return;
            default:
                std::optional<std::string_view> text = textOf(*value);
                this->require(text && isAllowedText(key.shape, *text), keyPath, key);
            }
        }

        void checkList(const std::string& keyPath, const Key& key, const json::value& value)
        {
            const json::array* list = value.if_array();
            if (!list || static_cast<double>(list->size()) < key.least) {
                this->require(false, keyPath, key);
                return;
            }
            for (std::size_t i = 0; i < list->size(); ++i) {
                if (key.shape == Shape::ObjectList) {
                    this->checkObject(keyPath + '[' + std::to_string(i) + "].", key.inner, (*list)[i]);
                    continue;
                }
                std::optional<std::string_view> text = textOf((*list)[i]);
                if (!text || !isAllowedText(key.shape, *text))
                    this->require(false, keyPath + '[' + std::to_string(i) + ']', key);
            }
        }

        void require(bool allowed, const std::string& keyPath, const Key& key)
        {
            if (!allowed)
                this->problems.push_back({ keyPath, "must be " + allowedText(key) });
        }

        std::vector<Problem>& problems;
        UnknownKeys unknown;
    };

}

std::vector<Problem> checkContent(Kind kind, const std::string& name, const json::value& content, UnknownKeys unknown)
{
    std::vector<Problem> problems;
    std::string path = std::string(core::nameOf(kind)) + '/' + name + ' ';
    if (!isName(name))
        problems.push_back({ path + "name", "must be a name of 1 to 64 letters, digits, '.', '_' or '-'" });
    Checker(problems, unknown).checkObject(path, keysOf(kind), content);
    return problems;
}

}
