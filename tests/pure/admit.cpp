#include "request/admit.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

// Two entry VMs share 10 servers with 30 slots, so each has 15. `headroom` is the fraction of slots that the class
// keeps free.
std::shared_ptr<core::SteeringTable> makeTable(double headroom)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = 1;
    table->members.resize(2);
    core::ClassEntry entry;
    entry.name = "stock";
    entry.service = "ledger";
    entry.headroom = headroom;
    for (std::uint32_t i = 0; i < 10; ++i) {
        core::ServerEntry server;
        server.key = i;
        server.slotCounter = std::make_shared<core::SlotCounter>();
        table->servers.push_back(server);
        entry.servers.push_back({ i });
    }
    table->classes.push_back(entry);
    return table;
}

// Offers requests of 10 ms each for 10 s to one entry VM, at a load that is this multiple of its 15 slots. Returns the
// admitted fraction.
double admittedShare(const core::SteeringTable& table, double relativeLoad)
{
    request::Headroom headroom;
    core::TimePoint now { 1s };
    const core::Duration gap(static_cast<std::int64_t>(10'000 / (relativeLoad * 15)));
    int admitted = 0;
    int offered = 0;
    for (const core::TimePoint end = now + 10s; now < end; now += gap) {
        ++offered;
        admitted += !headroom.admit(table, { 0 }, 1s, 10ms, now);
    }
    return static_cast<double>(admitted) / offered;
}

void report(core::SteeringTable& table, std::uint32_t inFlight)
{
    ++table.generation;
    for (core::ServerEntry& server : table.servers)
        server.report = core::LoadReport { .inFlight = inFlight, .receivedAt = core::TimePoint { 1s } };
}

}

// Guards against an admission check that lets a class use up its headroom, or that rejects requests while the class is
// still below its share of the slots.
TEST_CASE("work beyond the class's share of capacity is rejected", "[admit]")
{
    const std::shared_ptr<core::SteeringTable> table = makeTable(0.2);
    CHECK(admittedShare(*table, 0.75) == 1);
    CHECK(admittedShare(*table, 1.6) == Approx(0.5).margin(0.06)); // the first second fills the average
    CHECK(admittedShare(*makeTable(0), 1.6) == 1);
}

// Guards against rejections by a busy entry VM while the servers' load reports show that other entry VMs leave slots
// unused.
TEST_CASE("a busy entry VM uses the slots that others leave free", "[admit]")
{
    const std::shared_ptr<core::SteeringTable> table = makeTable(0.2);
    report(*table, 1);
    CHECK(admittedShare(*table, 1.4) == 1);
    report(*table, 3);
    CHECK(admittedShare(*table, 1.6) < 0.6);
}

// Guards against admitting a request whose expected slot time exceeds the time until its deadline.
TEST_CASE("work that cannot meet its deadline is rejected as not run", "[admit]")
{
    request::Headroom headroom;
    request::SlotTimes times;
    request::Admit admit { headroom, times };
    request::Context context;
    context.table = makeTable(0);
    context.deadline = core::TimePoint { 1s } + 5ms;
    const auto outcome = admit(context, core::TimePoint { 1s });
    REQUIRE(outcome.ended());
    CHECK(outcome.answer().error == core::ErrorKind::DeadlineTooShort);
    context.deadline = core::TimePoint { 2s };
    CHECK_FALSE(admit(context, core::TimePoint { 1s }).ended());
}
