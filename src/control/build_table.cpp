#include "control/build_table.h"

#include "core/errors.h"
#include "core/server_key.h"
#include "lookup/address_blocks.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    // Load data with a lower confidence, because of its age, is not used for admission control.
    constexpr double minConfidence = 0.3;

    // While this VM doesn't know the others. With a larger number, its part of a limit that the fleet shares would be too
    // small for a single retry.
    constexpr std::uint32_t assumedFleetSize = 10;

    std::uint32_t fleetSize(const ControlInputs& inputs)
    {
        const auto members = static_cast<std::uint32_t>(inputs.members.size());
        return std::max(members, inputs.fleetKnownSince ? inputs.registeredMembers : assumedFleetSize);
    }

    template <typename Entry>
    std::optional<std::uint32_t> indexOf(const std::vector<Entry>& entries, const std::string& name)
    {
        const auto found = std::ranges::find(entries, name, &Entry::name);
        if (found == entries.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(found - entries.begin());
    }

    // Copies the settings of the server's service declaration.
    void applyServiceDeclaration(const Context& context, core::ServerEntry& server)
    {
        const std::vector<core::ServiceDeclaration>& services = context.declarations().services;
        const auto found = std::ranges::find(services, server.service, &core::ServiceDeclaration::name);
        if (found == services.end())
            return;
        server.maxConnections = found->maxConnections;
        server.maxColdRequestsPerSecond = found->maxColdRequestsPerSecond;
        server.coldDuration = found->coldDuration;
        server.healthPath = found->healthPath;
    }

}

core::Outcome<ControlOutput, SkipReason> BuildSteeringTable::operator()(Context context, core::TimePoint now)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = ++this->generation;
    table->builtAt = now;
    table->configurationRevision = context.declarations().revision;
    table->configurationOrigin = context.inputs.configurationOrigin;
    table->leaving = context.inputs.leaving;
    table->callerLimits = context.declarations().callerLimits;
    this->addRegionsAndDomains(*table, context);
    this->addServers(*table, context);
    this->addClasses(*table, context);
    this->addMembers(*table, context);
    table->fleetSize = fleetSize(context.inputs);
    this->addLookup(*table, context, now);
    for (const core::Fingerprint fingerprint : context.inputs.quarantined)
        table->quarantinedFingerprints.insert(static_cast<std::uint64_t>(fingerprint));
    for (const core::Fingerprint fingerprint : context.inputs.suspects)
        table->suspectFingerprints.insert(static_cast<std::uint64_t>(fingerprint));
    table->crashRecords = context.inputs.crashRecords;
    return core::Outcome<ControlOutput, SkipReason>::pass({ .table = std::move(table), .drains = std::move(context.drains), .warnings = std::move(context.warnings), .leavingServers = std::move(context.leavingServers) });
}

void BuildSteeringTable::addRegionsAndDomains(core::SteeringTable& table, const Context& context) const
{
    for (const core::RegionDeclaration& region : context.declarations().regions)
        table.regions.push_back({ .name = region.name });
    for (const core::DomainDeclaration& domain : context.declarations().domains)
        table.domains.push_back({ .name = domain.name, .region = core::RegionIndex { indexOf(table.regions, domain.region).value_or(0) }, .evacuated = context.inputs.evacuated.contains(domain.name) });
}

void BuildSteeringTable::addServers(core::SteeringTable& table, const Context& context)
{
    std::unordered_map<std::string, std::shared_ptr<core::SlotCounter>> kept;
    for (const BackendServer& server : context.servers) {
        const core::ServerListing& listing = server.listing;
        std::shared_ptr<core::SlotCounter> counter;
        if (const auto found = this->slotCounters.find(listing.name); found != this->slotCounters.end())
            counter = found->second;
        else
            counter = std::make_shared<core::SlotCounter>();
        kept.emplace(listing.name, counter);
        table.servers.push_back({ .name = listing.name, .address = listing.address, .service = listing.service, .batch = listing.batch, .region = server.region, .domain = server.domain, .state = server.state, .slots = listing.slots, .maxConnections = listing.maxConnections, .warmth = server.warmth, .isHome = server.isHome, .isUsableCold = server.isUsableCold, .report = server.report, .key = core::serverKey(listing), .slotCounter = std::move(counter), .coldUntil = listing.coldUntil });
        applyServiceDeclaration(context, table.servers.back());
    }
    // A server that is missing from the list can return while requests to it are in flight, so its counter is kept until
    // they end.
    for (const auto& [name, counter] : this->slotCounters) {
        if (counter->inFlight() > 0)
            kept.emplace(name, counter);
    }
    this->slotCounters = std::move(kept);
}

// The share of a service's slots that the callers of all regions need; none if the load data of a region is too old.
std::optional<double> BuildSteeringTable::serviceUtilization(const Context& context, const std::string& service)
{
    const auto found = context.services.find(service);
    if (found == context.services.end())
        return std::nullopt;
    double slots = 0;
    double demandSlots = 0;
    for (const ServiceLoad& load : found->second) {
        if (load.demandSlots > 0 && load.confidence < minConfidence)
            return std::nullopt;
        slots += load.slots;
        demandSlots += load.demandSlots;
    }
    return slots > 0 ? std::optional(demandSlots / slots) : std::nullopt;
}

void BuildSteeringTable::addClasses(core::SteeringTable& table, const Context& context) const
{
    const core::Declarations& declarations = context.declarations();
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        const core::ClassDeclaration& declaration = declarations.classes[i];
        const auto found = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        const core::TargetDeclaration* target = found == declarations.targets.end() ? nullptr : &*found;
        core::ClassEntry entry { .name = declaration.name, .host = declaration.host, .methods = declaration.methods, .pathPrefix = declaration.pathPrefix, .service = declaration.service, .idempotency = declaration.idempotency, .length = declaration.length, .deadline = declaration.deadline, .targetLatency = target ? target->latency : core::Duration {}, .headroom = target ? target->headroom : 0, .servers = {}, .regionShares = context.regionShares[i], .maxInFlightByRegion = context.maxInFlightByRegion[i], .serviceUtilization = serviceUtilization(context, declaration.service), .route = declaration.route.empty() ? declaration.name : declaration.route, .weight = declaration.weight, .priority = declaration.priority, .maxAttempts = declaration.maxAttempts, .requiresKey = declaration.requiresKey, .usesAffinity = declaration.usesAffinity };
        for (std::uint32_t server = 0; server < table.servers.size(); ++server) {
            const core::ServerEntry& candidate = table.servers[server];
            if (candidate.service == declaration.service && context.maxShares[i][candidate.region.value] > 0)
                entry.servers.push_back(core::ServerIndex { server });
        }
        table.classes.push_back(std::move(entry));
    }
}

void BuildSteeringTable::addMembers(core::SteeringTable& table, const Context& context) const
{
    for (const MemberInfo& member : context.inputs.members) {
        const auto domain = indexOf(table.domains, member.domain);
        if (!domain)
            continue;
        if (member.name == context.inputs.self)
            table.self = core::MemberIndex { static_cast<std::uint32_t>(table.members.size()) };
        const core::DomainIndex domainIndex { *domain };
        table.members.push_back({ .name = member.name, .address = member.address, .region = table.at(domainIndex).region, .domain = domainIndex, .state = member.state, .incarnation = member.incarnation, .load = member.load });
    }
}

// Rebuilds the block table only for new declarations, because that takes about a second for millions of blocks. An
// error in the blocks must not delay changes of the servers' states, so the last block table stays in force then.
void BuildSteeringTable::addLookup(core::SteeringTable& table, Context& context, core::TimePoint now)
{
    if (context.inputs.blocks)
        table.addressBlocks = context.inputs.blocks;
    else {
        if (this->blocksFrom != context.inputs.declarations) {
            this->blocksFrom = context.inputs.declarations;
            this->blocksError.clear();
            try {
                this->blocks = core::makeAddressBlockTable(context.declarations());
            } catch (const core::Error& error) {
                this->blocksError = error.what();
            }
        }
        if (!this->blocksError.empty())
            context.warnings.push_back("the last caller blocks stay in force: " + this->blocksError);
        table.addressBlocks = this->blocks;
    }
    table.siteRanks = lookup::makeSiteRanks(table, context.declarations(), this->memberShareController.update(table.members, now));
}

}
