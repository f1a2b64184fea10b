#include "control/pipeline.h"
#include "core/server_key.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint start { std::chrono::hours(1) };
constexpr std::uint64_t firstStart = 1'776'390'940'126; // Unix time in ms

// The control pipeline of the platform with one failure domain and one service, run by hand.
struct ListHarness {
    ListHarness()
    {
        core::Declarations declarations { .revision = 1 };
        declarations.regions.push_back({ .name = "north", .links = {} });
        declarations.domains.push_back({ .name = "north-1", .region = "north" });
        declarations.services.push_back({ .name = "ledger" });
        this->inputs.declarations = std::make_shared<const core::Declarations>(std::move(declarations));
        this->inputs.self = "vm";
        this->inputs.selfDomain = "north-1";
    }

    void list(std::vector<core::ServerListing> listings) { this->inputs.serverList.servers = std::move(listings); }

    void announceLeaving(const core::ServerListing& server)
    {
        this->inputs.attempts.push_back({ .server = server.name, .leaving = true, .serverKey = core::serverKey(server) });
    }

    // The state of the server in the next steering table; nothing if it is not in the table.
    std::optional<core::ServerState> stateOf(const std::string& name, core::TimePoint now)
    {
        core::Outcome outcome = this->pipe(this->inputs, now);
        this->inputs.attempts.clear();
        REQUIRE_FALSE(outcome.ended());
        for (const core::ServerEntry& server : outcome.output().table->servers) {
            if (server.name == name)
                return server.state;
        }
        return std::nullopt;
    }

    control::ControlInputs inputs;
    control::ServerListPipe pipe = control::makeServerListPipe();
};

core::ServerListing listing(std::uint64_t startedAtMs = firstStart)
{
    return { .name = "i-1", .address = "10.1.0.1:80", .service = "ledger", .batch = "v1", .domain = "north-1", .startedAtMs = startedAtMs };
}

}

// Guards against new work for a server that announced its end in an answer. The store can be away, list the server as
// ready, or have lost its entry for a while.
TEST_CASE("a server that announces its end in an answer gets no more work", "[server-list]")
{
    ListHarness harness;
    harness.list({ listing() });
    CHECK(harness.stateOf("i-1", start) == core::ServerState::Active);
    harness.announceLeaving(listing());
    CHECK(harness.stateOf("i-1", start + seconds(1)) == core::ServerState::Leaving);
    CHECK(harness.stateOf("i-1", start + seconds(60)) == core::ServerState::Leaving);
    harness.list({});
    CHECK_FALSE(harness.stateOf("i-1", start + seconds(61)));
    harness.list({ listing() });
    CHECK(harness.stateOf("i-1", start + seconds(90)) == core::ServerState::Leaving);
}

// Guards against a mark that outlives its server: the server that starts again under the same name would get no work.
// An answer of the earlier run can be recorded after the new run is listed.
TEST_CASE("the announcement of an earlier run does not apply to a restarted server", "[server-list]")
{
    ListHarness harness;
    harness.list({ listing() });
    harness.announceLeaving(listing());
    CHECK(harness.stateOf("i-1", start) == core::ServerState::Leaving);
    harness.list({ listing(firstStart + 5000) });
    CHECK(harness.stateOf("i-1", start + seconds(5)) == core::ServerState::Active);
    harness.announceLeaving(listing());
    CHECK(harness.stateOf("i-1", start + seconds(6)) == core::ServerState::Active);
}

// Guards against memory that grows with each server that ever left.
TEST_CASE("the marks of servers that are no longer listed are forgotten", "[server-list]")
{
    ListHarness harness;
    harness.list({ listing() });
    harness.announceLeaving(listing());
    CHECK(harness.stateOf("i-1", start) == core::ServerState::Leaving);
    harness.list({});
    CHECK_FALSE(harness.stateOf("i-1", start + std::chrono::minutes(11)));
    harness.list({ listing() });
    CHECK(harness.stateOf("i-1", start + std::chrono::minutes(12)) == core::ServerState::Active);
}
