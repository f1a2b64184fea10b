#include "declare/servers.h"

#include "core/errors.h"
#include "declare/load.h"

#include <boost/json.hpp>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    constexpr std::string_view kind = "vmlist";
    constexpr std::string_view name = "platform";

    json::object row(const core::ServerListing& server)
    {
        return {
            { "name", server.name },
            { "address", server.address },
            { "service", server.service },
            { "batch", server.batch },
            { "domain", server.domain },
            { "leaving", server.leaving },
            { "slots", server.slots },
            { "connectionLimit", server.connectionLimit },
        };
    }

}

core::Object serversObject(const core::ServerList& list)
{
    json::array rows;
    for (const core::ServerListing& server : list.servers)
        rows.push_back(row(server));
    json::object content;
    content["version"] = list.version;
    content["vms"] = std::move(rows);
    return { .kind = std::string(kind), .name = std::string(name), .version = { .revision = 0, .version = list.version }, .deleted = false, .content = json::serialize(content) };
}

std::optional<core::ServerList> serversOf(const core::Object& object, core::TimePoint receivedAt)
{
    if (object.kind != kind || object.deleted)
        return std::nullopt;
    try {
        return loadServers(object.content, receivedAt);
    } catch (const core::Error&) {
        return std::nullopt;
    }
}

}
