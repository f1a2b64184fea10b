#include "control/health_and_load.h"

#include <algorithm>
#include <set>

namespace cranberryshed::control {

namespace {

    // Digests are sent each second and reach every entry VM within a few; a lost one or two changes nothing.
    constexpr core::Duration freshAge = std::chrono::seconds(6);
    constexpr core::Duration unknownAge = std::chrono::seconds(30);

    constexpr double ageDecay = 0.2; // of a held age, in seconds per second
    constexpr double longestHeldAge = 8; // in seconds, so that a gap is forgotten within less than a minute

    constexpr unsigned failureLimit = 3;
    constexpr core::Duration firstEjection = std::chrono::seconds(2);
    constexpr unsigned mostDoublings = 5; // 64 s
    constexpr double probeWarmth = 0.34; // one of three slots
    constexpr core::Duration healthAge = std::chrono::seconds(10); // an older report says nothing about health
    constexpr core::Duration trafficAge = std::chrono::seconds(5); // an answer this fresh goes before the health report
    constexpr std::size_t ejectedPart = 3; // at most one in this many
    constexpr double defaultCapPerMinute = 0.1; // where no target states one
    constexpr double mostHeadroom = 0.95; // a target above it would leave no capacity to plan with

    // A connection that fails or breaks shows a dead server; a passed deadline may be the request's own fault.
    unsigned failureWeight(core::AttemptResult result)
    {
        switch (result) {
        case core::AttemptResult::ConnectFailed:
        case core::AttemptResult::Broken:
            return failureLimit;
        case core::AttemptResult::TimedOut:
            return 1;
        default:
            return 0;
        }
    }

    bool takesWork(core::ServerState state)
    {
        return state == core::ServerState::Active || state == core::ServerState::Warming;
    }

}

double confidenceAfter(core::Duration age)
{
    if (age <= freshAge)
        return 1;
    return std::max(0.0, 1 - static_cast<double>((age - freshAge).count()) / static_cast<double>((unknownAge - freshAge).count()));
}

double headroomOf(const core::Declarations& declarations, const std::string& service)
{
    double headroom = 0;
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        const auto target = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        if (declaration.service == service && target != declarations.targets.end())
            headroom = std::max(headroom, target->headroom);
    }
    return std::min(headroom, mostHeadroom);
}

double shiftCapOf(const core::Declarations& declarations, const std::string& service)
{
    double cap = 0;
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        const auto target = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        if (declaration.service == service && target != declarations.targets.end() && target->maxShiftPerMinute > 0)
            cap = cap > 0 ? std::min(cap, target->maxShiftPerMinute) : target->maxShiftPerMinute;
    }
    return cap > 0 ? cap : defaultCapPerMinute;
}

Step EvaluateHealthAndLoad::operator()(Context context, core::TimePoint now)
{
    this->readTraffic(context, now);
    this->readHealth(context, now);
    this->applyEjections(context, now);
    this->keepDigests(context, now);
    computeClassDemand(context, now);
    this->holdAges(context, now);
    computeServiceLoads(context);
    return Step::pass(std::move(context));
}

void EvaluateHealthAndLoad::readTraffic(const Context& context, core::TimePoint now)
{
    for (const AttemptReport& report : context.inputs.attempts) {
        Record& record = this->records[report.server];
        if (report.result == core::AttemptResult::Answered || report.result == core::AttemptResult::Refused) {
            record.answeredAt = report.at;
            record.failures = 0;
            record.refusesConnections = false;
            if (record.probing && (!record.ejectedUntil || report.at >= *record.ejectedUntil)) {
                record.probing = false;
                record.ejections = 0;
            }
            continue;
        }
        record.failures += failureWeight(report.result);
        if (report.result == core::AttemptResult::ConnectFailed)
            record.refusesConnections = true;
        if (record.failures >= failureLimit)
            this->eject(record, now);
    }
}

void EvaluateHealthAndLoad::readHealth(const Context& context, core::TimePoint now)
{
    for (const HealthReport& report : context.inputs.health) {
        Record& record = this->records[report.server];
        const bool answers = record.answeredAt && now - *record.answeredAt <= trafficAge;
        if (!report.healthy && !answers && now - report.receivedAt <= healthAge)
            this->eject(record, now);
    }
}

// Late and doubled digests never replace newer ones, and a run without digests uses the last ones at their age.
void EvaluateHealthAndLoad::keepDigests(Context& context, core::TimePoint now)
{
    for (core::DomainDigest& digest : context.inputs.digests) {
        core::DomainDigest& kept = this->digests[digest.domain];
        digest.measuredAt = std::min(digest.measuredAt, now);
        if (kept.domain.empty() || kept.measuredAt < digest.measuredAt)
            kept = std::move(digest);
    }
    std::erase_if(this->digests, [&](const auto& entry) {
        return std::ranges::find(context.declarations().domains, entry.first, &core::DomainDeclaration::name) == context.declarations().domains.end();
    });
    context.inputs.digests.clear();
    for (const auto& [domain, digest] : this->digests)
        context.inputs.digests.push_back(digest);
}

// Late and lost digests let the age jump up and down each second. The plan follows its recent peak instead, because
// a spill-over that follows the jumps would swing.
void EvaluateHealthAndLoad::holdAges(Context& context, core::TimePoint now)
{
    const double decay = ageDecay * std::chrono::duration<double>(now - this->heldAt).count();
    this->heldAt = now;
    for (std::size_t region = 0; region < context.declarations().regions.size(); ++region) {
        double& held = this->ages[context.declarations().regions[region].name];
        held = std::max(0.0, held - decay);
        for (const std::vector<ClassDemand>& demand : context.demand)
            held = std::max(held, std::min(demand[region].ageSeconds, longestHeldAge));
        for (std::vector<ClassDemand>& demand : context.demand)
            demand[region].ageSeconds = std::max(demand[region].ageSeconds, held);
    }
}

void EvaluateHealthAndLoad::eject(Record& record, core::TimePoint now)
{
    record.failures = 0;
    if (record.ejectedUntil && now < *record.ejectedUntil)
        return;
    record.ejectedUntil = now + firstEjection * (1U << std::min(record.ejections, mostDoublings));
    ++record.ejections;
    record.probing = true;
}

void EvaluateHealthAndLoad::applyEjections(Context& context, core::TimePoint now)
{
    std::map<std::pair<std::string, core::RegionIndex>, std::size_t> room; // for ejections that keep the floor
    std::map<std::string, std::size_t> left; // servers of a service that take work
    std::set<std::string> known;
    for (const BackendServer& server : context.servers) {
        known.insert(server.listing.name);
        if (!takesWork(server.state))
            continue;
        ++room[{ server.listing.service, server.region }];
        ++left[server.listing.service];
    }
    for (auto& [place, count] : room)
        count /= ejectedPart;
    std::erase_if(this->records, [&](const auto& entry) { return !known.contains(entry.first); });

    // Servers without connections first: they need no room under the floor.
    for (const bool refusing : { true, false }) {
        for (BackendServer& server : context.servers) {
            const auto found = this->records.find(server.listing.name);
            if (found == this->records.end() || !takesWork(server.state) || !found->second.probing || found->second.refusesConnections != refusing)
                continue;
            const bool due = now < *found->second.ejectedUntil;
            std::size_t& places = room[{ server.listing.service, server.region }];
            std::size_t& others = left[server.listing.service];
            if (due && others > 1 && (refusing || places > 0)) {
                server.state = core::ServerState::Ejected;
                --others;
                places -= places > 0;
            } else {
                server.state = core::ServerState::Warming;
                server.warmth = std::min(server.warmth, probeWarmth);
            }
        }
    }
}

void computeClassDemand(Context& context, core::TimePoint now)
{
    const core::Declarations& declarations = context.declarations();
    context.demand.assign(declarations.classes.size(), std::vector<ClassDemand>(declarations.regions.size(), ClassDemand { .confidence = 1 }));
    std::vector<std::size_t> membersOf(declarations.regions.size(), 0);
    std::set<std::size_t> cutOffRegions;
    for (const core::DomainDeclaration& domain : declarations.domains) {
        const auto region = std::ranges::find(declarations.regions, domain.region, &core::RegionDeclaration::name);
        if (region == declarations.regions.end())
            continue;
        const auto regionIndex = static_cast<std::size_t>(region - declarations.regions.begin());
        const auto members = static_cast<std::size_t>(std::ranges::count_if(context.inputs.members, [&](const MemberInfo& member) {
            return member.domain == domain.name && (member.state == core::MemberState::Alive || member.state == core::MemberState::Suspect);
        }));
        if (members == 0) {
            // Entry VMs that are all dead may be cut off and still serve, so the need of their callers is unknown.
            const bool cutOff = std::ranges::any_of(context.inputs.members, [&](const MemberInfo& member) { return member.domain == domain.name && member.state == core::MemberState::Dead; });
            if (cutOff)
                cutOffRegions.insert(regionIndex);
            continue;
        }
        membersOf[regionIndex] += members;
        const auto digest = std::ranges::find(context.inputs.digests, domain.name, &core::DomainDigest::domain);
        const core::DomainDigest* newest = digest == context.inputs.digests.end() ? nullptr : &*digest;
        const double age = newest ? std::chrono::duration<double>(now - newest->measuredAt).count() : 0;
        const double confidence = newest ? confidenceAfter(now - newest->measuredAt) : 0;
        for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
            ClassDemand& demand = context.demand[i][regionIndex];
            demand.confidence = std::min(demand.confidence, confidence);
            demand.ageSeconds = std::max(demand.ageSeconds, age);
            if (!newest)
                continue;
            const auto load = std::ranges::find(newest->classes, declarations.classes[i].name, &core::ClassLoad::className);
            if (load == newest->classes.end())
                continue;
            // A digest that sums fewer members than the domain has stands for all of them.
            const double scale = newest->members > 0 && newest->members < members ? static_cast<double>(members) / newest->members : 1;
            demand.rate += load->demand * scale;
            demand.slots += load->demand * scale * std::chrono::duration<double>(load->meanTime).count();
        }
    }
    for (const std::size_t region : cutOffRegions) {
        for (std::vector<ClassDemand>& demand : context.demand) {
            if (membersOf[region] == 0)
                demand[region].confidence = 0;
        }
    }
    for (const LocalDemand& own : context.inputs.demand) {
        const auto found = std::ranges::find(declarations.classes, own.className, &core::ClassDeclaration::name);
        if (found == declarations.classes.end())
            continue;
        ClassDemand& demand = context.demand[static_cast<std::size_t>(found - declarations.classes.begin())][context.selfRegion.value];
        if (demand.confidence >= 1)
            continue;
        const double rate = own.rate * static_cast<double>(std::max<std::size_t>(1, membersOf[context.selfRegion.value]));
        demand.rate = std::max(demand.rate, rate);
        demand.slots = std::max(demand.slots, rate * std::chrono::duration<double>(own.meanTime).count());
    }
}

void computeServiceLoads(Context& context)
{
    const core::Declarations& declarations = context.declarations();
    context.services.clear();
    for (const core::ClassDeclaration& declaration : declarations.classes)
        context.services.try_emplace(declaration.service, declarations.regions.size(), ServiceLoad { .confidence = 1 });
    for (const BackendServer& server : context.servers) {
        const auto found = context.services.find(server.listing.service);
        if (found == context.services.end())
            continue;
        ServiceLoad& load = found->second[server.region.value];
        if (server.state != core::ServerState::Leaving && server.state != core::ServerState::Gone)
            load.totalSlots += server.listing.slots;
        if (takesWork(server.state))
            load.slots += server.listing.slots * server.warmth;
    }
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        std::vector<ServiceLoad>& loads = context.services[declarations.classes[i].service];
        for (std::size_t region = 0; region < loads.size(); ++region) {
            loads[region].demandSlots += context.demand[i][region].slots;
            loads[region].confidence = std::min(loads[region].confidence, context.demand[i][region].confidence);
        }
    }
}

}
