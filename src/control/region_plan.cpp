#include "control/region_plan.h"

#include "control/health_and_load.h"

#include <algorithm>
#include <numeric>

namespace cranberryshed::control {

namespace {

    // Share of the spare slots that spill-overs can use. The rest covers the error of load data that is seconds old.
    constexpr double maxUseOfSpare = 0.9;
    // Growth of a region's demand that its digests do not show yet, in slots per slot and second of age. Load peaks
    // build up within tens of seconds, so a digest that is some seconds old hides a part of one.
    constexpr double hiddenGrowthPerSecond = 0.02;
    // Share of the headroom that this hidden growth can use, because the headroom is there for peaks.
    constexpr double growthShareOfHeadroom = 0.15;
    // Spare capacity to assume in a region whose load is unknown, as a share of its slots. It is divided among the
    // other regions by their entry VMs, so their sum stays within it even if all of them spill over there.
    constexpr double assumedSpareShare = 0.05;
    constexpr double defaultAnswerBytes = 16384; // used if the class states no typical size
    constexpr double requestBytes = 1024;
    // Demand to assume for a class without any, so that its first requests get shares.
    constexpr double minSlots = 1e-6;

    // The other regions that a class can use from an origin, nearest first.
    std::vector<std::size_t> reachableTargets(const RegionPlanInput& input, const RegionPlanInput::Class& trafficClass, std::size_t origin)
    {
        std::vector<std::size_t> targets;
        for (std::size_t region = 0; region < input.oneWayDelay.size(); ++region) {
            const core::Duration oneWayDelay = input.oneWayDelay[origin][region];
            const bool isReachable = oneWayDelay >= core::Duration(0) && input.linkCapacityMbitPerSecond[origin][region] > 0;
            // A request whose answer cannot return before the deadline would waste capacity.
            const bool returnsInTime = trafficClass.deadline <= core::Duration(0) || 2 * oneWayDelay < trafficClass.deadline;
            if (region != origin && isReachable && returnsInTime && trafficClass.maxShares[region] > 0)
                targets.push_back(region);
        }
        std::ranges::stable_sort(targets, {}, [&](std::size_t region) { return input.oneWayDelay[origin][region]; });
        return targets;
    }

    // The working state while one service is planned. `position` is an index into `classes`.
    struct ServicePlan {
        std::vector<std::size_t> classes; // indexes into RegionPlanInput::classes
        std::vector<std::vector<double>> slots; // demand by position, by region
        std::vector<std::vector<double>> unassigned; // demand to spill over, by position, by origin
        std::vector<std::vector<std::vector<double>>> assigned; // by position, origin and target region
        std::vector<double> spare; // slots open to other regions, by region
        std::vector<double> overflow; // demand to spill over, by region
        std::vector<double> confidence; // by region
        std::vector<double> ageSeconds; // by region, in seconds
    };

    ServicePlan makeServicePlan(const RegionPlanInput& input, const std::string& service)
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
        plan.unassigned = plan.slots;
        plan.assigned.assign(plan.classes.size(), std::vector<std::vector<double>>(regions, std::vector<double>(regions, 0)));
        for (std::size_t region = 0; region < regions; ++region) {
            double localSlots = 0; // slots of demand that can stay in the region
            for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                const RegionPlanInput::Class& trafficClass = input.classes[plan.classes[position]];
                plan.slots[position][region] = std::max(trafficClass.demand[region].slots, minSlots);
                plan.confidence[region] = std::min(plan.confidence[region], trafficClass.demand[region].confidence);
                plan.ageSeconds[region] = std::max(plan.ageSeconds[region], trafficClass.demand[region].ageSeconds);
                localSlots += plan.slots[position][region] * trafficClass.maxShares[region];
            }
            const double usableSlots = supply.slots[region];
            const double keptShare = localSlots > usableSlots ? usableSlots / localSlots : 1;
            for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                const double maxShare = input.classes[plan.classes[position]].maxShares[region];
                plan.unassigned[position][region] = plan.slots[position][region] * (1 - maxShare * keptShare);
                plan.overflow[region] += plan.unassigned[position][region];
            }
            const double hiddenSlots = std::max(0.0, hiddenGrowthPerSecond * plan.ageSeconds[region] - growthShareOfHeadroom * supply.headroom) * supply.totalSlots[region];
            const double knownSpare = std::max(0.0, usableSlots - localSlots - hiddenSlots) * maxUseOfSpare;
            const double assumedSpare = std::min(knownSpare, assumedSpareShare * supply.totalSlots[region]);
            plan.spare[region] = plan.confidence[region] * knownSpare + (1 - plan.confidence[region]) * assumedSpare;
        }
        return plan;
    }

    // The slots of `target` that each origin can use. Their sum is at most the target's spare slots.
    std::vector<double> divideSpare(const RegionPlanInput& input, const ServicePlan& plan, std::size_t target)
    {
        const std::size_t regions = input.memberCounts.size();
        double remoteMembers = 0;
        for (std::size_t origin = 0; origin < regions; ++origin)
            remoteMembers += origin == target ? 0 : input.memberCounts[origin];
        std::vector<double> granted(regions, 0);
        if (remoteMembers <= 0)
            return granted;
        double unusedSlots = 0;
        double missingSlots = 0;
        for (std::size_t origin = 0; origin < regions; ++origin) {
            if (origin == target)
                continue;
            granted[origin] = plan.spare[target] * input.memberCounts[origin] / remoteMembers;
            unusedSlots += std::max(0.0, granted[origin] - plan.overflow[origin]) * plan.confidence[origin];
            missingSlots += std::max(0.0, plan.overflow[origin] - granted[origin]);
        }
        if (missingSlots <= 0)
            return granted;
        for (std::size_t origin = 0; origin < regions; ++origin) {
            const double missing = std::max(0.0, plan.overflow[origin] - granted[origin]);
            // Slots that an origin does not need are lent to others, so it keeps its own need and the slots not lent.
            const double lent = std::max(0.0, granted[origin] - plan.overflow[origin]) * plan.confidence[origin] * std::min(1.0, missingSlots / std::max(unusedSlots, 1e-12));
            granted[origin] += std::min(unusedSlots, missingSlots) * missing / missingSlots - lent;
        }
        return granted;
    }

    // The slots of a class that are still to be assigned, bounded by its max share in the target region.
    double wantedSlots(const RegionPlanInput::Class& trafficClass, const ServicePlan& plan, std::size_t position, std::size_t origin, std::size_t target)
    {
        return std::min(plan.unassigned[position][origin], plan.slots[position][origin] * trafficClass.maxShares[target]);
    }

    // Services with small answers come first, because a link that is nearly full carries many small answers in place
    // of one large one.
    std::vector<std::string> servicesByAnswerSize(const RegionPlanInput& input)
    {
        std::map<std::string, double> largest;
        for (const RegionPlanInput::Class& trafficClass : input.classes)
            largest[trafficClass.service] = std::max(largest[trafficClass.service], trafficClass.answerBytes > 0 ? trafficClass.answerBytes : defaultAnswerBytes);
        std::vector<std::string> order;
        order.reserve(largest.size());
        for (const auto& [service, answerBytes] : largest)
            order.push_back(service);
        std::ranges::stable_sort(order, {}, [&](const std::string& service) { return largest.at(service); });
        return order;
    }

    // Assigns each origin's overflow of one service to the origin's target of this preference (0: nearest), within
    // the slots and the link capacity that are left.
    void assignSpillOver(const RegionPlanInput& input, ServicePlan& plan, std::vector<std::vector<double>>& slotsLeft, std::vector<std::vector<double>>& linkMbitPerSecondLeft, std::size_t preference)
    {
        const std::size_t regions = input.memberCounts.size();
        for (std::size_t origin = 0; origin < regions; ++origin) {
            for (std::size_t target = 0; target < regions; ++target) {
                double wanted = 0; // slots
                double mbitPerSecond = 0; // link load of these slots
                std::vector<std::size_t> positions;
                for (std::size_t position = 0; position < plan.classes.size(); ++position) {
                    const RegionPlanInput::Class& trafficClass = input.classes[plan.classes[position]];
                    const std::vector<std::size_t> targets = reachableTargets(input, trafficClass, origin);
                    if (preference >= targets.size() || targets[preference] != target || plan.unassigned[position][origin] <= 0)
                        continue;
                    const double slots = wantedSlots(trafficClass, plan, position, origin, target);
                    positions.push_back(position);
                    wanted += slots;
                    mbitPerSecond += linkLoadMbitPerSecond(trafficClass, trafficClass.demand[origin].requestsPerSecond * slots / plan.slots[position][origin]);
                }
                if (positions.empty())
                    continue;
                const double shareBySlots = std::min(1.0, slotsLeft[origin][target] / wanted);
                const double shareByLink = mbitPerSecond > 0 ? std::min(1.0, linkMbitPerSecondLeft[origin][target] / mbitPerSecond) : 1;
                const double part = std::min(shareBySlots, shareByLink);
                for (const std::size_t position : positions) {
                    const double slots = wantedSlots(input.classes[plan.classes[position]], plan, position, origin, target) * part;
                    plan.assigned[position][origin][target] += slots;
                    plan.unassigned[position][origin] -= slots;
                }
                slotsLeft[origin][target] -= wanted * part;
                linkMbitPerSecondLeft[origin][target] -= mbitPerSecond * part;
            }
        }
    }

}

RegionPlan planRegions(const RegionPlanInput& input)
{
    const std::size_t regions = input.memberCounts.size();
    RegionPlan result;
    result.shares.assign(input.classes.size(), std::vector<std::vector<double>>(regions, std::vector<double>(regions, 0)));
    std::vector<std::vector<double>> linkMbitPerSecondLeft = input.linkCapacityMbitPerSecond;
    for (std::vector<double>& row : linkMbitPerSecondLeft) {
        for (double& mbitPerSecond : row)
            mbitPerSecond *= maxSpillShareOfLink;
    }
    for (const std::string& service : servicesByAnswerSize(input)) {
        ServicePlan plan = makeServicePlan(input, service);
        std::vector<std::vector<double>> slotsLeft(regions, std::vector<double>(regions, 0));
        for (std::size_t target = 0; target < regions; ++target) {
            const std::vector<double> slotsByOrigin = divideSpare(input, plan, target);
            for (std::size_t origin = 0; origin < regions; ++origin)
                slotsLeft[origin][target] = slotsByOrigin[origin];
        }
        result.maxSpillSlots.emplace(service, slotsLeft);
        for (std::size_t preference = 0; preference + 1 < regions; ++preference)
            assignSpillOver(input, plan, slotsLeft, linkMbitPerSecondLeft, preference);
        for (std::size_t position = 0; position < plan.classes.size(); ++position) {
            for (std::size_t origin = 0; origin < regions; ++origin) {
                std::vector<double>& shares = result.shares[plan.classes[position]][origin];
                for (std::size_t target = 0; target < regions; ++target)
                    shares[target] = plan.assigned[position][origin][target] / plan.slots[position][origin];
                shares[origin] = std::max(0.0, 1 - std::accumulate(shares.begin(), shares.end(), 0.0));
            }
        }
    }
    return result;
}

double linkLoadMbitPerSecond(const RegionPlanInput::Class& trafficClass, double requestsPerSecond)
{
    return requestsPerSecond * ((trafficClass.answerBytes > 0 ? trafficClass.answerBytes : defaultAnswerBytes) + requestBytes) * 8 / 1e6;
}

RegionPlanInput makeRegionPlanInput(const Context& context)
{
    const core::Declarations& declarations = context.declarations();
    const std::size_t regions = declarations.regions.size();
    RegionPlanInput input;
    for (std::size_t i = 0; i < declarations.classes.size(); ++i) {
        const core::ClassDeclaration& declaration = declarations.classes[i];
        input.classes.push_back({ .service = declaration.service, .demand = context.demand[i], .maxShares = context.maxShares[i], .deadline = declaration.deadline, .answerBytes = static_cast<double>(declaration.typicalBytes) });
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
    input.linkCapacityMbitPerSecond.assign(regions, std::vector<double>(regions, 0));
    for (std::size_t from = 0; from < regions; ++from) {
        for (const core::LinkDeclaration& link : declarations.regions[from].links) {
            const auto to = std::ranges::find(declarations.regions, link.toRegion, &core::RegionDeclaration::name);
            if (to == declarations.regions.end())
                continue;
            const auto toIndex = static_cast<std::size_t>(to - declarations.regions.begin());
            input.oneWayDelay[from][toIndex] = link.oneWayDelay;
            input.linkCapacityMbitPerSecond[from][toIndex] = link.capacityMbitPerSecond;
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
