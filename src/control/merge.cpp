#include "control/merge.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    // A server that is missing from the list is kept for this long after its last answer.
    constexpr core::Duration unlistedRetention = std::chrono::seconds(30);
    // A leaving mark that no source repeats for this long counts as withdrawn.
    constexpr core::Duration leavingMarkLifetime = std::chrono::minutes(10);
    // A store that was restored from an old copy continues from a lower version. A list of a lower version is accepted
    // if it is received this long after the last accepted list.
    constexpr core::Duration restoredListDelay = std::chrono::minutes(1);
    // Two estimates of a server's start that differ by less than this mean the same start: the reports are delayed.
    constexpr core::Duration startTolerance = std::chrono::seconds(10);
    constexpr core::Duration defaultWarmUp = std::chrono::minutes(2);
    constexpr double initialWarmth = 0.1;

    template <typename Declaration>
    std::optional<std::uint32_t> indexOf(const std::vector<Declaration>& all, const std::string& name)
    {
        const auto found = std::ranges::find(all, name, &Declaration::name);
        if (found == all.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(found - all.begin());
    }

    // The indexes of a failure domain and its region, or nothing if one of them is not declared.
    std::optional<std::pair<core::DomainIndex, core::RegionIndex>> locate(const core::Declarations& declarations, const std::string& domainName)
    {
        const auto domain = indexOf(declarations.domains, domainName);
        if (!domain)
            return std::nullopt;
        const auto region = indexOf(declarations.regions, declarations.domains[*domain].region);
        if (!region)
            return std::nullopt;
        return std::pair { core::DomainIndex { *domain }, core::RegionIndex { *region } };
    }

    core::Duration warmUpOf(const core::Declarations& declarations, const std::string& batch)
    {
        const auto found = std::ranges::find(declarations.batches, batch, &core::BatchDeclaration::name);
        const bool isDeclared = found != declarations.batches.end() && found->warmUp > core::Duration(0);
        return isDeclared ? found->warmUp : defaultWarmUp;
    }

    void advanceTo(std::optional<core::TimePoint>& last, core::TimePoint time)
    {
        last = last ? std::max(*last, time) : time;
    }

}

double warmthAfter(core::Duration elapsed, core::Duration warmUp)
{
    if (elapsed >= warmUp)
        return 1;
    const double progress = std::max(0.0, static_cast<double>(elapsed.count()) / static_cast<double>(warmUp.count()));
    return initialWarmth + (1 - initialWarmth) * progress;
}

Step MergeSources::operator()(ControlInputs inputs, core::TimePoint now)
{
    this->acceptDeclarations(inputs);
    if (!inputs.declarations)
        return Step::end(SkipReason::NoDeclarations);
    Context context { .inputs = std::move(inputs) };
    const auto self = locate(context.declarations(), context.inputs.selfDomain);
    if (!self)
        return Step::end(SkipReason::UnknownDomain);
    std::tie(context.selfDomain, context.selfRegion) = *self;
    this->acceptList(context.inputs.serverList, now);
    this->acceptHealth(context.inputs.healthReports);
    this->acceptAttempts(context.inputs.attempts);
    this->acceptLeavingMarks(context.inputs.leavingServers, now);
    this->expire(now);
    this->addServers(context, now);
    return Step::pass(std::move(context));
}

// Ignores declarations of a lower revision: they come from a restored store or a late message.
void MergeSources::acceptDeclarations(ControlInputs& inputs)
{
    if (inputs.declarations && (!this->declarations || inputs.declarations->revision >= this->declarations->revision))
        this->declarations = inputs.declarations;
    inputs.declarations = this->declarations;
}

void MergeSources::acceptList(const core::ServerList& list, core::TimePoint now)
{
    const bool isFirst = !this->listVersion;
    if (isFirst && list.servers.empty())
        return;
    if (!isFirst) {
        const bool isNewer = list.version > *this->listVersion;
        const bool isRestored = list.version < *this->listVersion && list.receivedAt > this->listAcceptedAt + restoredListDelay;
        if (!isNewer && !isRestored)
            return;
    }
    this->listVersion = list.version;
    this->listAcceptedAt = std::max(this->listAcceptedAt, list.receivedAt);
    for (auto& [name, record] : this->records)
        record.listed = false;
    for (const core::ServerListing& listing : list.servers) {
        const auto [found, added] = this->records.try_emplace(listing.name);
        ServerRecord& record = found->second;
        // The servers of the first list are new to this process only, so they do not warm up.
        if (added && !isFirst)
            record.startedAt = now;
        record.listing = listing;
        record.listed = true;
        record.listedAt = now;
        if (listing.leaving) {
            advanceTo(record.leavingAt, now);
            record.markedLocally = true;
        }
    }
}

void MergeSources::acceptHealth(const std::vector<HealthReport>& reports)
{
    for (const HealthReport& report : reports) {
        const auto found = this->records.find(report.server);
        if (found == this->records.end())
            continue;
        ServerRecord& record = found->second;
        advanceTo(record.answeredAt, report.receivedAt);
        if (report.leaving) {
            advanceTo(record.leavingAt, report.receivedAt);
            record.markedLocally = true;
        }
        if (!record.report || record.report->receivedAt < report.receivedAt)
            record.report = core::LoadReport { .inFlight = report.inFlight, .receivedAt = report.receivedAt };
        if (!report.uptime)
            continue;
        const core::TimePoint start = report.receivedAt - *report.uptime;
        if (!record.startedAt || start > *record.startedAt + startTolerance)
            record.startedAt = start;
        // The server restarted after the leaving mark, so the mark does not apply to its current run.
        if (record.leavingAt && !report.leaving && !record.listing.leaving && start > *record.leavingAt + startTolerance)
            record.leavingAt.reset();
    }
}

void MergeSources::acceptAttempts(const std::vector<AttemptReport>& reports)
{
    for (const AttemptReport& report : reports) {
        const auto found = this->records.find(report.server);
        if (found == this->records.end())
            continue;
        ServerRecord& record = found->second;
        if (report.result == core::AttemptResult::Answered || report.result == core::AttemptResult::Refused)
            advanceTo(record.answeredAt, report.at);
        if (report.leaving) {
            advanceTo(record.leavingAt, report.at);
            record.markedLocally = true;
        }
    }
}

void MergeSources::acceptLeavingMarks(const std::vector<std::string>& names, core::TimePoint now)
{
    for (const std::string& name : names) {
        if (const auto found = this->records.find(name); found != this->records.end())
            advanceTo(found->second.leavingAt, now);
    }
}

void MergeSources::expire(core::TimePoint now)
{
    for (auto& [name, record] : this->records) {
        if (record.leavingAt && now - *record.leavingAt > leavingMarkLifetime && !record.listing.leaving) {
            record.leavingAt.reset();
            record.markedLocally = false;
        }
    }
    std::erase_if(this->records, [&](const auto& entry) {
        const ServerRecord& record = entry.second;
        if (record.listed)
            return false;
        // A server without an answer since it was last listed is kept for the same time, so that it can be probed.
        const core::TimePoint last = std::max(record.listedAt, record.answeredAt.value_or(record.listedAt));
        return now - last > unlistedRetention;
    });
}

void MergeSources::addServers(Context& context, core::TimePoint now) const
{
    for (const auto& [name, record] : this->records) {
        const auto location = locate(context.declarations(), record.listing.domain);
        if (!location) {
            context.warnings.push_back("backend server " + name + " is in the undeclared failure domain " + record.listing.domain);
            continue;
        }
        BackendServer server { .listing = record.listing, .region = location->second, .domain = location->first, .report = record.report };
        if (record.startedAt)
            server.warmth = warmthAfter(now - *record.startedAt, warmUpOf(context.declarations(), record.listing.batch));
        if (server.warmth < 1) {
            server.state = core::ServerState::Warming;
            server.isSlowStarting = true;
        }
        if (record.leavingAt) {
            server.state = core::ServerState::Leaving;
            server.warmth = 0;
            if (record.markedLocally)
                context.leavingServers.push_back(name);
        }
        context.servers.push_back(std::move(server));
    }
}

}
