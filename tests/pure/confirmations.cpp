#include "fleet/confirmations.h"
#include "fleet/rendezvous.h"
#include "fleet_simulation.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace fleet = cranberryshed::fleet;

using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

// Lets the first-ranked of the running members confirm the kind at this interval, and returns the oldest age that any
// member's newest confirmation reaches.
core::Duration oldestAge(FleetSimulation& simulation, core::Duration interval, core::Duration time)
{
    core::Duration oldest {};
    for (const core::TimePoint end = simulation.now() + time; simulation.now() < end;) {
        for (const int number : simulation.running()) {
            const fleet::Snapshot snapshot = simulation.snapshot(number);
            if (fleet::rankFor("servers", snapshot.members, snapshot.self) == 0)
                simulation.call(number, [](auto& node, auto now, auto&) { node.confirm("servers", 5, now); });
        }
        for (core::Duration passed {}; passed < interval; passed += 100ms) {
            simulation.run(100ms);
            for (const int number : simulation.running())
                oldest = std::max(oldest, simulation.now() - simulation.node(number).confirmation("servers").value_or(fleet::Confirmation { .at = simulation.now() - 1h }).at);
        }
    }
    return oldest;
}

}

// Guards against an old confirmation that replaces a newer one, or one of an earlier change that hides a later change.
TEST_CASE("the newest confirmation of the last change wins", "[confirmations]")
{
    fleet::Confirmations confirmations;
    confirmations.confirm("servers", 7, start);
    const auto receive = [&](std::uint64_t revision, std::uint32_t ageMs, core::TimePoint now) {
        fleet::Confirmations sender;
        sender.confirm("servers", revision, now - ageMs * 1ms);
        fleet::Message message;
        sender.addTo(message, now);
        confirmations.handle(message, now);
    };
    receive(7, 3000, start + 1s);
    CHECK(confirmations.find("servers")->at == start);
    receive(7, 200, start + 1s);
    CHECK(confirmations.find("servers")->at == start + 800ms);
    receive(6, 0, start + 2s);
    CHECK(confirmations.find("servers")->revision == 7);
    CHECK(confirmations.find("servers")->at == start + 800ms);
    receive(8, 5000, start + 2s);
    CHECK(confirmations.find("servers")->revision == 8);
    CHECK_FALSE(confirmations.find("config"));
}

// Guards against messages that grow with what nobody can use any more.
TEST_CASE("an old confirmation is not sent on", "[confirmations]")
{
    fleet::Confirmations confirmations;
    confirmations.confirm("servers", 7, start);
    fleet::Message message;
    confirmations.addTo(message, start + 10s);
    CHECK(message.confirmations.size() == 1);
    message = {};
    confirmations.addTo(message, start + 2min);
    CHECK(message.confirmations.empty());
}

// Guards against members that don't learn how old the fleet's knowledge is, although one of them asks the store.
TEST_CASE("all members know the age of what the first-ranked one confirms", "[confirmations]")
{
    for (const int members : { 2, 9, 66, 195, 460 }) {
        FleetSimulation simulation({ .seed = 3 });
        simulation.startFleet(members);
        simulation.run(20s);
        oldestAge(simulation, 1s, 10s);
        const core::Duration oldest = oldestAge(simulation, 1s, 20s);
        INFO(members << " members");
        CHECK(oldest < 8s);
    }
}
