#include "support/steering_model.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
namespace testing = cranberryshed::testing;

namespace {

// The shares without any spill-over: a region keeps all its traffic.
std::vector<double> allLocal(std::size_t localRegion, std::size_t regions)
{
    std::vector<double> shares(regions, 0);
    shares[localRegion] = 1;
    return shares;
}

// The load above all slots, as a share of the slots, of the most loaded region that gets traffic from other regions. At
// most 0 if no such region is overloaded.
double worstOverload(const testing::SteeringModel& model)
{
    double worst = -1;
    for (const auto& service : model.config.services) {
        for (std::size_t region = 0; region < 3; ++region) {
            if (model.loadSlots(service.name, region, true) > 1e-6)
                worst = std::max(worst, model.loadSlots(service.name, region) / model.slots(service.name, region) - 1);
        }
    }
    return worst;
}

double rejectedSlots(const testing::SteeringModel& model, const std::string& service)
{
    double rejected = 0;
    for (std::size_t region = 0; region < 3; ++region)
        rejected += std::max(0.0, model.loadSlots(service, region) - model.slots(service, region));
    return rejected;
}

}

// Guards against traffic that leaves its region although the region has spare capacity.
TEST_CASE("without overload every region keeps all its traffic", "[regions]")
{
    for (const testing::ModelConfig& config : { testing::foundry(), testing::schools() }) {
        testing::SteeringModel model(config, { .noise = 0.05 }, 7);
        for (const auto& service : config.services) {
            for (std::size_t region = 0; region < 3; ++region)
                model.setDemandSlots(service.name, region, 0.6 * model.slots(service.name, region));
        }
        for (int second = 0; second < 30; ++second)
            model.step();
        for (std::size_t member = 0; member < model.memberCount(); ++member) {
            for (const core::ClassEntry& entry : model.published(member).table->classes)
                CHECK(entry.regionShares == allLocal(model.regionOf(member), 3));
        }
    }
}

// Guards against requests that are rejected in an overloaded region while another region has spare capacity.
TEST_CASE("an overloaded region spills over to regions with spare capacity", "[regions]")
{
    testing::SteeringModel model(testing::schools(), {}, 3);
    for (std::size_t region = 0; region < 3; ++region)
        model.setDemandSlots("repo-core", region, 0.3 * model.slots("repo-core", region));
    model.setDemandSlots("repo-core", 0, 1.4 * model.slots("repo-core", 0));
    const double excessSlots = 0.4 * model.slots("repo-core", 0);
    for (int second = 0; second < 30; ++second)
        model.step();
    CHECK(rejectedSlots(model, "repo-core") < 0.05 * excessSlots);
    CHECK(worstOverload(model) <= 0);
}

// Guards against spill-overs that overload the receiving region or a link. They come about if two regions each use all
// spare slots of a third, or if the entry VMs decide on different digests.
TEST_CASE("no region is overloaded by spill-overs with lost, late and duplicated digests", "[regions]")
{
    for (const testing::ModelConfig& config : { testing::foundry(), testing::schools() }) {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            testing::SteeringModel model(config, { .lost = 0.3, .duplicated = 0.2, .maxDelaySeconds = 4, .noise = 0.05 }, seed);
            core::RandomEngine random(seed);
            std::map<std::string, std::array<double, 3>> level;
            std::map<std::string, std::array<double, 3>> goal;
            double worst = -1;
            for (int second = 0; second < 240; ++second) {
                for (const auto& service : config.services) {
                    for (std::size_t region = 0; region < 3; ++region) {
                        if (second % 40 == 0)
                            goal[service.name][region] = 0.2 + 1.3 * std::uniform_real_distribution<double>(0, 1)(random);
                        double& now = level[service.name][region];
                        now += std::clamp(goal[service.name][region] - now, -0.04, 0.04);
                        model.setDemandSlots(service.name, region, now * model.slots(service.name, region));
                    }
                }
                model.digestsMuted = second > 100 && second < 130;
                model.step();
                for (const auto& service : config.services) {
                    for (std::size_t region = 0; region < 3; ++region) {
                        // A region whose own callers nearly fill its slots is not overloaded by spill-overs.
                        if (model.demandSlots(service.name, region) < 0.95 * model.slots(service.name, region) && model.loadSlots(service.name, region, true) > 1e-6)
                            worst = std::max(worst, model.loadSlots(service.name, region) / model.slots(service.name, region) - 1);
                    }
                }
                for (std::size_t from = 0; from < 3; ++from) {
                    for (std::size_t to = 0; to < 3; ++to)
                        CHECK((from == to || model.spillLinkMbitPerSecond(from, to) <= config.linkCapacityMbitPerSecond));
                }
            }
            INFO(config.name << " seed " << seed);
            CHECK(worst <= 0);
        }
    }
}

// Guards against a spill-over into a region whose own load peak is not visible yet, as its digests are seconds old.
TEST_CASE("a fast peak in the receiving region does not overload it", "[regions]")
{
    double worst = -1;
    for (std::uint64_t seed = 2; seed <= 7; ++seed) {
        testing::SteeringModel model(testing::schools(), { .lost = 0.3, .duplicated = 0.2, .maxDelaySeconds = 4, .noise = 0.05 }, seed);
        for (int second = 0; second < 160; ++second) {
            for (std::size_t region = 0; region < 3; ++region) {
                const int start = region == 0 ? 40 : 80;
                const double peak = region == 2 || second < start ? 0 : 0.85 * std::min(1.0, (second - start) / 15.0);
                model.setDemandSlots("repo-core", region, (0.4 + peak) * 25);
            }
            model.step();
            for (std::size_t region = 0; region < 3; ++region) {
                const double slots = model.slots("repo-core", region);
                if (model.demandSlots("repo-core", region) < slots && model.loadSlots("repo-core", region, true) > 1e-6)
                    worst = std::max(worst, model.loadSlots("repo-core", region) / slots - 1);
            }
        }
    }
    CHECK(worst <= 0);
}

// Guards against a spill-over that keeps its size after digests stop, when the load of the other regions is unknown.
TEST_CASE("a spill-over shrinks to a safe share as digests age", "[regions]")
{
    testing::SteeringModel model(testing::schools(), {}, 5);
    for (std::size_t region = 0; region < 3; ++region)
        model.setDemandSlots("repo-core", region, 0.2 * model.slots("repo-core", region));
    model.setDemandSlots("repo-core", 0, 1.3 * model.slots("repo-core", 0));
    for (int second = 0; second < 20; ++second)
        model.step();
    const double fresh = model.loadSlots("repo-core", 1, true) + model.loadSlots("repo-core", 2, true);
    model.digestsMuted = true;
    for (int second = 0; second < 40; ++second)
        model.step();
    for (std::size_t region : { 1U, 2U })
        CHECK(model.loadSlots("repo-core", region, true) <= 0.05 * model.slots("repo-core", region) + 1e-9);
    CHECK(fresh > 0.3 * model.slots("repo-core", 0));
}

// Guards against region shares that oscillate with the noise of the digests.
TEST_CASE("shares do not oscillate under noise", "[regions]")
{
    testing::SteeringModel model(testing::foundry(), { .lost = 0.2, .maxDelaySeconds = 3, .noise = 0.05 }, 11);
    for (std::size_t region = 0; region < 3; ++region)
        model.setDemandSlots("ledger", region, 0.4 * model.slots("ledger", region));
    model.setDemandSlots("ledger", 0, 1.2 * model.slots("ledger", 0));
    for (int second = 0; second < 20; ++second)
        model.step();
    double lowest = 1;
    double highest = 0;
    for (int second = 0; second < 120; ++second) {
        model.step();
        const double share = model.published(0).table->classes[0].regionShares[0];
        lowest = std::min(lowest, share);
        highest = std::max(highest, share);
    }
    CHECK(highest - lowest < 0.1);
}

// Guards against a failover that overloads the regions that take over, and against one that does not happen. All
// servers of a region leave at once.
TEST_CASE("a region without servers fails over within the spare capacity of the others", "[regions]")
{
    testing::SteeringModel model(testing::schools(), { .lost = 0.2, .maxDelaySeconds = 2 }, 2);
    for (std::size_t region = 0; region < 3; ++region)
        model.setDemandSlots("repo-core", region, 0.4 * model.slots("repo-core", region));
    for (int second = 0; second < 10; ++second)
        model.step();
    for (core::ServerListing& server : model.list.servers)
        server.leaving = server.leaving || server.domain.starts_with("r0-");
    ++model.list.version;
    double worst = -1;
    for (int second = 0; second < 20; ++second) {
        model.step();
        worst = std::max(worst, worstOverload(model));
    }
    CHECK(worst <= 0);
    CHECK(model.loadSlots("repo-core", 0) < 0.05 * model.demandSlots("repo-core", 0));
}

// Guards against a change of the allowed regions that moves a class's traffic faster than the shift cap.
TEST_CASE("a change of allowed regions keeps the cap", "[regions]")
{
    testing::SteeringModel model(testing::schools(), {}, 4);
    for (std::size_t region = 0; region < 3; ++region)
        model.setDemandSlots("repo-core", region, 0.3 * model.slots("repo-core", region));
    for (int second = 0; second < 5; ++second)
        model.step();
    model.declarations.targets[0].allowedRegions = { "r1", "r2" };
    ++model.declarations.revision;
    std::vector<double> history;
    for (int second = 0; second < 900; ++second) {
        model.step();
        history.push_back(model.published(0).table->classes[0].regionShares[0]);
        if (history.size() > 60)
            CHECK(history[history.size() - 61] - history.back() <= 0.1 + 1e-9);
    }
    CHECK(history.back() < 0.01);
}
