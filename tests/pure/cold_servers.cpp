#include "control/cold_servers.h"

#include "request/earliest_answer.h"

#include "control/build_table.h"
#include "control/server_list.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;

namespace {

using ColdPipe = core::Pipe<control::ApplyServerList, control::AllowRegions, control::AssignColdServers, control::BuildSteeringTable>;

const core::TimePoint start { 1h };
constexpr std::uint32_t memberCount = 22;
constexpr double coldRate = 4.4; // requests a second
constexpr int coldLimit = 14; // requests in a second above which the server fails: 4.4 x 1.5 + 8

std::string memberName(std::uint32_t member)
{
    return "vm-" + std::to_string(member);
}

// One region with 22 entry VMs and two backend servers, which are cold. Each VM has a control pipeline and a view of
// the fleet of its own.
class ColdRegion {
public:
    ColdRegion()
    {
        core::Declarations declarations { .revision = 1 };
        declarations.regions.push_back({ .name = "alp", .links = {} });
        declarations.domains.push_back({ .name = "alp-a", .region = "alp" });
        declarations.services.push_back({ .name = "mould", .coldDuration = 3s, .maxColdRequestsPerSecond = coldRate });
        declarations.classes.push_back({ .name = "pattern", .host = {}, .methods = {}, .pathPrefix = "/", .service = "mould", .deadline = 2s });
        declarations.targets.push_back({ .className = "pattern", .latency = 400ms });
        for (std::uint32_t member = 0; member < memberCount; ++member) {
            control::ControlInputs& view = this->views.emplace_back();
            view.declarations = std::make_shared<const core::Declarations>(declarations);
            view.self = memberName(member);
            view.selfDomain = "alp-a";
            view.fleetKnownSince = start - 1min;
            for (const char* server : { "mould-1", "mould-2" })
                view.serverList.servers.push_back({ .name = server, .address = "127.0.0.1:9000", .service = "mould", .domain = "alp-a", .coldUntil = start + 1h });
            for (std::uint32_t other = 0; other < memberCount; ++other)
                view.members.push_back({ .name = memberName(other), .address = "127.0.0.1:8000", .domain = "alp-a" });
        }
    }

    // The number of VMs that may use the first server.
    int userCount(core::TimePoint now)
    {
        int count = 0;
        for (std::uint32_t member = 0; member < memberCount; ++member)
            count += this->tableOf(member, now)->servers[0].isUsableCold ? 1 : 0;
        return count;
    }

    core::SteeringTablePointer tableOf(std::uint32_t member, core::TimePoint now)
    {
        core::Outcome outcome = this->pipes[member](this->views[member], now);
        REQUIRE_FALSE(outcome.ended());
        return outcome.output().table;
    }

    void setStates(control::ControlInputs& view, std::uint32_t from, std::uint32_t to, core::MemberState state)
    {
        for (std::uint32_t member = from; member < to; ++member)
            view.members[member].state = state;
    }

    std::vector<control::ControlInputs> views;

private:
    std::vector<ColdPipe> pipes = std::vector<ColdPipe>(memberCount, ColdPipe(control::ApplyServerList {}, control::AllowRegions {}, control::AssignColdServers {}, control::BuildSteeringTable {}));
};

}

// Guards against a cold server that each of several entry VMs uses at its whole rate: in a region with fewer servers
// than VMs, the home subsets gave one server to eleven of them.
TEST_CASE("a cold server gets no more than its rate from all entry VMs of a small region", "[cold-servers]")
{
    ColdRegion region;
    CHECK(region.userCount(start) == 1);
    std::vector<request::EarliestAnswer> choosers(memberCount);
    core::RandomEngine random { 1 };
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        const core::TimePoint now = start + i * 10ms;
        for (std::uint32_t member = 0; member < memberCount; ++member) {
            const core::SteeringTablePointer table = region.tableOf(member, now);
            const auto server = choosers[member].choose({ .table = *table, .classIndex = { 0 }, .targetAt = now + 400ms }, random, now);
            if (server && table->at(*server).name == "mould-1") {
                ++sent;
                table->at(*server).slotCounter->release();
            }
        }
    }
    CHECK(sent <= coldLimit);
    CHECK(sent >= 4);
}

// Guards against several VMs that take a server for theirs because their views of the fleet differ: after a cut, after a
// restart of all, and while some suspect the others.
TEST_CASE("views of the fleet that differ don't assign a cold server twice", "[cold-servers]")
{
    ColdRegion region;
    SECTION("each half takes the other one for dead")
    {
        for (std::uint32_t member = 0; member < memberCount; ++member) {
            const bool isFirstHalf = member < memberCount / 2;
            region.setStates(region.views[member], isFirstHalf ? memberCount / 2 : 0, isFirstHalf ? memberCount : memberCount / 2, core::MemberState::Dead);
        }
        CHECK(region.userCount(start) == 1);
        CHECK(region.userCount(start + 9min) == 1);
    }
    SECTION("some suspect others")
    {
        for (std::uint32_t member = 0; member < memberCount; member += 2)
            region.setStates(region.views[member], member / 2, member, core::MemberState::Suspect);
        CHECK(region.userCount(start) == 1);
    }
    SECTION("all have just been started and know only themselves")
    {
        for (std::uint32_t member = 0; member < memberCount; ++member) {
            control::ControlInputs& view = region.views[member];
            view.members = { view.members[member] };
            view.fleetKnownSince = GENERATE(false, true) ? std::optional(start - 1s) : std::nullopt;
        }
        CHECK(region.userCount(start) == 0);
    }
}

// Guards against a deployment of one VM whose servers are all cold and get no requests for seconds after its start.
TEST_CASE("an entry VM that is the only one uses cold servers at once", "[cold-servers]")
{
    ColdRegion region;
    control::ControlInputs& view = region.views[0];
    view.members = { view.members[0] };
    view.fleetKnownSince = start;
    CHECK_FALSE(region.tableOf(0, start)->servers[0].isUsableCold);
    view.registeredMembers = 1;
    CHECK(region.tableOf(0, start)->servers[0].isUsableCold);
}

// Guards against a cold server that nobody uses for long, because the VM to which it is assigned has ended for good.
TEST_CASE("the cold servers of a VM that has ended are assigned to another one", "[cold-servers]")
{
    ColdRegion region;
    std::uint32_t user = 0;
    while (!region.tableOf(user, start)->servers[0].isUsableCold)
        ++user;
    region.views[user].leaving = true;
    SECTION("after a planned stop at once")
    {
        for (control::ControlInputs& view : region.views)
            view.members[user].state = core::MemberState::Leaving;
        CHECK(region.userCount(start) == 1);
    }
    SECTION("after its loss once it can no longer be behind a cut")
    {
        for (control::ControlInputs& view : region.views)
            view.members[user].state = core::MemberState::Dead;
        CHECK(region.userCount(start) == 0);
        CHECK(region.userCount(start + control::AssignColdServers::deadAssignmentTime + 1s) == 1);
    }
}
