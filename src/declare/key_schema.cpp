#include "declare/key_schema.h"

#include "declare/text_formats.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    std::string joinNames(std::span<const std::string_view> names)
    {
        std::string text;
        for (std::string_view name : names)
            text += (text.empty() ? "" : ", ") + std::string(name);
        return text;
    }

    // Formats a bound without trailing zeros.
    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.12g", value);
        return text.data();
    }

    // Describes the allowed values of a key, for error texts.
    std::string describeAllowed(const KeySchema& key)
    {
        std::string listPrefix = key.min > 0 ? "a list of one or more " : "a list of ";
        switch (key.type) {
        case ValueType::Text:
            return "a string";
        case ValueType::Path:
            return "a string that starts with '/'";
        case ValueType::Name:
            return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
        case ValueType::NameList:
            return listPrefix + "names of 1 to 64 letters, digits, '.', '_' or '-'";
        case ValueType::MethodList:
            return listPrefix + "HTTP methods in capital letters";
        case ValueType::PrefixList:
            return listPrefix + "IPv4 prefixes such as \"10.1.0.0/16\" without bits beyond the prefix";
        case ValueType::Number:
            return "a number from " + formatNumber(key.min) + " to " + formatNumber(key.max);
        case ValueType::Integer:
            return "a whole number from " + formatNumber(key.min) + " to " + formatNumber(key.max);
        case ValueType::Boolean:
            return "true or false";
        case ValueType::Time:
            return "a UTC time such as \"2027-03-31T22:00:00Z\"";
        case ValueType::Endpoint:
            return "an IPv4 address and port such as \"127.0.0.1:8080\"";
        case ValueType::ListenEndpoint:
            return "an IPv4 address and port such as \"127.0.0.1:8080\"; port 0 lets the kernel choose";
        case ValueType::EndpointList:
            return listPrefix + "IPv4 addresses with ports such as \"127.0.0.1:8080\"";
        case ValueType::Choice:
            return "one of " + joinNames(key.choices);
        case ValueType::Object:
            return "an object";
        case ValueType::ObjectList:
            return listPrefix + "objects";
        }
        return {};
    }

    std::optional<std::string_view> stringOf(const json::value& value)
    {
        if (const json::string* text = value.if_string())
            return std::string_view(text->data(), text->size());
        return std::nullopt;
    }

    bool inRange(const KeySchema& key, const json::value& value)
    {
        if (!value.is_number())
            return false;
        double number = value.to_number<double>();
        bool isIntegerIfRequired = key.type != ValueType::Integer || number == std::floor(number);
        return isIntegerIfRequired && number >= key.min && number <= key.max;
    }

    bool isMethod(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    }

    bool isAllowedText(const KeySchema& key, std::string_view text)
    {
        switch (key.type) {
        case ValueType::Text:
            return true;
        case ValueType::Path:
            return text.starts_with('/');
        case ValueType::Name:
        case ValueType::NameList:
            return isValidName(text);
        case ValueType::MethodList:
            return isMethod(text);
        case ValueType::PrefixList:
            return parsePrefix(text).has_value();
        case ValueType::Time:
            return parseTime(text).has_value();
        case ValueType::Endpoint:
        case ValueType::EndpointList:
            return isEndpoint(text);
        case ValueType::ListenEndpoint:
            return isEndpoint(text) || (text.ends_with(":0") && isEndpoint(std::string(text.substr(0, text.size() - 1)) + '1'));
        case ValueType::Choice:
            return std::ranges::find(key.choices, text) != key.choices.end();
        default:
            return false;
        }
    }

    // Collects the problems of a JSON object and of the objects nested in it.
    class ObjectChecker {
    public:
        ObjectChecker(std::vector<Problem>& problemList, UnknownKeys unknownKeys)
            : problems(problemList)
            , unknown(unknownKeys)
        {
        }

        void checkObject(const std::string& path, std::span<const KeySchema> keys, const json::value& value)
        {
            const json::object* object = value.if_object();
            if (!object) {
                this->problems.push_back({ path, "must be an object" });
                return;
            }
            for (const KeySchema& key : keys)
                this->checkKey(path, key, object->if_contains(key.name));
            if (this->unknown == UnknownKeys::Refuse)
                this->addUnknownKeys(path, keys, *object);
        }

    private:
        void addUnknownKeys(const std::string& path, std::span<const KeySchema> keys, const json::object& object)
        {
            for (const auto& member : object) {
                std::string_view name(member.key().data(), member.key().size());
                if (std::any_of(keys.begin(), keys.end(), [&](const KeySchema& key) { return key.name == name; }))
                    continue;
                std::vector<std::string_view> names;
                for (const KeySchema& key : keys)
                    names.push_back(key.name);
                this->problems.push_back({ path + std::string(name), "unknown key; allowed are " + joinNames(names) });
            }
        }

        void checkKey(const std::string& path, const KeySchema& key, const json::value* value)
        {
            std::string keyPath = path + std::string(key.name);
            if (!value) {
                if (key.required)
                    this->problems.push_back({ keyPath, "is missing; must be " + describeAllowed(key) });
                return;
            }
            switch (key.type) {
            case ValueType::Number:
            case ValueType::Integer:
                this->require(inRange(key, *value), keyPath, key);
                return;
            case ValueType::Boolean:
                this->require(value->is_bool(), keyPath, key);
                return;
            case ValueType::Object:
                this->checkObject(keyPath + '.', key.nestedKeys, *value);
                return;
            case ValueType::NameList:
            case ValueType::MethodList:
            case ValueType::PrefixList:
            case ValueType::EndpointList:
            case ValueType::ObjectList:
                this->checkList(keyPath, key, *value);
                return;
            default:
                std::optional<std::string_view> text = stringOf(*value);
                this->require(text && isAllowedText(key, *text), keyPath, key);
            }
        }

        void checkList(const std::string& keyPath, const KeySchema& key, const json::value& value)
        {
            const json::array* list = value.if_array();
            if (!list || static_cast<double>(list->size()) < key.min) {
                this->require(false, keyPath, key);
                return;
            }
            for (std::size_t i = 0; i < list->size(); ++i) {
                if (key.type == ValueType::ObjectList) {
                    this->checkObject(keyPath + '[' + std::to_string(i) + "].", key.nestedKeys, (*list)[i]);
                    continue;
                }
                std::optional<std::string_view> text = stringOf((*list)[i]);
                if (!text || !isAllowedText(key, *text))
                    this->require(false, keyPath + '[' + std::to_string(i) + ']', key);
            }
        }

        void require(bool allowed, const std::string& keyPath, const KeySchema& key)
        {
            if (!allowed)
                this->problems.push_back({ keyPath, "must be " + describeAllowed(key) });
        }

        std::vector<Problem>& problems;
        UnknownKeys unknown;
    };

}

void checkKeys(const std::string& path, std::span<const KeySchema> keys, const json::value& value, UnknownKeys unknown, std::vector<Problem>& problems)
{
    ObjectChecker(problems, unknown).checkObject(path, keys, value);
}

}
