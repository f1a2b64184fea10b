#include "admin/compare.h"

#include <boost/json.hpp>
#include <set>

namespace cranberryshed::admin {

namespace json = boost::json;

namespace {

    // For a longer list, such as caller blocks, only the number of entries is printed.
    constexpr std::size_t maxPrintedEntries = 8;

    std::string formatValue(const json::value* value)
    {
        if (!value)
            return "(none)";
        const json::array* list = value->if_array();
        if (list && list->size() > maxPrintedEntries)
            return '[' + std::to_string(list->size()) + " entries]";
        return json::serialize(*value);
    }

    json::object parseObject(const std::string& text)
    {
        boost::system::error_code error;
        json::value value = json::parse(text, error);
        return !error && value.is_object() ? std::move(value.as_object()) : json::object();
    }

    bool hasSameContent(const std::string& left, const std::string& right)
    {
        return left == right || parseObject(left) == parseObject(right);
    }

}

std::vector<std::string> differingKeys(const std::string& before, const std::string& after)
{
    json::object left = parseObject(before);
    json::object right = parseObject(after);
    std::set<std::string> keys;
    for (const auto& member : left)
        keys.emplace(member.key());
    for (const auto& member : right)
        keys.emplace(member.key());
    std::vector<std::string> lines;
    for (const std::string& key : keys) {
        const json::value* oldValue = left.if_contains(key);
        const json::value* newValue = right.if_contains(key);
        if (!oldValue || !newValue || *oldValue != *newValue)
            lines.push_back(key + ": " + formatValue(oldValue) + " -> " + formatValue(newValue));
    }
    return lines;
}

Step CompareWithStore::operator()(Context context, core::TimePoint) const
{
    bool storeLostWrites = context.maxMemberRevision > context.maxStoreRevision;
    auto onlyInStore = context.stored;
    for (const core::Object& declared : context.declared) {
        Difference difference { .change = Change::Added, .declared = declared, .stored = {}, .needsRewrite = false };
        auto position = context.stored.find({ declared.kind, declared.name });
        if (position != context.stored.end() && !position->second.object.deleted) {
            difference.stored = position->second;
            bool isSame = hasSameContent(position->second.object.content, declared.content);
            difference.change = isSame ? Change::Same : Change::Changed;
            difference.needsRewrite = isSame && storeLostWrites;
        }
        onlyInStore.erase({ declared.kind, declared.name });
        context.differences.push_back(std::move(difference));
    }
    for (auto& [key, stored] : onlyInStore) {
        if (stored.object.deleted)
            continue;
        core::Object name { .kind = key.first, .name = key.second, .version = {}, .deleted = false, .content = {} };
        context.differences.push_back({ .change = Change::OnlyInStore, .declared = std::move(name), .stored = std::move(stored), .needsRewrite = false });
    }
    return Step::pass(std::move(context));
}

}
