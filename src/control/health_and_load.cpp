#include "control/health_and_load.h"

#include <algorithm>
#include <set>

namespace cranberryshed::control {

namespace {

    // Digests are sent every second and reach every entry VM within a few seconds, so one or two lost digests do not
    // lower the confidence.
    constexpr core::Duration maxFreshAge = std::chrono::seconds(6);
    constexpr core::Duration unknownAge = std::chrono::seconds(30);

    constexpr double peakAgeDecayPerSecond = 0.2; // in seconds of age per second
    constexpr double maxPeakAgeSeconds = 8; // bounds the effect of a gap in the digests to less than a minute

    constexpr unsigned ejectionThreshold = 3;
    constexpr core::Duration initialEjectionTime = std::chrono::seconds(2);
    constexpr unsigned maxDoublings = 5; // the longest ejection takes 64 s
    constexpr double probeWarmth = 0.34; // one of three slots
    constexpr core::Duration maxHealthReportAge = std::chrono::seconds(10); // older health reports are ignored
    constexpr core::Duration maxAnswerAge = std::chrono::seconds(5); // a younger answer overrides a health report
    constexpr std::size_t ejectionDivisor = 3; // at most one in this many servers is ejected
    constexpr double defaultShiftCapPerMinute = 0.1; // used if no target states a cap
    constexpr double maxHeadroom = 0.95; // a larger headroom would leave no capacity to plan with

    // A connection that fails or breaks indicates a dead server. A missed deadline can be caused by the request itself.
    unsigned failureWeight(core::AttemptResult result)
    {
        switch (result) {
        case core::AttemptResult::ConnectFailed:
        case core::AttemptResult::Broken:
            return ejectionThreshold;
        case core::AttemptResult::TimedOut:
            return 1;
        default:
            return 0;
        }
    }

    bool acceptsRequests(core::ServerState state)
    {
        return state == core::ServerState::Active || state == core::ServerState::Warming;
    }

}

double confidenceAfter(core::Duration age)
{
    if (age <= maxFreshAge)
        return 1;
    return std::max(0.0, 1 - static_cast<double>((age - maxFreshAge).count()) / static_cast<double>((unknownAge - maxFreshAge).count()));
}

double headroomOf(const core::Declarations& declarations, const std::string& service)
{
    double headroom = 0;
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        const auto target = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        if (declaration.service == service && target != declarations.targets.end())
            headroom = std::max(headroom, target->headroom);
    }
    return std::min(headroom, maxHeadroom);
}

double shiftCapOf(const core::Declarations& declarations, const std::string& service)
{
    double cap = 0;
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        const auto target = std::ranges::find(declarations.targets, declaration.name, &core::TargetDeclaration::className);
        if (declaration.service == service && target != declarations.targets.end() && target->maxShiftPerMinute > 0)
            cap = cap > 0 ? std::min(cap, target->maxShiftPerMinute) : target->maxShiftPerMinute;
    }
    return cap > 0 ? cap : defaultShiftCapPerMinute;
}

Step EvaluateHealthAndLoad::operator()(Context context, core::TimePoint now)
{
    this->readAttempts(context, now);
    this->readHealth(context, now);
    this->applyEjections(context, now);
    this->keepNewestDigests(context, now);
    computeClassDemand(context, now);
    this->holdPeakAges(context, now);
    computeServiceLoads(context);
    return Step::pass(std::move(context));
}

void EvaluateHealthAndLoad::readAttempts(const Context& context, core::TimePoint now)
{
    for (const AttemptReport& report : context.inputs.attempts) {
        EjectionRecord& record = this->records[report.server];
        if (report.result == core::AttemptResult::Answered || report.result == core::AttemptResult::Refused) {
            record.answeredAt = report.at;
            record.failures = 0;
            record.refusesConnections = false;
            if (record.isProbing && (!record.ejectedUntil || report.at >= *record.ejectedUntil)) {
                record.isProbing = false;
                record.ejections = 0;
            }
            continue;
        }
        record.failures += failureWeight(report.result);
        if (report.result == core::AttemptResult::ConnectFailed)
            record.refusesConnections = true;
        if (record.failures >= ejectionThreshold)
            this->eject(record, now);
    }
}

void EvaluateHealthAndLoad::readHealth(const Context& context, core::TimePoint now)
{
    for (const HealthReport& report : context.inputs.healthReports) {
        EjectionRecord& record = this->records[report.server];
        const bool answeredRecently = record.answeredAt && now - *record.answeredAt <= maxAnswerAge;
        if (!report.healthy && !answeredRecently && now - report.receivedAt <= maxHealthReportAge)
            this->eject(record, now);
    }
}

// Late and duplicated digests never replace newer ones. A run without new digests uses the last ones, whose age grows.
void EvaluateHealthAndLoad::keepNewestDigests(Context& context, core::TimePoint now)
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

// Late and lost digests make their age jump up and down each second. The plan uses a decaying peak of the age instead,
// because a spill-over that follows the jumps would oscillate.
void EvaluateHealthAndLoad::holdPeakAges(Context& context, core::TimePoint now)
{
    const double decay = peakAgeDecayPerSecond * std::chrono::duration<double>(now - this->agesUpdatedAt).count();
    this->agesUpdatedAt = now;
    for (std::size_t region = 0; region < context.declarations().regions.size(); ++region) {
        double& peakAge = this->peakAgeSeconds[context.declarations().regions[region].name];
        peakAge = std::max(0.0, peakAge - decay);
        for (const std::vector<ClassDemand>& demand : context.demand)
            peakAge = std::max(peakAge, std::min(demand[region].ageSeconds, maxPeakAgeSeconds));
        for (std::vector<ClassDemand>& demand : context.demand)
            demand[region].ageSeconds = std::max(demand[region].ageSeconds, peakAge);
    }
}

void EvaluateHealthAndLoad::eject(EjectionRecord& record, core::TimePoint now)
{
    record.failures = 0;
    if (record.ejectedUntil && now < *record.ejectedUntil)
        return;
    record.ejectedUntil = now + initialEjectionTime * (1U << std::min(record.ejections, maxDoublings));
    ++record.ejections;
    record.isProbing = true;
}

void EvaluateHealthAndLoad::applyEjections(Context& context, core::TimePoint now)
{
    std::map<std::pair<std::string, core::RegionIndex>, std::size_t> ejectionBudget; // by service and region
    std::map<std::string, std::size_t> remainingServers; // servers that accept requests, by service
    std::set<std::string> known;
    for (const BackendServer& server : context.servers) {
        known.insert(server.listing.name);
        if (!acceptsRequests(server.state))
            continue;
        ++ejectionBudget[{ server.listing.service, server.region }];
        ++remainingServers[server.listing.service];
    }
    for (auto& [key, count] : ejectionBudget)
        count /= ejectionDivisor;
    std::erase_if(this->records, [&](const auto& entry) { return !known.contains(entry.first); });

    // Servers that refuse connections come first: they are ejected regardless of the limit but count against it.
    for (const bool refusesConnections : { true, false }) {
        for (BackendServer& server : context.servers) {
            const auto found = this->records.find(server.listing.name);
            if (found == this->records.end() || !acceptsRequests(server.state) || !found->second.isProbing || found->second.refusesConnections != refusesConnections)
                continue;
            const bool isEjectionActive = now < *found->second.ejectedUntil;
            std::size_t& ejectionsLeft = ejectionBudget[{ server.listing.service, server.region }];
            std::size_t& serversLeft = remainingServers[server.listing.service];
            if (isEjectionActive && serversLeft > 1 && (refusesConnections || ejectionsLeft > 0)) {
                server.state = core::ServerState::Ejected;
                --serversLeft;
                ejectionsLeft -= ejectionsLeft > 0;
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
    std::vector<std::size_t> memberCounts(declarations.regions.size(), 0);
    std::set<std::size_t> partitionedRegions;
    for (const core::DomainDeclaration& domain : declarations.domains) {
        const auto region = std::ranges::find(declarations.regions, domain.region, &core::RegionDeclaration::name);
        if (region == declarations.regions.end())
            continue;
        const auto regionIndex = static_cast<std::size_t>(region - declarations.regions.begin());
        const auto members = static_cast<std::size_t>(std::ranges::count_if(context.inputs.members, [&](const MemberInfo& member) {
            return member.domain == domain.name && (member.state == core::MemberState::Alive || member.state == core::MemberState::Suspect);
        }));
        if (members == 0) {
            // Entry VMs that all appear dead can be partitioned off and still serve callers, so the demand of these
            // callers is unknown.
            const bool isPartitioned = std::ranges::any_of(context.inputs.members, [&](const MemberInfo& member) { return member.domain == domain.name && member.state == core::MemberState::Dead; });
            if (isPartitioned)
                partitionedRegions.insert(regionIndex);
            continue;
        }
        memberCounts[regionIndex] += members;
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
            // A digest that covers fewer members than the failure domain has is scaled up to all of them.
            const double scale = newest->members > 0 && newest->members < members ? static_cast<double>(members) / newest->members : 1;
            demand.requestsPerSecond += load->demand * scale;
            demand.slots += load->demand * scale * std::chrono::duration<double>(load->meanTime).count();
        }
    }
    for (const std::size_t region : partitionedRegions) {
        for (std::vector<ClassDemand>& demand : context.demand) {
            if (memberCounts[region] == 0)
                demand[region].confidence = 0;
        }
    }
    for (const LocalDemand& local : context.inputs.localDemand) {
        const auto found = std::ranges::find(declarations.classes, local.className, &core::ClassDeclaration::name);
        if (found == declarations.classes.end())
            continue;
        ClassDemand& demand = context.demand[static_cast<std::size_t>(found - declarations.classes.begin())][context.selfRegion.value];
        if (demand.confidence >= 1)
            continue;
        const double requestsPerSecond = local.requestsPerSecond * static_cast<double>(std::max<std::size_t>(1, memberCounts[context.selfRegion.value]));
        demand.requestsPerSecond = std::max(demand.requestsPerSecond, requestsPerSecond);
        demand.slots = std::max(demand.slots, requestsPerSecond * std::chrono::duration<double>(local.meanSlotTime).count());
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
        if (acceptsRequests(server.state))
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
