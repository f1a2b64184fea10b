#include "control/region_plan.h"

#include "control/health_and_load.h"

#include <algorithm>
#include <numeric>

namespace cranberryshed::control {

namespace {

    // Part of the spare slots that a spill-over may use. The rest is for the error of figures that are seconds old.
    constexpr double spareUse = 0.9;
    // The need of a region that its figures do not show yet, in slots per slot and second of age. Peaks of the users
    // start within tens of seconds, so a figure of some seconds hides a part of one.
    constexpr double hiddenGrowth = 0.02;
    // Part of the headroom that hidden growth may use: the headroom is there for peaks.
    constexpr double growthOfHeadroom = 0.15;
    // Spare to assume in a region without known figures, as a share of its slots. With the division by entry VMs
    // the sum stays below it even if all regions spill over there.
    constexpr double unknownSpare = 0.05;
    constexpr double unknownBytes = 16384; // of an answer whose class states none
    constexpr double requestBytes = 1024;
    // Slots of a class without any demand, so that its first requests have a place.
    constexpr double leastSlots = 1e-6;

    // The regions that a class may use from an origin, nearest first.
    std::vector<std::size_t> targetsOf(const RegionPlanInput& input, const RegionPlanInput::Class& item, std::size_t origin)
    {
        std::vector<std::size_t> targets;
        for (std::size_t region = 0; region < input.oneWayDelay.size(); ++region) {
            const core::Duration oneWayDelay = input.oneWayDelay[origin][region];
            const bool reachable = oneWayDelay >= core::Duration(0) && input.linkCapacityMbit[origin][region] > 0;
            // An answer that cannot return before the deadline is wasted work.
            const bool inTime = item.deadline <= core::Duration(0) || 2 * oneWayDelay < item.deadline;
            if (region != origin && reachable && inTime && item.allowedShares[region] > 0)
                targets.push_back(region);
        }
        std::ranges::stable_sort(targets, {}, [&](std::size_t region) { return input.oneWayDelay[origin][region]; });
        return targets;
    }

    // Everything about one service while its plan is made.
    struct ServicePlan {
        std::vector<std::size_t> classes;
        std::vector<std::vector<double>> slots; // needed, by position in classes, by region
        std::vector<std::vector<double>> left; // without a place yet
        std::vector<std::vector<std::vector<double>>> placed; // by position, origin, target
        std::vector<double> spare; // by region
        std::vector<double> overflow; // by region
        std::vector<double> confidence; // by region
        std::vector<double> ageSeconds; // by region, in seconds
    };

    ServicePlan startPlan(const RegionPlanInput& input, const std::string& service)
    {
        const std::size_t regions = input.memberCounts.size();
        const RegionPlanInput::Service& supply = input.services.at(service);
        ServicePlan plan;
        plan.confidence.assign(regions, 1);
        for (std::size_t i = 0; i < input.classes.size(); ++i) {
            if (input.classes[i].service == service)
                plan.classes.push_back(i);
        }
        plan.ageSeconds.assign(regions, 0);
        plan.spare.assign(regions, 0);
        plan.overflow.assign(regions, 0);
        plan.slots.assign(plan.classes.size(), std::vector<double>(regions, 0));
        plan.left = plan.slots;
        plan.placed.assign(plan.classes.size(), std::vector<std::vector<double>>(regions, std::vector<double>(regions, 0)));
        for (std::size_t region = 0; region < regions; ++region) {
            double local = 0; // that may stay in the region
            for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                const RegionPlanInput::Class& item = input.classes[plan.classes[position]];
                plan.slots[position][region] = std::max(item.demand[region].slots, leastSlots);
                plan.confidence[region] = std::min(plan.confidence[region], item.demand[region].confidence);
                plan.ageSeconds[region] = std::max(plan.ageSeconds[region], item.demand[region].ageSeconds);
                local += plan.slots[position][region] * item.allowedShares[region];
            }
            const double usable = supply.slots[region];
            const double kept = local > usable ? usable / local : 1;
            for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                const double allowedShares = input.classes[plan.classes[position]].allowedShares[region];
                plan.left[position][region] = plan.slots[position][region] * (1 - allowedShares * kept);
                plan.overflow[region] += plan.left[position][region];
            }
            const double hidden = std::max(0.0, hiddenGrowth * plan.ageSeconds[region] - growthOfHeadroom * supply.headroom) * supply.totalSlots[region];
            const double known = std::max(0.0, usable - local - hidden) * spareUse;
            const double assumed = std::min(known, unknownSpare * supply.totalSlots[region]);
            plan.spare[region] = plan.confidence[region] * known + (1 - plan.confidence[region]) * assumed;
        }
        return plan;
    }

    // The slots of `target` that each origin may take. Sums to at most its spare.
    std::vector<double> divideSpare(const RegionPlanInput& input, const ServicePlan& plan, std::size_t target)
    {
        const std::size_t regions = input.memberCounts.size();
        double members = 0;
        for (std::size_t origin = 0; origin < regions; ++origin)
            members += origin == target ? 0 : input.memberCounts[origin];
        std::vector<double> maxSpillSlots(regions, 0);
        if (members <= 0)
            return maxSpillSlots;
        double unused = 0;
        double excess = 0;
        for (std::size_t origin = 0; origin < regions; ++origin) {
            if (origin == target)
                continue;
            maxSpillSlots[origin] = plan.spare[target] * input.memberCounts[origin] / members;
            unused += std::max(0.0, maxSpillSlots[origin] - plan.overflow[origin]) * plan.confidence[origin];
            excess += std::max(0.0, plan.overflow[origin] - maxSpillSlots[origin]);
        }
        if (excess <= 0)
            return maxSpillSlots;
        for (std::size_t origin = 0; origin < regions; ++origin) {
            const double more = std::max(0.0, plan.overflow[origin] - maxSpillSlots[origin]);
            // What an origin does not need itself is lent out, so it keeps only its need and the unlent part.
            const double lent = std::max(0.0, maxSpillSlots[origin] - plan.overflow[origin]) * plan.confidence[origin] * std::min(1.0, excess / std::max(unused, 1e-12));
            maxSpillSlots[origin] += std::min(unused, excess) * more / excess - lent;
        }
        return maxSpillSlots;
    }

    // What is left of a class, as far as its targets admit it in the region.
    double wantedOf(const RegionPlanInput::Class& item, const ServicePlan& plan, std::size_t position, std::size_t origin, std::size_t target)
    {
        return std::min(plan.left[position][origin], plan.slots[position][origin] * item.allowedShares[target]);
    }

    // Services with small answers first: a link that is nearly full carries many of them for one large one.
    std::vector<std::string> serviceOrder(const RegionPlanInput& input)
    {
        std::map<std::string, double> largest;
        for (const RegionPlanInput::Class& item : input.classes)
            largest[item.service] = std::max(largest[item.service], item.answerBytes > 0 ? item.answerBytes : unknownBytes);
        std::vector<std::string> order;
        order.reserve(largest.size());
        for (const auto& [service, answerBytes] : largest)
            order.push_back(service);
        std::ranges::stable_sort(order, {}, [&](const std::string& service) { return largest.at(service); });
        return order;
    }

    // Grants the wants of one service at one target for each origin, within the room.
    void grant(const RegionPlanInput& input, ServicePlan& plan, std::vector<std::vector<double>>& maxSpillSlots, std::vector<std::vector<double>>& link, std::size_t choice)
    {
        const std::size_t regions = input.memberCounts.size();
        for (std::size_t origin = 0; origin < regions; ++origin) {
            for (std::size_t target = 0; target < regions; ++target) {
                double wanted = 0;
                double mbit = 0;
                std::vector<std::size_t> takers;
                for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                    const RegionPlanInput::Class& item = input.classes[plan.classes[position]];
                    const std::vector<std::size_t> targets = targetsOf(input, item, origin);
                    if (choice >= targets.size() || targets[choice] != target || plan.left[position][origin] <= 0)
                        continue;
                    const double slots = wantedOf(item, plan, position, origin, target);
                    takers.push_back(position);
                    wanted += slots;
                    mbit += linkLoadMbit(item, item.demand[origin].rate * slots / plan.slots[position][origin]);
                }
                if (takers.empty())
                    continue;
                const double byRoom = std::min(1.0, maxSpillSlots[origin][target] / wanted);
                const double byLink = mbit > 0 ? std::min(1.0, link[origin][target] / mbit) : 1;
                const double part = std::min(byRoom, byLink);
                for (const std::size_t position : takers) {
                    const double slots = wantedOf(input.classes[plan.classes[position]], plan, position, origin, target) * part;
                    plan.placed[position][origin][target] += slots;
                    plan.left[position][origin] -= slots;
                }
                maxSpillSlots[origin][target] -= wanted * part;
                link[origin][target] -= mbit * part;
            }
        }
    }

}

RegionPlan planRegions(const RegionPlanInput& input)
{
    const std::size_t regions = input.memberCounts.size();
    RegionPlan result;
    result.shares.assign(input.classes.size(), std::vector<std::vector<double>>(regions, std::vector<double>(regions, 0)));
    std::vector<std::vector<double>> link = input.linkCapacityMbit;
    for (std::vector<double>& row : link) {
        for (double& mbit : row)
            mbit *= maxSpillShareOfLink;
    }
    for (const std::string& service : serviceOrder(input)) {
        ServicePlan plan = startPlan(input, service);
        std::vector<std::vector<double>> maxSpillSlots(regions, std::vector<double>(regions, 0));
        for (std::size_t target = 0; target < regions; ++target) {
            const std::vector<double> division = divideSpare(input, plan, target);
            for (std::size_t origin = 0; origin < regions; ++origin)
                maxSpillSlots[origin][target] = division[origin];
        }
        result.maxSpillSlots.emplace(service, maxSpillSlots);
        for (std::size_t choice = 0; choice + 1 < regions; ++choice)
            grant(input, plan, maxSpillSlots, link, choice);
        for (std::size_t position = 0; position < plan.classes.size(); ++position) {
            for (std::size_t origin = 0; origin < regions; ++origin) {
                std::vector<double>& shares = result.shares[plan.classes[position]][origin];
                for (std::size_t target = 0; target < regions; ++target)
                    shares[target] = plan.placed[position][origin][target] / plan.slots[position][origin];
                shares[origin] = std::max(0.0, 1 - std::accumulate(shares.begin(), shares.end(), 0.0));
            }
        }
    }
    return result;
}

double linkLoadMbit(const RegionPlanInput::Class& item, double rate)
{
    return rate * ((item.answerBytes > 0 ? item.answerBytes : unknownBytes) + requestBytes) * 8 / 1e6;
}

RegionPlanInput makeRegionPlanInput(const Context& context)
{
    const core::Declarations& declarations = context.declarations();
    const std::size_t regions = declarations.regions.size();
    RegionPlanInput input;
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        const core::ClassDeclaration& declaration = declarations.classes[i];
        input.classes.push_back({ .service = declaration.service, .demand = context.demand[i], .allowedShares = context.allowedShares[i], .deadline = declaration.deadline, .answerBytes = static_cast<double>(declaration.typicalBytes) });
        RegionPlanInput::Service& service = input.services[declaration.service];
        if (!service.slots.empty())
            continue;
        service.headroom = headroomOf(declarations, declaration.service);
        for (const ServiceLoad& load : context.services.at(declaration.service)) {
            service.slots.push_back(load.slots * (1 - service.headroom));
            service.totalSlots.push_back(load.totalSlots);
        }
    }
    input.oneWayDelay.assign(regions, std::vector<core::Duration>(regions, core::Duration(-1)));
    input.linkCapacityMbit.assign(regions, std::vector<double>(regions, 0));
    for (std::size_t from = 0; from < regions; ++from) {
        for (const core::LinkDeclaration& link : declarations.regions[from].links) {
            const auto to = std::ranges::find(declarations.regions, link.toRegion, &core::RegionDeclaration::name);
            if (to == declarations.regions.end())
                continue;
            const auto toIndex = static_cast<std::size_t>(to - declarations.regions.begin());
            input.oneWayDelay[from][toIndex] = link.oneWayDelay;
            input.linkCapacityMbit[from][toIndex] = link.capacityMbitPerSecond;
        }
    }
    input.memberCounts.assign(regions, 0);
    for (const MemberInfo& member : context.inputs.members) {
        const auto domain = std::ranges::find(declarations.domains, member.domain, &core::DomainDeclaration::name);
        if (domain == declarations.domains.end() || (member.state != core::MemberState::Alive && member.state != core::MemberState::Suspect))
            continue;
        const auto region = std::ranges::find(declarations.regions, domain->region, &core::RegionDeclaration::name);
        if (region != declarations.regions.end())
            ++input.memberCounts[static_cast<std::size_t>(region - declarations.regions.begin())];
    }
    return input;
}

}
