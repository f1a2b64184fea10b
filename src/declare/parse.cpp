#include "declare/parse.h"

#include "core/errors.h"
#include "declare/text_formats.h"

#include <boost/json.hpp>
#include <cmath>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    // The functions below read content that checkContent accepted, so a key that is present has the right type.

    std::string stringAt(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value ? std::string(value->as_string()) : std::string();
    }

    double numberAt(const json::object& object, std::string_view key, double defaultValue = 0)
    {
        const json::value* value = object.if_contains(key);
        return value ? value->to_number<double>() : defaultValue;
    }

    core::Duration durationAt(const json::object& object, std::string_view key)
    {
        return core::Duration(std::llround(numberAt(object, key) * 1000));
    }

    std::vector<std::string> stringsAt(const json::object& object, std::string_view key)
    {
        std::vector<std::string> list;
        if (const json::value* value = object.if_contains(key)) {
            for (const json::value& entry : value->as_array())
                list.emplace_back(entry.as_string());
        }
        return list;
    }

    core::RegionDeclaration readRegion(const std::string& name, const json::object& content)
    {
        core::RegionDeclaration region { .name = name, .links = {} };
        if (const json::value* links = content.if_contains("links")) {
            for (const json::value& entry : links->as_array()) {
                const json::object& link = entry.as_object();
                region.links.push_back({ .toRegion = stringAt(link, "to"), .oneWayDelay = durationAt(link, "delayMs"), .capacityMbitPerSecond = numberAt(link, "capacityMbit") });
            }
        }
        return region;
    }

    core::ClassDeclaration readClass(const std::string& name, const json::object& content)
    {
        return {
            .name = name,
            .host = stringAt(content, "host"),
            .methods = stringsAt(content, "methods"),
            .pathPrefix = stringAt(content, "pathPrefix"),
            .service = stringAt(content, "service"),
            .idempotency = *core::parseName<core::Idempotency>(stringAt(content, "repeat")),
            .length = *core::parseName<core::WorkLength>(stringAt(content, "length")),
            .deadline = durationAt(content, "deadlineMs"),
            .typicalBytes = static_cast<std::uint64_t>(numberAt(content, "typicalBytes")),
        };
    }

    core::TargetDeclaration readTarget(const json::object& content)
    {
        return {
            .className = stringAt(content, "class"),
            .latency = durationAt(content, "latencyMs"),
            .headroom = numberAt(content, "headroomPercent") / 100,
            .allowedRegions = stringsAt(content, "allowedRegions"),
            .maxShiftPerMinute = numberAt(content, "shiftCapPercentPerMinute") / 100,
        };
    }

    core::BatchDeclaration readBatch(const std::string& name, const json::object& content)
    {
        core::BatchDeclaration batch {
            .name = name,
            .service = stringAt(content, "service"),
            .contractEnd = *parseTime(stringAt(content, "contractEnd")),
            .replacement = stringAt(content, "replacement"),
        };
        if (content.contains("declaredAt"))
            batch.declaredAt = *parseTime(stringAt(content, "declaredAt"));
        if (content.contains("warmUpMs"))
            batch.warmUp = durationAt(content, "warmUpMs");
        return batch;
    }

    void readBlocks(const json::object& content, std::vector<core::AddressBlockDeclaration>& blocks)
    {
        std::string site = stringAt(content, "site");
        for (const json::value& entry : content.at("prefixes").as_array()) {
            Prefix prefix = *parsePrefix(std::string_view(entry.as_string()));
            blocks.push_back({ .firstAddress = prefix.firstAddress, .prefixLength = prefix.length, .site = site });
        }
    }

    void addDeclaration(core::Declarations& declarations, Kind kind, const std::string& name, const json::object& content)
    {
        switch (kind) {
        case Kind::Region:
            declarations.regions.push_back(readRegion(name, content));
            break;
        case Kind::Domain:
            declarations.domains.push_back({ .name = name, .region = stringAt(content, "region"), .oneWayDelay = durationAt(content, "delayMs") });
            break;
        case Kind::Class:
            declarations.classes.push_back(readClass(name, content));
            break;
        case Kind::Target:
            declarations.targets.push_back(readTarget(content));
            break;
        case Kind::Batch:
            declarations.batches.push_back(readBatch(name, content));
            break;
        case Kind::Site:
            declarations.sites.push_back({ .name = name, .nearestDomains = stringsAt(content, "nearestDomains") });
            break;
        case Kind::Blocks:
            readBlocks(content, declarations.blocks);
            break;
        case Kind::Vm:
        case Kind::Status:
        case Kind::Lease:
            break;
        }
    }

    core::ServerListing readVm(const std::string& name, const json::object& row)
    {
        const json::value* leaving = row.if_contains("leaving");
        return {
            .name = name,
            .address = stringAt(row, "address"),
            .service = stringAt(row, "service"),
            .batch = stringAt(row, "batch"),
            .domain = stringAt(row, "domain"),
            .leaving = leaving && leaving->as_bool(),
            .slots = static_cast<std::uint32_t>(numberAt(row, "slots", 3)),
            .maxConnections = static_cast<std::uint32_t>(numberAt(row, "connectionLimit", 330)),
        };
    }

}

core::Declarations parseDeclarations(std::span<const core::Object> objects, std::vector<Problem>* problems)
{
    core::Declarations declarations;
    for (const core::Object& object : objects) {
        std::optional<Kind> kind = core::parseName<Kind>(object.kind);
        if (!kind || static_cast<std::size_t>(*kind) >= operatorKindCount)
            continue;
        declarations.revision = std::max(declarations.revision, object.version.revision);
        if (object.deleted)
            continue;
        boost::system::error_code error;
        json::value content = json::parse(object.content, error);
        std::vector<Problem> objectProblems;
        if (error)
            objectProblems.push_back({ object.kind + '/' + object.name, "is not JSON: " + error.message() });
        else
            objectProblems = checkContent(*kind, object.name, content, UnknownKeys::Ignore);
        if (objectProblems.empty())
            addDeclaration(declarations, *kind, object.name, content.as_object());
        else if (problems)
            problems->insert(problems->end(), objectProblems.begin(), objectProblems.end());
    }
    return declarations;
}

core::ServerList parseServerList(std::string_view text, core::TimePoint receivedAt)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    const json::object* list = value.if_object();
    const json::value* rows = list ? list->if_contains("vms") : nullptr;
    const json::value* version = list ? list->if_contains("version") : nullptr;
    if (error || !rows || !rows->is_array() || !version || !version->is_number())
        throw core::Error(core::ErrorKind::BadMessage, "the platform's list of VMs is malformed: it must be an object with a number \"version\" and an array \"vms\"");
    core::ServerList servers;
    servers.version = version->to_number<std::uint64_t>(error);
    servers.receivedAt = receivedAt;
    for (const json::value& row : rows->as_array()) {
        const json::object* object = row.if_object();
        const json::value* name = object ? object->if_contains("name") : nullptr;
        if (!name || !name->is_string())
            continue;
        std::string serverName(name->as_string());
        if (checkContent(Kind::Vm, serverName, row, UnknownKeys::Ignore).empty())
            servers.servers.push_back(readVm(serverName, *object));
    }
    return servers;
}

}
