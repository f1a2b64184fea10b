#include "request/match.h"

#include <algorithm>
#include <cctype>

namespace cranberryshed::request {

namespace {

    std::string_view withoutPort(std::string_view host)
    {
        return host.substr(0, host.find(':'));
    }

    bool equalIgnoringCase(std::string_view first, std::string_view second)
    {
        return std::ranges::equal(first, second, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    // A prefix matches whole path segments: "/order" matches "/order/7" and "/order?x", not "/orders".
    bool matchesPrefix(std::string_view target, std::string_view prefix)
    {
        if (!target.starts_with(prefix))
            return false;
        if (prefix.empty() || prefix.back() == '/' || target.size() == prefix.size())
            return true;
        const char next = target[prefix.size()];
        return next == '/' || next == '?';
    }

    bool matches(const core::ClassEntry& entry, std::string_view host, std::string_view method, std::string_view target)
    {
        if (!entry.host.empty() && !equalIgnoringCase(entry.host, withoutPort(host)))
            return false;
        if (!entry.methods.empty() && std::ranges::find(entry.methods, method) == entry.methods.end())
            return false;
        return matchesPrefix(target, entry.pathPrefix);
    }

}

std::optional<core::ClassIndex> matchClass(const core::SteeringTable& table, std::string_view host, std::string_view method, std::string_view target)
{
    std::optional<core::ClassIndex> best;
    for (std::uint32_t i = 0; i < table.classes.size(); ++i) {
        const core::ClassEntry& entry = table.classes[i];
        if (!matches(entry, host, method, target))
            continue;
        if (!best || entry.pathPrefix.size() > table.at(*best).pathPrefix.size())
            best = core::ClassIndex { i };
    }
    return best;
}

}
