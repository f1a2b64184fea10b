#include "request/choose.h"

#include "core/hash.h"

#include <catch2/catch.hpp>
#include <deque>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

core::ServerEntry makeServer(std::uint32_t number)
{
    core::ServerEntry server;
    server.name = "server-" + std::to_string(number);
    server.service = "service";
    server.key = core::hashBytes(server.name);
    server.slotCounter = std::make_shared<core::SlotCounter>();
    return server;
}

core::SteeringTable makeTable(std::uint32_t servers, std::uint32_t members, std::uint32_t regions = 1)
{
    core::SteeringTable table;
    table.generation = 1;
    table.members.resize(members);
    for (std::uint32_t i = 0; i < regions; ++i)
        table.regions.push_back({ .name = "region-" + std::to_string(i) });
    for (std::uint32_t i = 0; i < servers; ++i) {
        table.servers.push_back(makeServer(i));
        table.servers.back().isHome = i % members == 0;
        table.servers.back().region = { i % regions };
    }
    for (core::WorkLength length : { core::WorkLength::Short, core::WorkLength::Long }) {
        core::ClassEntry entry;
        entry.name = core::nameOf(length);
        entry.service = "service";
        entry.length = length;
        for (std::uint32_t i = 0; i < servers; ++i)
            entry.servers.push_back({ i });
        table.classes.push_back(entry);
    }
    return table;
}

constexpr core::ClassIndex shortClass { 0 };
constexpr core::ClassIndex longClass { 1 };

// The requests of one entry VM: starts and ends them and tracks the running ones.
template <request::Chooser ChooserType>
struct Driver {
    struct Running {
        core::ServerIndex server;
        core::ClassIndex classIndex;
        core::TimePoint startedAt;
    };

    std::optional<core::ServerIndex> start(const core::SteeringTable& table, core::ClassIndex classIndex, std::span<const core::ServerIndex> excluded = {})
    {
        const auto server = this->chooser.choose({ .table = table, .classIndex = classIndex, .excluded = excluded }, this->random, this->now);
        if (server)
            this->running.push_back({ *server, classIndex, this->now });
        return server;
    }

    void end(const core::SteeringTable& table, std::size_t position, core::AttemptResult result = core::AttemptResult::Answered)
    {
        const Running done = this->running[position];
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(position));
        table.at(done.server).slotCounter->release();
        if constexpr (request::LearningChooser<ChooserType>) {
            const core::ClassEntry& entry = table.at(done.classIndex);
            this->chooser.recordEnd({ .serverKey = table.at(done.server).key, .classKey = core::hashBytes(entry.name), .length = entry.length, .startedAt = done.startedAt, .result = result }, this->now);
        }
    }

    ChooserType chooser {};
    core::RandomEngine random { 1 };
    core::TimePoint now { 1s };
    std::deque<Running> running;
};

// Sets random states, warmth and load reports.
void randomise(core::SteeringTable& table, core::RandomEngine& random)
{
    ++table.generation;
    for (core::ServerEntry& server : table.servers) {
        server.state = static_cast<core::ServerState>(random() % 8 < 4 ? 0 : random() % 5);
        server.warmth = server.state == core::ServerState::Warming ? static_cast<double>(random() % 11) / 10 : 1;
        if (random() % 3 != 0)
            server.report = core::LoadReport { .inFlight = static_cast<std::uint32_t>(random() % 6), .receivedAt = core::TimePoint { 1s } };
    }
}

bool canReceiveRequests(const core::ServerEntry& server)
{
    return server.state == core::ServerState::Active || (server.state == core::ServerState::Warming && server.warmth > 0);
}

}

// Guards against choosing leaving, ejected or excluded servers, against more requests than slots, and against a choice
// that does not acquire exactly one slot.
TEMPLATE_TEST_CASE("a choice complies with the steering table", "[choose]", request::TwoChoices, request::LeastLatency, request::HomeSubset)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        core::RandomEngine random(seed);
        core::SteeringTable table = makeTable(2 + random() % 24, 1 + random() % 9);
        Driver<TestType> driver;
        for (int step = 0; step < 600; ++step) {
            driver.now += core::Duration(random() % 20'000);
            if (step % 100 == 0)
                randomise(table, random);
            if (!driver.running.empty() && random() % 2 == 0) {
                driver.end(table, random() % driver.running.size(), static_cast<core::AttemptResult>(random() % 6));
                continue;
            }
            const core::ServerIndex excluded { static_cast<std::uint32_t>(random() % table.servers.size()) };
            const core::ClassIndex classIndex = random() % 4 == 0 ? longClass : shortClass;
            std::vector<std::uint32_t> before;
            before.reserve(table.servers.size());
            for (const core::ServerEntry& server : table.servers)
                before.push_back(server.slotCounter->inFlight());
            const auto chosen = driver.start(table, classIndex, std::span(&excluded, 1));
            for (std::uint32_t i = 0; i < table.servers.size(); ++i)
                CHECK(table.servers[i].slotCounter->inFlight() == before[i] + (chosen && chosen->value == i ? 1 : 0));
            if (!chosen)
                continue;
            const core::ServerEntry& server = table.at(*chosen);
            CHECK(canReceiveRequests(server));
            CHECK(*chosen != excluded);
            CHECK(server.slotCounter->inFlight() <= request::usableSlots(server));
            if (std::is_same_v<TestType, request::HomeSubset> && classIndex == longClass)
                CHECK(server.slotCounter->inFlight() < server.slots);
        }
    }
}

// Guards against a request that waits although a server of the home subset has a free slot. Round robin, which tries
// all servers, is the reference. The time does not advance, so no server looks slow.
TEST_CASE("a free slot of the home subset is found whenever round robin finds one", "[choose]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        core::RandomEngine random(seed);
        const auto servers = static_cast<std::uint32_t>(1 + random() % 8);
        const core::SteeringTable homeTable = makeTable(servers, 1);
        const core::SteeringTable roundRobinTable = makeTable(servers, 1);
        Driver<request::HomeSubset> home;
        Driver<request::RoundRobin> roundRobin;
        for (int step = 0; step < 500; ++step) {
            if (!home.running.empty() && random() % 2 == 0) {
                const std::size_t position = random() % home.running.size();
                home.end(homeTable, position);
                roundRobin.end(roundRobinTable, position);
                continue;
            }
            CHECK(home.start(homeTable, shortClass).has_value() == roundRobin.start(roundRobinTable, shortClass).has_value());
        }
    }
}

// Guards against choices that depend on anything but the arguments, which a seed could not reproduce.
TEST_CASE("the same events and seed give the same choices", "[choose]")
{
    const auto run = [] {
        core::RandomEngine random(9);
        const core::SteeringTable table = makeTable(25, 9);
        Driver<request::HomeSubset> driver;
        std::vector<std::uint32_t> choices;
        for (int step = 0; step < 1000; ++step) {
            driver.now += core::Duration(random() % 3000);
            if (!driver.running.empty() && random() % 3 == 0)
                driver.end(table, random() % driver.running.size());
            else if (const auto chosen = driver.start(table, shortClass))
                choices.push_back(chosen->value);
        }
        return choices;
    };
    CHECK(run() == run());
}

// Guards against sending a region more requests than the limit or share in the steering table allows.
TEST_CASE("a region gets at most its limit and about its share", "[choose]")
{
    core::SteeringTable table = makeTable(24, 4, 2);
    table.classes[0].regionShares = { 0.75, 0.25 };
    table.classes[0].maxInFlightByRegion = { std::numeric_limits<double>::infinity(), 3 };
    Driver<request::HomeSubset> driver;
    core::RandomEngine random(4);
    std::array<int, 2> counts {};
    std::array<int, 2> running {};
    for (int step = 0; step < 4000; ++step) {
        driver.now += 1ms;
        if (driver.running.size() > 6 || (!driver.running.empty() && random() % 2 == 0)) {
            const std::size_t position = random() % driver.running.size();
            --running[table.at(driver.running[position].server).region.value];
            driver.end(table, position);
        } else if (const auto chosen = driver.start(table, shortClass)) {
            ++counts[table.at(*chosen).region.value];
            ++running[table.at(*chosen).region.value];
        }
        CHECK(running[1] <= 3);
    }
    const double share = static_cast<double>(counts[1]) / (counts[0] + counts[1]);
    CHECK(share > 0.2);
    CHECK(share < 0.26);
}

// Guards against a full share of requests for a server that is drained or cold.
TEST_CASE("a server gets requests in proportion to its warmth", "[choose]")
{
    core::SteeringTable table = makeTable(4, 1);
    table.servers[0].warmth = 0.2;
    Driver<request::HomeSubset> driver;
    int cold = 0;
    for (int i = 0; i < 4000; ++i) {
        driver.now += 10ms;
        cold += driver.start(table, shortClass)->value == 0;
        driver.end(table, 0);
    }
    CHECK(cold < 4000 * 0.25 * 0.2 * 1.5);
    CHECK(cold > 0);
}

// Guards against overload of the other servers when the home subsets of several entry VMs are full at the same time.
TEST_CASE("requests outside the home subset are limited by the free slots", "[choose]")
{
    core::SteeringTable table = makeTable(25, 9);
    for (core::ServerEntry& server : table.servers)
        server.report = core::LoadReport { .inFlight = 4, .receivedAt = core::TimePoint { 1s } };
    Driver<request::HomeSubset> driver;
    int home = 0;
    int rest = 0;
    while (const auto chosen = driver.start(table, shortClass))
        ++(table.at(*chosen).isHome ? home : rest);
    CHECK(home == 9);
    CHECK(rest == 2);
}
