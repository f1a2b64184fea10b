#include "request/check_capacity.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<core::SteeringTable> makeTable(std::optional<double> serviceUtilization)
{
    auto table = std::make_shared<core::SteeringTable>();
    table->generation = 1;
    table->members = { { .name = "entry-1" }, { .name = "entry-2" } };
    table->servers = { { .name = "ledger-1", .service = "ledger", .slots = 4, .slotCounter = std::make_shared<core::SlotCounter>() } };
    table->classes = { { .name = "stock-lookup", .service = "ledger", .deadline = 2s, .headroom = 0.5, .servers = { { 0 } }, .regionShares = { 1 }, .serviceUtilization = serviceUtilization } };
    return table;
}

// Returns how many of 400 requests are admitted that arrive within one second and hold a slot for 10 ms each. They need
// 4 slots at one of two entry VMs.
int admittedOf(std::optional<double> serviceUtilization)
{
    const auto table = makeTable(serviceUtilization);
    request::State state({}, request::makeSharedState("entry-1", core::Incarnation { 1 }, 1), 1);
    state.setTable(table);
    core::TimePoint now { 1h };
    state.slotTimes.add(state.classStateOf(table->classes[0]).classKey, 10ms);
    request::CheckCapacity filter { state };
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
        now += 2500us;
        request::Context context { .arrival = { .request = core::RequestId { static_cast<std::uint64_t>(i) } }, .table = table, .deadline = now + 2s };
        admitted += filter(std::move(context), now).ended() ? 0 : 1;
    }
    const request::DemandObserved& demand = state.classStateOf(table->classes[0]).demand;
    CHECK(demand.rejected == static_cast<std::uint32_t>(400 - admitted));
    return admitted;
}

}

// Guards against an entry VM that rejects requests while the fleet has free slots, because it gets more than an equal
// share of the callers, and against one that uses up the headroom once the service as a whole has reached its limit.
TEST_CASE("the headroom check uses the utilisation of the whole service", "[request]")
{
    CHECK(admittedOf(0.3) == 400);
    CHECK(admittedOf(0.6) < 300);
    CHECK(admittedOf(std::nullopt) < 300);
}
