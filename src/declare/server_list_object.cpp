#include "declare/server_list_object.h"

#include "core/errors.h"
#include "declare/parse.h"
#include "declare/serialize.h"

namespace cranberryshed::declare {

namespace {

    constexpr std::string_view kind = "vmlist";
    constexpr std::string_view name = "platform";

}

core::Object serverListObject(const core::ServerList& list)
{
    return { .kind = std::string(kind), .name = std::string(name), .version = { .revision = 0, .version = list.version }, .deleted = false, .content = serializeServerList(list.servers, list.version) };
}

std::optional<core::ServerList> serverListFromObject(const core::Object& object, core::TimePoint receivedAt)
{
    if (object.kind != kind || object.deleted)
        return std::nullopt;
    try {
        return parseServerList(object.content, receivedAt);
    } catch (const core::Error&) {
        return std::nullopt;
    }
}

}
