#include "control/drain.h"

#include "control/health_and_load.h"
#include "control/warm_up.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::control {

namespace {

    using Minutes = std::chrono::duration<double, std::ratio<60>>;

    constexpr double plannedShareOfCap = 0.8; // see drainWindowOf
    // Time between the end of the longest request and the contract end.
    constexpr core::Duration finishMargin = std::chrono::minutes(2);
    // Longest time that one step covers. After a pause of the process, a step must not make up for the whole pause.
    constexpr core::Duration maxStep = std::chrono::seconds(2);
    // Demand to assume in a region whose load is unknown, as a share of all slots.
    constexpr double assumedDemandShare = 0.7;
    // Headroom that stays free where a drain would otherwise miss its date. With this much headroom admission control
    // still copes with the noise of the load.
    constexpr double minHeadroom = 0.05;
    // A drain is urgent this long before it can no longer end in time at the cap.
    constexpr core::WallTime::duration urgentLeadTime = std::chrono::minutes(1);
    // Share of the other regions' spare slots that a drain counts on. The rest is for their own peaks.
    constexpr double maxUseOfRemoteSpare = 0.5;

    core::WallTime::duration toWall(Minutes minutes)
    {
        return std::chrono::duration_cast<core::WallTime::duration>(minutes);
    }

    // The state of one batch in the current run.
    struct Batch {
        const core::BatchDeclaration* declaration;
        DrainLimits limits {};
        DrainWindow window {};
        double weight = 0; // largest share of an entry VM's traffic that the batch can carry
        double share = 1; // current share of its usual traffic
        double targetShare = 1; // by declaration and time
        double minShare = 0; // below it the other servers lack capacity
    };

    bool isInBatch(const BackendServer& server, const core::BatchDeclaration& batch)
    {
        return server.listing.batch == batch.name && server.listing.service == batch.service;
    }

    // The slots by region that a batch has at its full share.
    std::vector<double> slotsOf(const Context& context, const core::BatchDeclaration& batch)
    {
        std::vector<double> slots(context.declarations().regions.size(), 0);
        for (const BackendServer& server : context.servers) {
            if (isInBatch(server, batch) && (server.state == core::ServerState::Active || server.state == core::ServerState::Warming))
                slots[server.region.value] += server.listing.slots * server.warmth;
        }
        return slots;
    }

    // Home subsets make the traffic of one entry VM uneven, so a batch counts with twice its share of the slots.
    double weightOf(const std::vector<double>& batchSlots, const std::vector<ServiceLoad>& loads)
    {
        double batch = 0;
        double all = 0;
        for (std::size_t region = 0; region < loads.size(); ++region) {
            batch += batchSlots[region];
            all += loads[region].slots;
        }
        return all > 0 ? std::min(1.0, 2 * batch / all) : 1;
    }

    double assumedDemandSlots(const ServiceLoad& load)
    {
        return load.confidence * load.demandSlots + (1 - load.confidence) * std::max(load.demandSlots, assumedDemandShare * load.totalSlots);
    }

    // The smallest share of the batch with which each region still serves its demand without using its headroom. The
    // slots in `loads` reflect the current shares of all batches; `share` is the current share of this batch.
    double minShareOf(const std::vector<double>& batchSlots, const std::vector<ServiceLoad>& loads, double headroom, double share)
    {
        double minShare = 0;
        for (std::size_t region = 0; region < loads.size(); ++region) {
            if (batchSlots[region] <= 0)
                continue;
            double remoteSpare = 0;
            for (std::size_t other = 0; other < loads.size(); ++other) {
                if (other != region)
                    remoteSpare += maxUseOfRemoteSpare * std::max(0.0, loads[other].slots * (1 - headroom) - assumedDemandSlots(loads[other]));
            }
            const double required = std::max(0.0, assumedDemandSlots(loads[region]) - remoteSpare) / (1 - headroom);
            const double others = loads[region].slots - batchSlots[region] * share;
            minShare = std::max(minShare, (required - others) / batchSlots[region]);
        }
        return std::clamp(minShare, 0.0, 1.0);
    }

    // The initial share of a process that starts during a drain. It matches the other entry VMs: the target share, or
    // the share that the cap allows by now after a late declaration.
    double startShare(const Batch& batch, core::WallTime now)
    {
        if (batch.declaration->declaredAt == core::WallTime {})
            return batch.targetShare;
        const Minutes since = std::max(now, batch.declaration->declaredAt) - batch.declaration->declaredAt;
        return std::max(batch.targetShare, 1 - batch.limits.maxShiftPerMinute * since.count() / batch.weight);
    }

    // The expected end of the drain if it moves at the cap from the current share on.
    core::WallTime expectedFinish(const Batch& batch, core::WallTime now)
    {
        const Minutes atCap(batch.share * batch.weight / batch.limits.maxShiftPerMinute);
        return std::max(batch.window.finish, now + toWall(atCap));
    }

    core::WallTime latestFinish(const Batch& batch)
    {
        return batch.declaration->contractEnd - std::chrono::duration_cast<core::WallTime::duration>(batch.limits.maxWorkDuration);
    }

    DrainReport statusOf(const Batch& batch, core::WallTime now)
    {
        DrainReport status { .batch = batch.declaration->name, .share = batch.share, .expectedFinish = expectedFinish(batch, now), .contractEnd = batch.declaration->contractEnd };
        if (batch.share <= 0)
            status.state = DrainState::Drained;
        else if (status.expectedFinish > latestFinish(batch))
            status.state = DrainState::Late;
        else if (now < batch.window.start)
            status.state = DrainState::Planned;
        else
            status.state = batch.minShare > batch.targetShare && batch.share > batch.targetShare ? DrainState::Blocked : DrainState::Draining;
        return status;
    }

    void applyShare(Context& context, const Batch& batch)
    {
        for (BackendServer& server : context.servers) {
            if (!isInBatch(server, *batch.declaration))
                continue;
            server.warmth *= batch.share;
            if (batch.share <= 0)
                server.state = core::ServerState::Leaving;
        }
    }

}

DrainLimits drainLimitsOf(const core::Declarations& declarations, const core::BatchDeclaration& batch)
{
    DrainLimits limits { .maxShiftPerMinute = shiftCapOf(declarations, batch.service) };
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        if (declaration.service == batch.service)
            limits.maxWorkDuration = std::max(limits.maxWorkDuration, declaration.deadline);
    }
    // Batches of one service whose drains would overlap share the cap.
    const core::WallTime::duration soloDuration = toWall(Minutes(1 / (plannedShareOfCap * limits.maxShiftPerMinute)));
    const auto total = static_cast<int>(std::ranges::count(declarations.batches, batch.service, &core::BatchDeclaration::service));
    const auto overlapping = std::ranges::count_if(declarations.batches, [&](const core::BatchDeclaration& other) {
        const auto distance = other.contractEnd > batch.contractEnd ? other.contractEnd - batch.contractEnd : batch.contractEnd - other.contractEnd;
        return other.service == batch.service && other.contractEnd != core::WallTime {} && distance < soloDuration * total;
    });
    limits.maxShiftPerMinute /= static_cast<double>(std::max<std::ptrdiff_t>(1, overlapping));
    return limits;
}

DrainWindow drainWindowOf(const core::BatchDeclaration& batch, const DrainLimits& limits)
{
    DrainWindow window;
    window.finish = batch.contractEnd - std::chrono::duration_cast<core::WallTime::duration>(limits.maxWorkDuration + finishMargin);
    window.start = window.finish - toWall(Minutes(1 / (plannedShareOfCap * limits.maxShiftPerMinute)));
    // If the contract end is declared too late for the planned rate, the target share falls faster and the cap bounds
    // each entry VM.
    window.start = std::max(window.start, batch.declaredAt);
    return window;
}

double drainTargetShare(const DrainWindow& window, core::WallTime now)
{
    if (now >= window.finish)
        return 0;
    if (now <= window.start)
        return 1;
    const Minutes left = window.finish - now;
    const Minutes whole = window.finish - window.start;
    return left / whole;
}

Step PlanDrains::operator()(Context context, core::TimePoint now)
{
    std::vector<std::string> services;
    for (const core::BatchDeclaration& batch : context.declarations().batches) {
        if (std::ranges::find(services, batch.service) == services.end())
            services.push_back(batch.service);
    }
    for (const std::string& service : services)
        this->drainService(context, service, now);
    std::erase_if(this->progress, [&](const auto& entry) {
        return std::ranges::find(context.declarations().batches, entry.first, &core::BatchDeclaration::name) == context.declarations().batches.end();
    });
    computeServiceLoads(context);
    return Step::pass(std::move(context));
}

void PlanDrains::drainService(Context& context, const std::string& service, core::TimePoint now)
{
    const core::Declarations& declarations = context.declarations();
    const core::WallTime wallTime = context.inputs.wallTime;
    const double headroom = headroomOf(declarations, service);
    std::vector<ServiceLoad> loads(declarations.regions.size());
    if (const auto found = context.services.find(service); found != context.services.end())
        loads = found->second;

    std::vector<Batch> batches;
    std::vector<std::vector<double>> slots;
    core::TimePoint changedAt = now;
    for (const core::BatchDeclaration& declaration : declarations.batches) {
        if (declaration.service != service || declaration.contractEnd == core::WallTime {})
            continue;
        Batch batch { .declaration = &declaration, .limits = drainLimitsOf(declarations, declaration) };
        batch.window = drainWindowOf(declaration, batch.limits);
        batch.targetShare = drainTargetShare(batch.window, wallTime);
        slots.push_back(slotsOf(context, declaration));
        batch.weight = weightOf(slots.back(), loads);
        const auto [found, added] = this->progress.try_emplace(declaration.name, Progress { .share = 1, .changedAt = now });
        if (added)
            found->second.share = std::max(startShare(batch, wallTime), minShareOf(slots.back(), loads, headroom, 1));
        batch.share = found->second.share;
        changedAt = std::min(changedAt, found->second.changedAt);
        batches.push_back(batch);
    }
    // The minimum share of each batch is computed with the current shares of all batches.
    for (std::size_t i = 0; i < batches.size(); ++i) {
        for (std::size_t region = 0; region < loads.size(); ++region)
            loads[region].slots -= slots[i][region] * (1 - batches[i].share);
    }
    // While new servers warm up, they use a part of the cap and drains use the rest.
    const double part = context.warmingServices.contains(service) ? 1 - maxWarmUpShareOfCap : 1;
    const Minutes step = std::min<core::Duration>(now - changedAt, maxStep) * part;
    for (std::size_t i = 0; i < batches.size(); ++i) {
        Batch& batch = batches[i];
        const bool isUrgent = expectedFinish(batch, wallTime) + urgentLeadTime > latestFinish(batch);
        batch.minShare = minShareOf(slots[i], loads, isUrgent ? std::min(headroom, minHeadroom) : headroom, batch.share);
        const double maxChange = batch.limits.maxShiftPerMinute * step.count() / batch.weight;
        const double goal = batch.targetShare < batch.share ? std::clamp(batch.minShare, batch.targetShare, batch.share) : batch.targetShare;
        const double next = std::clamp(goal, batch.share - maxChange, batch.share + maxChange);
        for (std::size_t region = 0; region < loads.size(); ++region)
            loads[region].slots += slots[i][region] * (next - batch.share);
        batch.share = next < 1e-9 ? 0 : next;
        // The servers end with the contract, so the rest of their share is lost rather than shifted.
        if (wallTime >= batch.declaration->contractEnd)
            batch.share = 0;
        this->progress[batch.declaration->name] = { .share = batch.share, .changedAt = now };
        applyShare(context, batch);
        context.drains.push_back(statusOf(batch, wallTime));
        const DrainState state = context.drains.back().state;
        if (state == DrainState::Late || state == DrainState::Blocked)
            context.warnings.push_back("drain of batch " + batch.declaration->name + " is " + std::string(core::nameOf(state)));
    }
}

}
