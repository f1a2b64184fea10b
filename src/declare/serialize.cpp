#include "declare/serialize.h"

#include "declare/kinds.h"
#include "declare/text_formats.h"

#include <boost/json.hpp>
#include <map>

namespace cranberryshed::declare {

namespace json = boost::json;

namespace {

    // Number of prefixes per object of caller blocks. At up to 21 bytes per prefix, an object stays below 700 KB.
    constexpr std::size_t maxPrefixesPerObject = 32'768;

    double toMilliseconds(core::Duration duration)
    {
        return static_cast<double>(duration.count()) / 1000;
    }

    json::array stringArray(std::span<const std::string> texts)
    {
        json::array array;
        for (const std::string& text : texts)
            array.emplace_back(text);
        return array;
    }

    json::object contentOf(const core::RegionDeclaration& region)
    {
        json::array links;
        for (const core::LinkDeclaration& link : region.links)
            links.emplace_back(json::object { { "to", link.toRegion }, { "delayMs", toMilliseconds(link.oneWayDelay) }, { "capacityMbit", link.capacityMbitPerSecond } });
        return { { "links", std::move(links) } };
    }

    json::object contentOf(const core::DomainDeclaration& domain)
    {
        return { { "region", domain.region }, { "delayMs", toMilliseconds(domain.oneWayDelay) } };
    }

    json::object contentOf(const core::ClassDeclaration& requestClass)
    {
        return {
            { "service", requestClass.service },
            { "host", requestClass.host },
            { "methods", stringArray(requestClass.methods) },
            { "pathPrefix", requestClass.pathPrefix },
            { "repeat", core::nameOf(requestClass.idempotency) },
            { "length", core::nameOf(requestClass.length) },
            { "deadlineMs", toMilliseconds(requestClass.deadline) },
            { "typicalBytes", requestClass.typicalBytes },
        };
    }

    json::object contentOf(const core::TargetDeclaration& target)
    {
        json::object content {
            { "class", target.className },
            { "latencyMs", toMilliseconds(target.latency) },
            { "headroomPercent", target.headroom * 100 },
            { "shiftCapPercentPerMinute", target.maxShiftPerMinute * 100 },
        };
        if (!target.allowedRegions.empty())
            content["allowedRegions"] = stringArray(target.allowedRegions);
        return content;
    }

    json::object contentOf(const core::BatchDeclaration& batch)
    {
        json::object content { { "service", batch.service }, { "contractEnd", formatTime(batch.contractEnd) } };
        if (!batch.replacement.empty())
            content["replacement"] = batch.replacement;
        if (batch.declaredAt != core::WallTime {})
            content["declaredAt"] = formatTime(batch.declaredAt);
        if (batch.warmUp > core::Duration::zero())
            content["warmUpMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(batch.warmUp).count();
        return content;
    }

    json::object contentOf(const core::SiteDeclaration& site)
    {
        return { { "nearestDomains", stringArray(site.nearestDomains) } };
    }

    core::Object makeObject(Kind kind, std::string name, const json::object& content, std::uint64_t revision)
    {
        return {
            .kind = std::string(core::nameOf(kind)),
            .name = std::move(name),
            .version = { .revision = revision, .version = 0 },
            .deleted = false,
            .content = json::serialize(content),
        };
    }

    void addBlocks(const core::Declarations& declarations, std::vector<core::Object>& objects)
    {
        std::map<std::string_view, std::vector<json::array>> prefixListsBySite;
        for (const core::AddressBlockDeclaration& block : declarations.blocks) {
            std::vector<json::array>& site = prefixListsBySite[block.site];
            if (site.empty() || site.back().size() >= maxPrefixesPerObject)
                site.emplace_back();
            site.back().emplace_back(formatPrefix({ .firstAddress = block.firstAddress, .length = block.prefixLength }));
        }
        for (auto& [site, list] : prefixListsBySite) {
            for (std::size_t i = 0; i < list.size(); ++i) {
                std::string name = std::string(site) + '-' + std::to_string(i + 1);
                objects.push_back(makeObject(Kind::Blocks, name, { { "site", site }, { "prefixes", std::move(list[i]) } }, declarations.revision));
            }
        }
    }

}

std::vector<core::Object> declarationObjects(const core::Declarations& declarations)
{
    std::vector<core::Object> objects;
    auto add = [&](Kind kind, const auto& list) {
        for (const auto& entry : list)
            objects.push_back(makeObject(kind, entry.name, contentOf(entry), declarations.revision));
    };
    add(Kind::Region, declarations.regions);
    add(Kind::Domain, declarations.domains);
    add(Kind::Class, declarations.classes);
    for (const core::TargetDeclaration& target : declarations.targets)
        objects.push_back(makeObject(Kind::Target, target.className, contentOf(target), declarations.revision));
    add(Kind::Batch, declarations.batches);
    add(Kind::Site, declarations.sites);
    addBlocks(declarations, objects);
    return objects;
}

std::string serializeServerList(std::span<const core::ServerListing> servers, std::uint64_t version)
{
    json::array rows;
    for (const core::ServerListing& server : servers) {
        rows.emplace_back(json::object {
            { "name", server.name },
            { "address", server.address },
            { "service", server.service },
            { "batch", server.batch },
            { "domain", server.domain },
            { "leaving", server.leaving },
            { "slots", server.slots },
            { "connectionLimit", server.maxConnections },
        });
    }
    return json::serialize(json::object { { "version", version }, { "vms", std::move(rows) } });
}

}
