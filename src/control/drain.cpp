#include "control/drain.h"

#include "control/health_and_load.h"
#include "control/warm_up.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::control {

namespace {

    using Minutes = std::chrono::duration<double, std::ratio<60>>;

    constexpr double paceOfCap = 0.8;
    constexpr core::Duration margin = std::chrono::minutes(2); // between the last work and the contract end
    // A process that ran late may not make up for the whole pause in one step.
    constexpr core::Duration longestStep = std::chrono::seconds(2);
    // Need to assume, as a share of all slots, where the figures are unknown.
    constexpr double unknownNeed = 0.7;
    // Headroom that is left free where a drain would otherwise miss its date. Above it admission control still
    // keeps up with the noise of the load.
    constexpr double leastHeadroom = 0.05;
    constexpr core::WallTime::duration urgency = std::chrono::minutes(1); // before the last moment to start at the cap
    // Part of the other regions' room that a drain counts on. The rest is for their own peaks.
    constexpr double foreignRoom = 0.5;

    core::WallTime::duration toWall(Minutes minutes)
    {
        return std::chrono::duration_cast<core::WallTime::duration>(minutes);
    }

    // What one batch has and needs in the present run.
    struct Batch {
        const core::BatchDeclaration* declaration;
        DrainLimits pace {};
        DrainWindow window {};
        double weight = 0; // share of the traffic of an entry VM that the batch may carry
        double share = 1; // at present
        double wanted = 1; // by the declaration
        double floor = 0; // below which the other servers have no room
    };

    bool belongs(const BackendServer& server, const core::BatchDeclaration& batch)
    {
        return server.listing.batch == batch.name && server.listing.service == batch.service;
    }

    // Slots by region that a batch has when it gets its full share.
    std::vector<double> slotsOf(const Context& context, const core::BatchDeclaration& batch)
    {
        std::vector<double> slots(context.declarations().regions.size(), 0);
        for (const BackendServer& server : context.servers) {
            if (belongs(server, batch) && (server.state == core::ServerState::Active || server.state == core::ServerState::Warming))
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

    double assumedNeed(const ServiceLoad& load)
    {
        return load.confidence * load.demandSlots + (1 - load.confidence) * std::max(load.demandSlots, unknownNeed * load.totalSlots);
    }

    // The least share of the batch with which each region still serves its need below its headroom. The slots of
    // `loads` hold the shares of all batches as they are; `share` is this batch's.
    double floorOf(const std::vector<double>& batchSlots, const std::vector<ServiceLoad>& loads, double headroom, double share)
    {
        double floor = 0;
        for (std::size_t region = 0; region < loads.size(); ++region) {
            if (batchSlots[region] <= 0)
                continue;
            double room = 0;
            for (std::size_t other = 0; other < loads.size(); ++other) {
                if (other != region)
                    room += foreignRoom * std::max(0.0, loads[other].slots * (1 - headroom) - assumedNeed(loads[other]));
            }
            const double required = std::max(0.0, assumedNeed(loads[region]) - room) / (1 - headroom);
            const double others = loads[region].slots - batchSlots[region] * share;
            floor = std::max(floor, (required - others) / batchSlots[region]);
        }
        return std::clamp(floor, 0.0, 1.0);
    }

    // The share for a process that starts in the middle of a drain: what the others have by now, which is the
    // declared share, or what the cap allowed since a late declaration.
    double startShare(const Batch& batch, core::WallTime now)
    {
        if (batch.declaration->declaredAt == core::WallTime {})
            return batch.wanted;
        const Minutes since = std::max(now, batch.declaration->declaredAt) - batch.declaration->declaredAt;
        return std::max(batch.wanted, 1 - batch.pace.maxShiftPerMinute * since.count() / batch.weight);
    }

    // How long the drain still takes at the cap, from the present share on.
    core::WallTime expectedFinish(const Batch& batch, core::WallTime now)
    {
        const Minutes atCap(batch.share * batch.weight / batch.pace.maxShiftPerMinute);
        return std::max(batch.window.finish, now + toWall(atCap));
    }

    core::WallTime lastFinish(const Batch& batch)
    {
        return batch.declaration->contractEnd - std::chrono::duration_cast<core::WallTime::duration>(batch.pace.maxWorkDuration);
    }

    DrainReport statusOf(const Batch& batch, core::WallTime now)
    {
        DrainReport status { .batch = batch.declaration->name, .share = batch.share, .finish = expectedFinish(batch, now), .contractEnd = batch.declaration->contractEnd };
        if (batch.share <= 0)
            status.state = DrainState::Drained;
        else if (status.finish > lastFinish(batch))
            status.state = DrainState::Late;
        else if (now < batch.window.start)
            status.state = DrainState::Planned;
        else
            status.state = batch.floor > batch.wanted && batch.share > batch.wanted ? DrainState::Blocked : DrainState::Draining;
        return status;
    }

    void applyShare(Context& context, const Batch& batch)
    {
        for (BackendServer& server : context.servers) {
            if (!belongs(server, *batch.declaration))
                continue;
            server.warmth *= batch.share;
            if (batch.share <= 0)
                server.state = core::ServerState::Leaving;
        }
    }

}

DrainLimits drainLimitsOf(const core::Declarations& declarations, const core::BatchDeclaration& batch)
{
    DrainLimits pace { .maxShiftPerMinute = shiftCapOf(declarations, batch.service) };
    for (const core::ClassDeclaration& declaration : declarations.classes) {
        if (declaration.service == batch.service)
            pace.maxWorkDuration = std::max(pace.maxWorkDuration, declaration.deadline);
    }
    // Batches whose drains would overlap share the cap.
    const core::WallTime::duration alone = toWall(Minutes(1 / (paceOfCap * pace.maxShiftPerMinute)));
    const auto total = static_cast<int>(std::ranges::count(declarations.batches, batch.service, &core::BatchDeclaration::service));
    const auto together = std::ranges::count_if(declarations.batches, [&](const core::BatchDeclaration& other) {
        const auto apart = other.contractEnd > batch.contractEnd ? other.contractEnd - batch.contractEnd : batch.contractEnd - other.contractEnd;
        return other.service == batch.service && other.contractEnd != core::WallTime {} && apart < alone * total;
    });
    pace.maxShiftPerMinute /= static_cast<double>(std::max<std::ptrdiff_t>(1, together));
    return pace;
}

DrainWindow drainWindowOf(const core::BatchDeclaration& batch, const DrainLimits& pace)
{
    DrainWindow window;
    window.finish = batch.contractEnd - std::chrono::duration_cast<core::WallTime::duration>(pace.maxWorkDuration + margin);
    window.start = window.finish - toWall(Minutes(1 / (paceOfCap * pace.maxShiftPerMinute)));
    // Declared too late for the usual pace: the line is steeper and the cap bounds each entry VM.
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
        Batch batch { .declaration = &declaration, .pace = drainLimitsOf(declarations, declaration) };
        batch.window = drainWindowOf(declaration, batch.pace);
        batch.wanted = drainTargetShare(batch.window, wallTime);
        slots.push_back(slotsOf(context, declaration));
        batch.weight = weightOf(slots.back(), loads);
        const auto [found, added] = this->progress.try_emplace(declaration.name, Progress { .share = 1, .changedAt = now });
        if (added)
            found->second.share = std::max(startShare(batch, wallTime), floorOf(slots.back(), loads, headroom, 1));
        batch.share = found->second.share;
        changedAt = std::min(changedAt, found->second.changedAt);
        batches.push_back(batch);
    }
    // The room of each batch is seen with the present shares of all batches.
    for (std::size_t i = 0; i < batches.size(); ++i) {
        for (std::size_t region = 0; region < loads.size(); ++region)
            loads[region].slots -= slots[i][region] * (1 - batches[i].share);
    }
    // New servers that warm up at the same time use the other half of the cap.
    const double part = context.warmingServices.contains(service) ? 1 - maxWarmUpShareOfCap : 1;
    const Minutes step = std::min<core::Duration>(now - changedAt, longestStep) * part;
    for (std::size_t i = 0; i < batches.size(); ++i) {
        Batch& batch = batches[i];
        const bool urgent = expectedFinish(batch, wallTime) + urgency > lastFinish(batch);
        batch.floor = floorOf(slots[i], loads, urgent ? std::min(headroom, leastHeadroom) : headroom, batch.share);
        const double largest = batch.pace.maxShiftPerMinute * step.count() / batch.weight;
        const double goal = batch.wanted < batch.share ? std::clamp(batch.floor, batch.wanted, batch.share) : batch.wanted;
        const double next = std::clamp(goal, batch.share - largest, batch.share + largest);
        for (std::size_t region = 0; region < loads.size(); ++region)
            loads[region].slots += slots[i][region] * (next - batch.share);
        batch.share = next < 1e-9 ? 0 : next;
        // The servers are gone with the contract, so what is left of their share is lost, not shifted.
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
