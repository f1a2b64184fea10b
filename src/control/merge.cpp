#include "control/merge.h"

#include <algorithm>

namespace cranberryshed::control {

namespace {

    // A server that a list no longer names is kept for this long after its last answer.
    constexpr core::Duration answerHold = std::chrono::seconds(30);
    // A leaving mark that no source repeats for this long was withdrawn.
    constexpr core::Duration markHold = std::chrono::minutes(10);
    // A store that was restored from an old copy counts versions from a lower one. Its list is accepted after this.
    constexpr core::Duration olderListHold = std::chrono::minutes(1);
    // Differences below this between two estimates of a server's start come from delays of the reports.
    constexpr core::Duration startTolerance = std::chrono::seconds(10);
    constexpr core::Duration defaultWarmUp = std::chrono::minutes(2);
    constexpr double firstWarmth = 0.1;

    template <typename Declaration>
    std::optional<std::uint32_t> positionOf(const std::vector<Declaration>& all, const std::string& name)
    {
        const auto found = std::ranges::find(all, name, &Declaration::name);
        if (found == all.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(found - all.begin());
    }

    // The indexes of a domain and its region, or nothing if one of them is not declared.
    std::optional<std::pair<core::DomainIndex, core::RegionIndex>> locate(const core::Declarations& declarations, const std::string& domainName)
    {
        const auto domain = positionOf(declarations.domains, domainName);
        if (!domain)
            return std::nullopt;
        const auto region = positionOf(declarations.regions, declarations.domains[*domain].region);
        if (!region)
            return std::nullopt;
        return std::pair { core::DomainIndex { *domain }, core::RegionIndex { *region } };
    }

    core::Duration warmUpOf(const core::Declarations& declarations, const std::string& batch)
    {
        const auto found = std::ranges::find(declarations.batches, batch, &core::BatchDeclaration::name);
        const bool stated = found != declarations.batches.end() && found->warmUp > core::Duration(0);
        return stated ? found->warmUp : defaultWarmUp;
    }

    void raise(std::optional<core::TimePoint>& last, core::TimePoint time)
    {
        last = last ? std::max(*last, time) : time;
    }

}

double warmthAfter(core::Duration elapsed, core::Duration warmUp)
{
    if (elapsed >= warmUp)
        return 1;
    const double part = std::max(0.0, static_cast<double>(elapsed.count()) / static_cast<double>(warmUp.count()));
    return firstWarmth + (1 - firstWarmth) * part;
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
    this->acceptList(context.inputs.list, now);
    this->acceptHealth(context.inputs.health);
    this->acceptTraffic(context.inputs.attempts);
    this->acceptMarks(context.inputs.leavingServers, now);
    this->forget(now);
    this->addServers(context, now);
    return Step::pass(std::move(context));
}

// An accepted target never reverts: declarations of a lower revision come from a restored store or a late message.
void MergeSources::acceptDeclarations(ControlInputs& inputs)
{
    if (inputs.declarations && (!this->declarations || inputs.declarations->revision >= this->declarations->revision))
        this->declarations = inputs.declarations;
    inputs.declarations = this->declarations;
}

void MergeSources::acceptList(const core::ServerList& list, core::TimePoint now)
{
    const bool first = !this->listVersion;
    if (first && list.servers.empty())
        return;
    if (!first) {
        const bool newer = list.version > *this->listVersion;
        const bool restored = list.version < *this->listVersion && list.receivedAt > this->listAcceptedAt + olderListHold;
        if (!newer && !restored)
            return;
    }
    this->listVersion = list.version;
    this->listAcceptedAt = std::max(this->listAcceptedAt, list.receivedAt);
    for (auto& [name, life] : this->lives)
        life.listed = false;
    for (const core::ServerListing& listing : list.servers) {
        const auto [found, added] = this->lives.try_emplace(listing.name);
        Life& life = found->second;
        // All servers of the first list are new to this process, not new in service.
        if (added && !first)
            life.startedAt = now;
        life.listing = listing;
        life.listed = true;
        life.listedAt = now;
        if (listing.leaving) {
            raise(life.leavingAt, now);
            life.ownMark = true;
        }
    }
}

void MergeSources::acceptHealth(const std::vector<HealthReport>& reports)
{
    for (const HealthReport& report : reports) {
        const auto found = this->lives.find(report.server);
        if (found == this->lives.end())
            continue;
        Life& life = found->second;
        raise(life.answeredAt, report.receivedAt);
        if (report.leaving) {
            raise(life.leavingAt, report.receivedAt);
            life.ownMark = true;
        }
        if (!life.report || life.report->receivedAt < report.receivedAt)
            life.report = core::LoadReport { .inFlight = report.inFlight, .receivedAt = report.receivedAt };
        if (!report.uptime)
            continue;
        const core::TimePoint start = report.receivedAt - *report.uptime;
        if (!life.startedAt || start > *life.startedAt + startTolerance)
            life.startedAt = start;
        // The mark was for the run of the server before this start.
        if (life.leavingAt && !report.leaving && !life.listing.leaving && start > *life.leavingAt + startTolerance)
            life.leavingAt.reset();
    }
}

void MergeSources::acceptTraffic(const std::vector<AttemptReport>& reports)
{
    for (const AttemptReport& report : reports) {
        const auto found = this->lives.find(report.server);
        if (found == this->lives.end())
            continue;
        Life& life = found->second;
        if (report.result == core::AttemptResult::Answered || report.result == core::AttemptResult::Refused)
            raise(life.answeredAt, report.at);
        if (report.leaving) {
            raise(life.leavingAt, report.at);
            life.ownMark = true;
        }
    }
}

void MergeSources::acceptMarks(const std::vector<std::string>& names, core::TimePoint now)
{
    for (const std::string& name : names) {
        if (const auto found = this->lives.find(name); found != this->lives.end())
            raise(found->second.leavingAt, now);
    }
}

void MergeSources::forget(core::TimePoint now)
{
    for (auto& [name, life] : this->lives) {
        if (life.leavingAt && now - *life.leavingAt > markHold && !life.listing.leaving) {
            life.leavingAt.reset();
            life.ownMark = false;
        }
    }
    std::erase_if(this->lives, [&](const auto& entry) {
        const Life& life = entry.second;
        if (life.listed)
            return false;
        // Without an answer since it was last listed, the server gets one hold to be asked.
        const core::TimePoint last = std::max(life.listedAt, life.answeredAt.value_or(life.listedAt));
        return now - last > answerHold;
    });
}

void MergeSources::addServers(Context& context, core::TimePoint now) const
{
    for (const auto& [name, life] : this->lives) {
        const auto place = locate(context.declarations(), life.listing.domain);
        if (!place) {
            context.warnings.push_back("backend server " + name + " is in the undeclared failure domain " + life.listing.domain);
            continue;
        }
        BackendServer server { .listing = life.listing, .region = place->second, .domain = place->first, .report = life.report };
        if (life.startedAt)
            server.warmth = warmthAfter(now - *life.startedAt, warmUpOf(context.declarations(), life.listing.batch));
        if (server.warmth < 1) {
            server.state = core::ServerState::Warming;
            server.isSlowStarting = true;
        }
        if (life.leavingAt) {
            server.state = core::ServerState::Leaving;
            server.warmth = 0;
            if (life.ownMark)
                context.leavingServers.push_back(name);
        }
        context.servers.push_back(std::move(server));
    }
}

}
