#include "control/region_shift.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace cranberryshed::control {

namespace {

    constexpr double maxGrowthPerSecond = 0.2;
    constexpr double maxShrinkPerSecond = 0.1;
    constexpr double deadBand = 0.03;
    constexpr double defaultShiftCapPerMinute = 0.1;
    // Longest time that one step covers. After a pause of the process, a step must not make up for the whole pause.
    constexpr double maxStepSeconds = 2;
    // Share of a region's headroom that bursts of spill-overs can use.
    constexpr double burstShareOfHeadroom = 0.5;

    bool allows(const core::TargetDeclaration* target, const std::string& region)
    {
        return !target || target->allowedRegions.empty() || std::ranges::find(target->allowedRegions, region) != target->allowedRegions.end();
    }

    const core::TargetDeclaration* targetOf(const core::Declarations& declarations, const std::string& className)
    {
        const auto found = std::ranges::find(declarations.targets, className, &core::TargetDeclaration::className);
        return found == declarations.targets.end() ? nullptr : &*found;
    }

    template <typename Declaration>
    std::vector<std::string> namesOf(const std::vector<Declaration>& all)
    {
        std::vector<std::string> names;
        names.reserve(all.size());
        for (const Declaration& declaration : all)
            names.push_back(declaration.name);
        return names;
    }

    // Maps a table of classes and regions to changed lists of names. New regions get 0, new classes an empty row.
    std::vector<std::vector<double>> carryOver(const std::vector<std::vector<double>>& old, const std::vector<std::string>& oldClasses, const std::vector<std::string>& oldRegions, const std::vector<std::string>& classes, const std::vector<std::string>& regions)
    {
        std::vector<std::vector<double>> result(classes.size());
        for (std::size_t i = 0; i < classes.size(); ++i) {
            const auto oldClass = std::ranges::find(oldClasses, classes[i]);
            if (oldClass == oldClasses.end())
                continue;
            const std::vector<double>& row = old[static_cast<std::size_t>(oldClass - oldClasses.begin())];
            if (row.empty())
                continue;
            for (const std::string& region : regions) {
                const auto oldRegion = std::ranges::find(oldRegions, region);
                result[i].push_back(oldRegion == oldRegions.end() ? 0 : row[static_cast<std::size_t>(oldRegion - oldRegions.begin())]);
            }
        }
        return result;
    }

    // Assigns the rest of the traffic to the local region. The remote shares change by steps of different sizes, so
    // their sum can exceed 1; they are scaled down to 1 then.
    void setLocalShare(std::vector<double>& shares, std::size_t localRegion)
    {
        shares[localRegion] = 0;
        const double remote = std::accumulate(shares.begin(), shares.end(), 0.0);
        for (double& share : shares)
            share /= std::max(1.0, remote);
        shares[localRegion] = std::max(0.0, 1 - remote);
    }

    // This VM's limit of requests in flight in each region, see core::ClassEntry::maxInFlightByRegion.
    std::vector<double> regionLimitsOf(const RegionPlanInput& input, const RegionPlan& plan, const std::string& service, std::size_t localRegion)
    {
        const RegionPlanInput::Service& supply = input.services.at(service);
        const double totalMembers = std::accumulate(input.memberCounts.begin(), input.memberCounts.end(), 0.0);
        std::vector<double> limits;
        for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
            if (region == localRegion) {
                limits.push_back(std::numeric_limits<double>::infinity());
                continue;
            }
            const double remoteMembers = std::max(1.0, totalMembers - input.memberCounts[region]);
            const double totalSlots = supply.headroom < 1 ? supply.slots[region] / (1 - supply.headroom) : 0;
            const double burst = burstShareOfHeadroom * supply.headroom * totalSlots / remoteMembers;
            limits.push_back(plan.maxSpillSlots.at(service)[localRegion][region] / std::max(1.0, input.memberCounts[localRegion]) + burst);
        }
        return limits;
    }

}

Step ShiftRegionShares::operator()(Context context, core::TimePoint now)
{
    const core::Declarations& declarations = context.declarations();
    const std::size_t localRegion = context.selfRegion.value;
    const double seconds = std::clamp(std::chrono::duration<double>(now - this->changedAt).count(), 0.0, maxStepSeconds);
    this->changedAt = now;
    this->matchDeclarations(declarations);
    this->updateMaxShares(declarations, seconds / 60);
    context.maxShares = this->maxShares;
    const RegionPlanInput input = makeRegionPlanInput(context);
    const RegionPlan plan = planRegions(input);
    this->moveTowards(plan, localRegion, seconds);
    this->limitToSpillSlots(input, plan, localRegion);
    this->limitToLinks(input, localRegion);
    context.regionShares = this->shares;
    for (const RegionPlanInput::Class& trafficClass : input.classes)
        context.maxInFlightByRegion.push_back(regionLimitsOf(input, plan, trafficClass.service, localRegion));
    return Step::pass(std::move(context));
}

void ShiftRegionShares::matchDeclarations(const core::Declarations& declarations)
{
    std::vector<std::string> classes = namesOf(declarations.classes);
    std::vector<std::string> regions = namesOf(declarations.regions);
    if (classes == this->classNames && regions == this->regionNames)
        return;
    this->maxShares = carryOver(this->maxShares, this->classNames, this->regionNames, classes, regions);
    this->shares = carryOver(this->shares, this->classNames, this->regionNames, classes, regions);
    this->classNames = std::move(classes);
    this->regionNames = std::move(regions);
}

void ShiftRegionShares::updateMaxShares(const core::Declarations& declarations, double minutes)
{
    this->isShiftPending = false;
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        const core::TargetDeclaration* target = targetOf(declarations, declarations.classes[i].name);
        const double cap = target && target->maxShiftPerMinute > 0 ? target->maxShiftPerMinute : defaultShiftCapPerMinute;
        std::vector<double>& row = this->maxShares[i];
        const bool isNewClass = row.empty();
        row.resize(declarations.regions.size(), 0);
        for (std::size_t region = 0; region < row.size(); ++region) {
            const double goal = allows(target, declarations.regions[region].name) ? 1 : 0;
            row[region] = isNewClass ? goal : std::clamp(goal, row[region] - cap * minutes, row[region] + cap * minutes);
            this->isShiftPending |= row[region] != goal;
        }
    }
}

void ShiftRegionShares::moveTowards(const RegionPlan& plan, std::size_t localRegion, double seconds)
{
    for (std::size_t i = 0; i < plan.shares.size(); ++i) {
        const std::vector<double>& goal = plan.shares[i][localRegion];
        std::vector<double>& row = this->shares[i];
        if (row.empty()) {
            row = goal;
            continue;
        }
        for (std::size_t region = 0; region < row.size(); ++region) {
            const double change = goal[region] - row[region];
            const bool endsSpillOver = goal[region] == 0 && row[region] < deadBand;
            if (std::abs(change) >= deadBand || endsSpillOver || this->isShiftPending)
                row[region] += std::clamp(change, -maxShrinkPerSecond * seconds, maxGrowthPerSecond * seconds);
        }
        setLocalShare(row, localRegion);
    }
}

void ShiftRegionShares::limitToSpillSlots(const RegionPlanInput& input, const RegionPlan& plan, std::size_t localRegion)
{
    for (const auto& [service, maxSpillSlots] : plan.maxSpillSlots) {
        for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
            if (region == localRegion)
                continue;
            double usedSlots = 0;
            for (std::size_t i = 0; i < input.classes.size(); ++i)
                usedSlots += input.classes[i].service == service ? this->shares[i][region] * input.classes[i].demand[localRegion].slots : 0;
            if (usedSlots <= maxSpillSlots[localRegion][region])
                continue;
            for (std::size_t i = 0; i < input.classes.size(); ++i) {
                if (input.classes[i].service == service)
                    this->shares[i][region] *= maxSpillSlots[localRegion][region] / usedSlots;
            }
        }
    }
    for (std::vector<double>& row : this->shares)
        setLocalShare(row, localRegion);
}

void ShiftRegionShares::limitToLinks(const RegionPlanInput& input, std::size_t localRegion)
{
    for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
        if (region == localRegion)
            continue;
        double usedMbitPerSecond = 0;
        for (std::size_t i = 0; i < input.classes.size(); ++i)
            usedMbitPerSecond += linkLoadMbitPerSecond(input.classes[i], input.classes[i].demand[localRegion].requestsPerSecond * this->shares[i][region]);
        const double maxMbitPerSecond = maxSpillShareOfLink * input.linkCapacityMbitPerSecond[localRegion][region];
        if (usedMbitPerSecond <= maxMbitPerSecond)
            continue;
        for (std::vector<double>& row : this->shares)
            row[region] *= maxMbitPerSecond / usedMbitPerSecond;
    }
    for (std::vector<double>& row : this->shares)
        setLocalShare(row, localRegion);
}

}
