#include "declare/server_list_object.h"

#include "core/errors.h"
#include "declare/parse.h"
#include "declare/serialize.h"

namespace cranberryshed::declare {

namespace {

    constexpr std::string_view listKind = "vmlist";
    constexpr std::string_view listName = "platform";

}

core::Object serverListObject(const core::ServerList& list)
{
    return { .kind = std::string(listKind), .name = std::string(listName), .version = { .revision = 0, .version = list.version }, .deleted = false, .content = serializeServerList(list.servers, list.version) };
}

std::optional<core::ServerList> serverListFromObject(const core::Object& object, core::TimePoint receivedAt)
{
    if (object.kind != listKind || object.deleted)
        return std::nullopt;
    try {
        return parseServerList(object.content, receivedAt);
    } catch (const core::Error&) {
        return std::nullopt;
    }
}

}
