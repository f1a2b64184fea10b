#include "decisions/bench.h"
#include "support/steering_model.h"

#include <chrono>

namespace cranberryshed::bench {

namespace {

    constexpr int durationSeconds = 300;

    enum class Policy { Ours,
        AllToNearest,
        Immediate };

    struct PolicyResult {
        double excessShare = 0; // share of the demanded slots that exceeds the slots of the regions to which it is sent
        double maxRegionLoad = 0; // highest load of a region with traffic from other regions, as a share of its slots
        double overloadedSeconds = 0; // of regions with traffic from other regions, summed over regions and services
        double maxLinkLoad = 0; // highest load of a link, as a share of its capacity
        double shareChangePerMinute = 0; // sum of the changes of the busiest region's local share
        double tickUs = 0; // time of one run of one entry VM's control pipeline
    };

    // Returns the region shares of the naive policy: all traffic that exceeds the slots of the home region goes
    // immediately to the nearest region with spare slots.
    std::vector<double> immediateShares(const testing::SteeringModel& model, const std::string& service, std::size_t homeRegion)
    {
        std::vector<double> shares(3, 0);
        const double demand = model.demandSlots(service, homeRegion);
        const double excess = std::max(0.0, demand - model.slots(service, homeRegion));
        shares[homeRegion] = demand > 0 ? 1 - excess / demand : 1;
        for (std::size_t region = 0; region < 3 && excess > 0; ++region) {
            if (region != homeRegion && model.demandSlots(service, region) < model.slots(service, region)) {
                shares[region] = excess / demand;
                return shares;
            }
        }
        shares[homeRegion] = 1;
        return shares;
    }

    double regionLoad(const testing::SteeringModel& model, Policy policy, const std::string& service, std::size_t region, bool remoteCallersOnly)
    {
        if (policy == Policy::Ours)
            return model.loadSlots(service, region, remoteCallersOnly);
        double sum = 0;
        for (std::size_t homeRegion = 0; homeRegion < 3; ++homeRegion) {
            if (remoteCallersOnly && homeRegion == region)
                continue;
            const double share = policy == Policy::AllToNearest ? (homeRegion == region ? 1 : 0) : immediateShares(model, service, homeRegion)[region];
            sum += share * model.demandSlots(service, homeRegion);
        }
        return sum;
    }

    // Two of three regions have peaks at overlapping times, and the third has a load of 40 %. With `failover`, the
    // first region loses its servers after 100 s instead.
    void setLoad(testing::SteeringModel& model, int second, bool failover)
    {
        for (const testing::ModelService& service : model.config.services) {
            const auto peak = [&](int from, double height) { return second < from || second > from + 120 ? 0.4 : 0.4 + height * std::min(1.0, (second - from) / 15.0); };
            model.setDemandSlots(service.name, 0, (failover ? 0.45 : peak(40, 0.85)) * 3 * service.servers / 3.0);
            model.setDemandSlots(service.name, 1, (failover ? 0.45 : peak(80, 0.85)) * 3 * service.servers / 3.0);
            model.setDemandSlots(service.name, 2, 0.4 * 3 * service.servers / 3.0);
        }
        if (failover && second == 100) {
            for (core::ServerListing& server : model.list.servers)
                server.leaving = server.leaving || server.domain.starts_with("r0-");
            ++model.list.version;
        }
    }

    PolicyResult run(const testing::ModelConfig& config, Policy policy, const testing::DigestFaults& faults, bool failover, std::uint64_t seed)
    {
        testing::SteeringModel model(config, faults, seed);
        PolicyResult result;
        double totalDemand = 0;
        double excess = 0;
        double lastShare = -1;
        std::chrono::duration<double, std::micro> spent {};
        for (int second = 0; second < durationSeconds; ++second) {
            setLoad(model, second, failover);
            const auto start = std::chrono::steady_clock::now();
            model.step();
            spent += std::chrono::steady_clock::now() - start;
            for (const testing::ModelService& service : config.services) {
                for (std::size_t region = 0; region < 3; ++region) {
                    const double load = regionLoad(model, policy, service.name, region, false);
                    const double slots = model.slots(service.name, region);
                    totalDemand += model.demandSlots(service.name, region);
                    excess += std::max(0.0, load - slots);
                    if (regionLoad(model, policy, service.name, region, true) <= 1e-6 || model.demandSlots(service.name, region) >= slots)
                        continue;
                    result.maxRegionLoad = std::max(result.maxRegionLoad, load / slots);
                    result.overloadedSeconds += load > slots;
                }
            }
            for (std::size_t from = 0; from < 3 && policy == Policy::Ours; ++from) {
                for (std::size_t to = 0; to < 3; ++to)
                    result.maxLinkLoad = std::max(result.maxLinkLoad, from == to ? 0 : model.spillLinkMbitPerSecond(from, to) / config.linkCapacityMbitPerSecond);
            }
            const double share = policy == Policy::Ours ? model.published(0).table->classes[0].regionShares[0] : 0;
            result.shareChangePerMinute += lastShare < 0 ? 0 : std::abs(share - lastShare) * 60 / durationSeconds;
            lastShare = share;
        }
        result.excessShare = excess / totalDemand;
        result.tickUs = spent.count() / durationSeconds / config.totalMembers;
        return result;
    }

    void add(Report& report, const std::string& name, Policy policy, const PolicyResult& result)
    {
        CaseResult caseResult { .benchmark = "regions", .name = name, .metrics = { { "rejected", result.excessShare }, { "worst_load", result.maxRegionLoad }, { "overloaded_s", result.overloadedSeconds } }, .target = {} };
        if (policy == Policy::Ours) {
            caseResult.metrics.push_back({ "link_worst", result.maxLinkLoad });
            caseResult.metrics.push_back({ "swing_per_min", result.shareChangePerMinute });
            caseResult.metrics.push_back({ "tick_us", result.tickUs });
            caseResult.target = "overloaded_s = 0";
            caseResult.isMet = result.overloadedSeconds == 0;
        }
        report.add(caseResult);
    }

    // The fleet size expected in two years: 460 members, 4 regions, 13 failure domains, 120 sites.
    control::ControlInputs largeFleetInputs()
    {
        constexpr int domains = 13;
        auto declarations = std::make_shared<core::Declarations>();
        for (int region = 0; region < 4; ++region) {
            core::RegionDeclaration declaration { .name = "r" + std::to_string(region), .links = {} };
            for (int other = 0; other < 4; ++other) {
                if (other != region)
                    declaration.links.push_back({ .toRegion = "r" + std::to_string(other), .oneWayDelay = std::chrono::milliseconds(20 + other), .capacityMbitPerSecond = 4000 });
            }
            declarations->regions.push_back(std::move(declaration));
        }
        control::ControlInputs inputs { .self = "vm-0", .selfDomain = "d0" };
        for (int domain = 0; domain < domains; ++domain) {
            const std::string name = "d" + std::to_string(domain);
            declarations->domains.push_back({ .name = name, .region = "r" + std::to_string(domain % 4) });
            core::DomainDigest digest { .domain = name, .measuredAt = core::TimePoint(std::chrono::hours(1)), .members = 36, .classes = {}, .capacities = {} };
            for (int item = 0; item < 12; ++item)
                digest.classes.push_back({ .className = "class-" + std::to_string(item), .demand = 100, .meanTime = std::chrono::milliseconds(20) });
            inputs.digests.push_back(std::move(digest));
        }
        for (int item = 0; item < 12; ++item)
            declarations->classes.push_back({ .name = "class-" + std::to_string(item), .host = {}, .methods = {}, .pathPrefix = {}, .service = "service-" + std::to_string(item % 4), .deadline = std::chrono::seconds(1) });
        for (int site = 0; site < 120; ++site)
            declarations->sites.push_back({ .name = "site-" + std::to_string(site), .nearestDomains = { "d" + std::to_string(site % domains) } });
        inputs.declarations = declarations;
        inputs.serverList = { .version = 1, .receivedAt = core::TimePoint(std::chrono::hours(1)), .servers = {} };
        for (int server = 0; server < 400; ++server)
            inputs.serverList.servers.push_back({ .name = "server-" + std::to_string(server), .address = "127.0.0.1:1", .service = "service-" + std::to_string(server % 4), .batch = "a", .domain = "d" + std::to_string(server % domains) });
        for (int member = 0; member < 460; ++member)
            inputs.members.push_back({ .name = "vm-" + std::to_string(member), .address = "127.0.0.1:2", .domain = "d" + std::to_string(member % domains) });
        return inputs;
    }

    void runLargeFleet(Report& report)
    {
        constexpr int ticks = 50;
        const control::ControlInputs inputs = largeFleetInputs();
        control::ControlPipe pipe = control::makeControlPipe();
        core::TimePoint now(std::chrono::hours(1));
        const auto start = std::chrono::steady_clock::now();
        for (int tick = 0; tick < ticks; ++tick) {
            now += std::chrono::seconds(1);
            pipe(inputs, now);
        }
        const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
        const double tickMs = spent.count() / ticks;
        report.add({ .benchmark = "regions", .name = "two years, 460 members, one run", .metrics = { { "tick_ms", tickMs } }, .target = "tick_ms <= 14 (1.4 % of a core)", .isMet = tickMs <= 14 });
    }

}

void regions(Report& report, std::uint64_t seed)
{
    const testing::DigestFaults clean {};
    const testing::DigestFaults faulty { .lost = 0.3, .duplicated = 0.2, .maxDelaySeconds = 4, .noise = 0.05 };
    for (const testing::ModelConfig& config : { testing::foundry(), testing::schools() }) {
        for (const bool failover : { false, true }) {
            const std::string name = config.name + (failover ? ", region lost" : ", two peaks");
            add(report, name + ", ours", Policy::Ours, run(config, Policy::Ours, clean, failover, seed));
            add(report, name + ", ours, faulty digests", Policy::Ours, run(config, Policy::Ours, faulty, failover, seed));
            add(report, name + ", all to nearest", Policy::AllToNearest, run(config, Policy::AllToNearest, clean, failover, seed));
            add(report, name + ", immediate spill", Policy::Immediate, run(config, Policy::Immediate, clean, failover, seed));
        }
    }
    runLargeFleet(report);
}

}
