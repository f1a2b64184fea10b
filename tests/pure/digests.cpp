#include "fleet/packing.h"
#include "fleet_simulation.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;

using namespace std::chrono_literals;

namespace {

core::DomainDigest load(double demand, std::uint32_t slots)
{
    core::DomainDigest digest;
    digest.classes.push_back({ .className = "stock", .demand = demand, .rejected = 0.5, .inFlight = 3, .meanTime = 20ms, .tailLatency = 80ms });
    digest.classes.push_back({ .className = "archive", .demand = demand / 10, .rejected = 0, .inFlight = 1, .meanTime = 2s, .tailLatency = 5s });
    digest.capacities.push_back({ .service = "ledger", .region = "region-0", .slots = slots, .busy = 2 });
    return digest;
}

// Runs the simulation and sets the load of each running member every second, as the traffic threads do.
void runWithLoads(FleetSimulation& simulation, int seconds)
{
    for (int i = 0; i < seconds; ++i) {
        for (int member : simulation.running())
            simulation.call(member, [&](auto& node, auto now, auto&) { node.setLoad(load(10, 60), now); });
        simulation.run(1s);
    }
}

const core::DomainDigest* domain(const std::vector<core::DomainDigest>& digests, const std::string& name)
{
    for (const auto& digest : digests) {
        if (digest.domain == name)
            return &digest;
    }
    return nullptr;
}

}

// Guards against packed counts that are rounded up, lose more than 0.1 %, or overflow instead of being limited.
TEST_CASE("counts survive packing within 0.1 %", "[fleet]")
{
    core::RandomEngine random(1);
    for (std::uint64_t value = 0; value < 2048; ++value)
        CHECK(fleet::unpackCount(fleet::packCount(value)) == value);
    for (int i = 0; i < 2000; ++i) {
        const std::uint64_t value = random() >> (22 + random() % 40);
        const std::uint64_t unpacked = fleet::unpackCount(fleet::packCount(value));
        CHECK(unpacked <= value);
        CHECK(static_cast<double>(value - unpacked) <= static_cast<double>(value) * 0.001);
    }
    CHECK(fleet::unpackCount(fleet::packCount(UINT64_MAX)) == 2047ULL << 31U);
}

// Guards against a sum that counts a member twice because datagrams were lost or duplicated, and against slots that are
// added up although all members see the same backend servers.
TEST_CASE("every member gets the sum of every failure domain", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        FleetSimulation simulation({ .seed = seed, .loss = 0.1, .duplication = 0.2 });
        simulation.startFleet(12);
        runWithLoads(simulation, 30);
        for (int member = 0; member < 12; ++member) {
            const auto digests = simulation.snapshot(member).digests;
            REQUIRE(digests.size() == 3);
            for (const auto& digest : digests) {
                CHECK(digest.members == 4);
                REQUIRE(digest.classes.size() == 2);
                const auto& stock = digest.classes[digest.classes[0].className == "stock" ? 0 : 1];
                CHECK(stock.demand == Approx(40));
                CHECK(stock.rejected == Approx(2));
                CHECK(stock.inFlight == 12);
                CHECK(stock.meanTime == 20ms);
                REQUIRE(digest.capacities.size() == 1);
                CHECK(digest.capacities[0].slots == 60);
                CHECK(digest.capacities[0].busy == 8);
                CHECK(simulation.now() - digest.measuredAt < 10s);
            }
        }
    }
}

// Guards against sums that stop or that still include the load of a dead member. Either happens if no other member
// replaces a dead aggregator, or if reports of dead members are kept.
TEST_CASE("sums continue without the load of a member that died", "[fleet]")
{
    for (int victim = 0; victim < 12; victim += 3) {
        FleetSimulation simulation({ .seed = 9 });
        simulation.startFleet(12);
        runWithLoads(simulation, 20);
        simulation.crash(victim);
        runWithLoads(simulation, 30);
        const auto digests = simulation.snapshot(1).digests;
        const auto* digest = domain(digests, FleetSimulation::domainOf(victim));
        REQUIRE(digest);
        CHECK(digest->members == 3);
        CHECK(simulation.now() - digest->measuredAt < 10s);
    }
}

// Guards against a sum from the other side of a partition that seems current because its age does not grow.
TEST_CASE("the age of a sum grows while its failure domain is cut off", "[fleet]")
{
    FleetSimulation simulation({ .seed = 2 });
    simulation.startFleet(12);
    runWithLoads(simulation, 20);
    std::map<int, int> groups;
    for (int member = 2; member < 12; member += 3)
        groups[member] = 1;
    simulation.partition(groups);
    runWithLoads(simulation, 60);
    const auto cutOff = simulation.snapshot(0).digests;
    REQUIRE(domain(cutOff, "domain-2"));
    CHECK(simulation.now() - domain(cutOff, "domain-2")->measuredAt > 55s);
    CHECK(simulation.now() - domain(cutOff, "domain-0")->measuredAt < 10s);
    simulation.heal();
    runWithLoads(simulation, 40);
    const auto healed = simulation.snapshot(0).digests;
    CHECK(simulation.now() - domain(healed, "domain-2")->measuredAt < 10s);
}

// Guards against a member that starts late and cannot unpack the sums it receives, because it never gets the names for
// the hashes in them.
TEST_CASE("a new member learns sums and their names without a load of its own", "[fleet]")
{
    FleetSimulation simulation({ .seed = 3 });
    simulation.startFleet(6);
    runWithLoads(simulation, 15);
    simulation.start(30, { 2 });
    for (int i = 0; i < 10; ++i) {
        for (int member = 0; member < 6; ++member)
            simulation.call(member, [&](auto& node, auto now, auto&) { node.setLoad(load(10, 60), now); });
        simulation.run(1s);
    }
    const auto digests = simulation.snapshot(30).digests;
    REQUIRE(digests.size() == 3);
    for (const auto& digest : digests)
        CHECK(digest.classes.size() == 2);
}

// Compares the sum of packed loads with a sum in doubles. Guards against rounding errors of packing that add up.
TEST_CASE("the sum of packed loads equals the plain sum within 0.5 %", "[fleet]")
{
    core::RandomEngine random(5);
    for (int round = 0; round < 50; ++round) {
        fleet::NameTable names;
        std::vector<fleet::PackedDigest> packed;
        double demand = 0;
        double weightedTime = 0;
        for (int member = 0; member < 35; ++member) {
            auto one = load(std::uniform_real_distribution<double>(1, 5000)(random), 60);
            one.classes[0].meanTime = core::Duration(static_cast<std::int64_t>(random() % 1'000'000));
            demand += one.classes[0].demand;
            weightedTime += one.classes[0].demand * static_cast<double>(one.classes[0].meanTime.count());
            packed.push_back(fleet::packDigest(one, names));
        }
        std::vector<const fleet::PackedDigest*> parts;
        parts.reserve(packed.size());
        for (const auto& part : packed)
            parts.push_back(&part);
        const auto sum = fleet::unpackDigest(fleet::sumDigests(parts), names);
        const auto& stock = sum.classes[sum.classes[0].className == "stock" ? 0 : 1];
        CHECK(stock.demand == Approx(demand).epsilon(0.005));
        CHECK(static_cast<double>(stock.meanTime.count()) == Approx(weightedTime / demand).epsilon(0.005));
        CHECK(sum.members == 35);
    }
}
