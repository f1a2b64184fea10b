#include "control/region_shift.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace cranberryshed::control {

namespace {

    constexpr double growthPerSecond = 0.2;
    constexpr double shrinkPerSecond = 0.1;
    constexpr double deadBand = 0.03;
    constexpr double defaultCapPerMinute = 0.1;
    // A process that ran late may not make up for the whole pause in one step.
    constexpr double longestStepSeconds = 2;
    // Part of the headroom that the peaks of spill-overs may use.
    constexpr double burstOfHeadroom = 0.5;

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

    // Carries the rows and columns that still exist over to new names.
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

    // Gives the own region what the others leave. Steps of different sizes may let the others exceed the whole.
    void closeSum(std::vector<double>& shares, std::size_t own)
    {
        shares[own] = 0;
        const double foreign = std::accumulate(shares.begin(), shares.end(), 0.0);
        for (double& share : shares)
            share /= std::max(1.0, foreign);
        shares[own] = std::max(0.0, 1 - foreign);
    }

    // The limit of requests in flight of this VM in each region, see core::ClassEntry::maxInFlightByRegion.
    std::vector<double> limitsOf(const RegionPlanInput& input, const RegionPlan& plan, const std::string& service, std::size_t own)
    {
        const RegionPlanInput::Service& supply = input.services.at(service);
        const double all = std::accumulate(input.memberCounts.begin(), input.memberCounts.end(), 0.0);
        std::vector<double> limits;
        for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
            if (region == own) {
                limits.push_back(std::numeric_limits<double>::infinity());
                continue;
            }
            const double foreign = std::max(1.0, all - input.memberCounts[region]);
            const double full = supply.headroom < 1 ? supply.slots[region] / (1 - supply.headroom) : 0;
            const double burst = burstOfHeadroom * supply.headroom * full / foreign;
            limits.push_back(plan.maxSpillSlots.at(service)[own][region] / std::max(1.0, input.memberCounts[own]) + burst);
        }
        return limits;
    }

}

Step ShiftRegionShares::operator()(Context context, core::TimePoint now)
{
    const core::Declarations& declarations = context.declarations();
    const std::size_t own = context.selfRegion.value;
    const double seconds = std::clamp(std::chrono::duration<double>(now - this->changedAt).count(), 0.0, longestStepSeconds);
    this->changedAt = now;
    this->matchDeclarations(declarations);
    this->admit(declarations, seconds / 60);
    context.allowedShares = this->allowedShares;
    const RegionPlanInput input = makeRegionPlanInput(context);
    const RegionPlan plan = planRegions(input);
    this->moveTowards(plan, own, seconds);
    this->limitToRoom(input, plan, own);
    this->limitToLinks(input, own);
    context.regionShares = this->shares;
    for (const RegionPlanInput::Class& item : input.classes)
        context.maxInFlightByRegion.push_back(limitsOf(input, plan, item.service, own));
    return Step::pass(std::move(context));
}

void ShiftRegionShares::matchDeclarations(const core::Declarations& declarations)
{
    std::vector<std::string> classes = namesOf(declarations.classes);
    std::vector<std::string> regions = namesOf(declarations.regions);
    if (classes == this->classNames && regions == this->regionNames)
        return;
    this->allowedShares = carryOver(this->allowedShares, this->classNames, this->regionNames, classes, regions);
    this->shares = carryOver(this->shares, this->classNames, this->regionNames, classes, regions);
    this->classNames = std::move(classes);
    this->regionNames = std::move(regions);
}

void ShiftRegionShares::admit(const core::Declarations& declarations, double minutes)
{
    this->shifting = false;
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        const core::TargetDeclaration* target = targetOf(declarations, declarations.classes[i].name);
        const double cap = target && target->maxShiftPerMinute > 0 ? target->maxShiftPerMinute : defaultCapPerMinute;
        std::vector<double>& row = this->allowedShares[i];
        const bool first = row.empty();
        row.resize(declarations.regions.size(), 0);
        for (std::size_t region = 0; region < row.size(); ++region) {
            const double wanted = allows(target, declarations.regions[region].name) ? 1 : 0;
            row[region] = first ? wanted : std::clamp(wanted, row[region] - cap * minutes, row[region] + cap * minutes);
            this->shifting |= row[region] != wanted;
        }
    }
}

void ShiftRegionShares::moveTowards(const RegionPlan& plan, std::size_t own, double seconds)
{
    for (std::size_t i = 0; i < plan.shares.size(); ++i) {
        const std::vector<double>& wanted = plan.shares[i][own];
        std::vector<double>& row = this->shares[i];
        if (row.empty()) {
            row = wanted;
            continue;
        }
        for (std::size_t region = 0; region < row.size(); ++region) {
            const double change = wanted[region] - row[region];
            const bool end = wanted[region] == 0 && row[region] < deadBand;
            if (std::abs(change) >= deadBand || end || this->shifting)
                row[region] += std::clamp(change, -shrinkPerSecond * seconds, growthPerSecond * seconds);
        }
        closeSum(row, own);
    }
}

void ShiftRegionShares::limitToRoom(const RegionPlanInput& input, const RegionPlan& plan, std::size_t own)
{
    for (const auto& [service, maxSpillSlots] : plan.maxSpillSlots) {
        for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
            if (region == own)
                continue;
            double used = 0;
            for (std::size_t i = 0; i < input.classes.size(); ++i)
                used += input.classes[i].service == service ? this->shares[i][region] * input.classes[i].demand[own].slots : 0;
            if (used <= maxSpillSlots[own][region])
                continue;
            for (std::size_t i = 0; i < input.classes.size(); ++i) {
                if (input.classes[i].service == service)
                    this->shares[i][region] *= maxSpillSlots[own][region] / used;
            }
        }
    }
    for (std::vector<double>& row : this->shares)
        closeSum(row, own);
}

void ShiftRegionShares::limitToLinks(const RegionPlanInput& input, std::size_t own)
{
    for (std::size_t region = 0; region < input.memberCounts.size(); ++region) {
        if (region == own)
            continue;
        double used = 0;
        for (std::size_t i = 0; i < input.classes.size(); ++i)
            used += linkLoadMbit(input.classes[i], input.classes[i].demand[own].rate * this->shares[i][region]);
        const double budget = maxSpillShareOfLink * input.linkCapacityMbit[own][region];
        if (used <= budget)
            continue;
        for (std::vector<double>& row : this->shares)
            row[region] *= budget / used;
    }
    for (std::vector<double>& row : this->shares)
        closeSum(row, own);
}

}
