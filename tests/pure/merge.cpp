#include "control/merge.h"
#include "control/health_and_load.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
using namespace std::chrono_literals;

namespace {

constexpr int serverCount = 9;

std::string nameOf(int server) { return "s" + std::to_string(server); }

core::TimePoint timeAt(int second) { return core::TimePoint(1h) + std::chrono::seconds(second); }

control::ControlInputs makeInputs()
{
    auto declarations = std::make_shared<core::Declarations>();
    declarations->revision = 5;
    declarations->regions = { { .name = "r", .links = {} } };
    declarations->domains = { { .name = "r-0", .region = "r" } };
    declarations->classes = { { .name = "stock", .host = {}, .methods = {}, .pathPrefix = {}, .service = "ledger" } };
    control::ControlInputs inputs { .declarations = declarations, .self = "vm", .selfDomain = "r-0" };
    inputs.serverList = { .version = 1, .receivedAt = timeAt(0), .servers = {} };
    for (int i = 0; i < serverCount; ++i)
        inputs.serverList.servers.push_back({ .name = nameOf(i), .address = {}, .service = "ledger", .batch = "a", .domain = "r-0" });
    return inputs;
}

const control::BackendServer* find(const control::Context& context, const std::string& name)
{
    const auto found = std::ranges::find_if(context.servers, [&](const control::BackendServer& server) { return server.listing.name == name; });
    return found == context.servers.end() ? nullptr : &*found;
}

core::ServerState stateOf(const control::Context& context, const std::string& name)
{
    const control::BackendServer* server = find(context, name);
    return server ? server->state : core::ServerState::Gone;
}

control::AttemptReport traffic(int server, core::AttemptResult result, core::TimePoint at)
{
    return { .server = nameOf(server), .at = at, .result = result };
}

}

// Guards against new requests to a leaving server. They come about if the server list lags or contradicts the source
// that reports the server as leaving.
TEST_CASE("a leaving mark from any source applies at once", "[merge]")
{
    for (int source = 0; source < 4; ++source) {
        control::MergeSources merge;
        control::ControlInputs inputs = makeInputs();
        merge(inputs, timeAt(0));
        if (source == 0) {
            inputs.serverList.servers[2].leaving = true;
            inputs.serverList.version = 2;
        } else if (source == 1)
            inputs.healthReports = { { .server = "s2", .receivedAt = timeAt(1), .leaving = true } };
        else if (source == 2)
            inputs.attempts = { { .server = "s2", .at = timeAt(1), .leaving = true } };
        else
            inputs.leavingServers = { "s2" };
        CHECK(stateOf(merge(inputs, timeAt(1)).output(), "s2") == core::ServerState::Leaving);
        // A later list without the mark and a healthy report do not clear the mark.
        inputs = makeInputs();
        inputs.serverList.version = 3;
        inputs.healthReports = { { .server = "s2", .receivedAt = timeAt(60) } };
        CHECK(stateOf(merge(inputs, timeAt(60)).output(), "s2") == core::ServerState::Leaving);
    }
}

// Guards against the loss of working servers because a stale or incomplete list lacks them.
TEST_CASE("a server missing from the list is kept while it answers", "[merge]")
{
    control::MergeSources merge;
    control::ControlInputs inputs = makeInputs();
    merge(inputs, timeAt(0));
    inputs.serverList.version = 2;
    inputs.serverList.servers.resize(4);
    for (int second = 1; second < 120; ++second) {
        inputs.attempts = { traffic(5, core::AttemptResult::Answered, timeAt(second)) };
        const control::Context context = merge(inputs, timeAt(second)).output();
        CHECK(find(context, "s5"));
        CHECK((find(context, "s6") != nullptr) == (second <= 30));
    }
}

// Guards against a new or restarted server that gets its full share while it is cold, and against running servers that
// are treated as cold because this process starts.
TEST_CASE("a server that appears gets a rising share", "[merge]")
{
    control::MergeSources merge;
    control::ControlInputs inputs = makeInputs();
    const control::Context first = merge(inputs, timeAt(0)).output();
    for (const control::BackendServer& server : first.servers)
        CHECK(server.warmth == 1);
    inputs.serverList.version = 2;
    inputs.serverList.servers.push_back({ .name = "late", .address = {}, .service = "ledger", .batch = "a", .domain = "r-0" });
    double last = 0;
    for (int second = 10; second <= 130; second += 10) {
        const control::Context context = merge(inputs, timeAt(second)).output();
        const control::BackendServer* server = find(context, "late");
        REQUIRE(server);
        CHECK(server->warmth > last);
        CHECK((server->state == core::ServerState::Warming) == (second < 130));
        last = server->warmth;
    }
    CHECK(last == 1);
    // A restart is detected by the uptime that the server reports.
    inputs.healthReports = { { .server = "s1", .receivedAt = timeAt(200), .uptime = 2s } };
    CHECK(find(merge(inputs, timeAt(200)).output(), "s1")->warmth < 0.2);
}

// Guards against declarations and lists that revert to an older state because an old copy arrives late.
TEST_CASE("older declarations and lists are ignored", "[merge]")
{
    control::MergeSources merge;
    const control::ControlInputs inputs = makeInputs();
    merge(inputs, timeAt(0));
    control::ControlInputs late = makeInputs();
    auto old = std::make_shared<core::Declarations>(*late.declarations);
    old->revision = 4;
    late.declarations = old;
    late.serverList.version = 0;
    late.serverList.servers.clear();
    const control::Context context = merge(late, timeAt(1)).output();
    CHECK(context.declarations().revision == 5);
    CHECK(context.servers.size() == serverCount);
}

// Guards against a failed server that keeps getting requests, and against one that stays ejected after it recovers.
TEST_CASE("a broken connection ejects a server at once and a successful probe readmits it", "[merge]")
{
    control::MergeSources merge;
    control::EvaluateHealthAndLoad judge;
    control::ControlInputs inputs = makeInputs();
    const auto tick = [&](int second, std::vector<control::AttemptReport> reports) {
        inputs.attempts = std::move(reports);
        return judge(merge(inputs, timeAt(second)).output(), timeAt(second)).output();
    };
    CHECK(stateOf(tick(0, { traffic(3, core::AttemptResult::Broken, timeAt(0)) }), "s3") == core::ServerState::Ejected);
    CHECK(stateOf(tick(1, {}), "s3") == core::ServerState::Ejected);
    CHECK(stateOf(tick(2, {}), "s3") == core::ServerState::Warming);
    CHECK(stateOf(tick(3, { traffic(3, core::AttemptResult::Answered, timeAt(3)) }), "s3") == core::ServerState::Active);
    // Each failed probe doubles the duration of the ejection.
    tick(4, { traffic(3, core::AttemptResult::Broken, timeAt(4)) });
    tick(6, { traffic(3, core::AttemptResult::Broken, timeAt(6)) });
    CHECK(stateOf(tick(9, {}), "s3") == core::ServerState::Ejected);
    CHECK(stateOf(tick(10, {}), "s3") == core::ServerState::Warming);
}

// Guards against ejections that leave too few servers. They come about if faulty requests fail at all servers.
TEST_CASE("at most a third of the servers is ejected unless they refuse connections", "[merge]")
{
    control::MergeSources merge;
    control::EvaluateHealthAndLoad judge;
    control::ControlInputs inputs = makeInputs();
    for (int i = 0; i < serverCount; ++i)
        inputs.attempts.push_back(traffic(i, core::AttemptResult::Broken, timeAt(0)));
    control::Context context = judge(merge(inputs, timeAt(0)).output(), timeAt(0)).output();
    CHECK(std::ranges::count_if(context.servers, [](const control::BackendServer& server) { return server.state == core::ServerState::Ejected; }) == serverCount / 3);
    // The limit does not apply to servers that refuse connections, but one server always remains.
    for (control::AttemptReport& report : inputs.attempts)
        report.result = core::AttemptResult::ConnectFailed;
    context = judge(merge(inputs, timeAt(100)).output(), timeAt(100)).output();
    CHECK(std::ranges::count_if(context.servers, [](const control::BackendServer& server) { return server.state == core::ServerState::Ejected; }) == serverCount - 1);
}

// Guards against a wrong health report that ejects a working server or keeps a failed one in service.
TEST_CASE("results of attempts take precedence over the health endpoint", "[merge]")
{
    control::MergeSources merge;
    control::EvaluateHealthAndLoad judge;
    control::ControlInputs inputs = makeInputs();
    inputs.attempts = { traffic(1, core::AttemptResult::Answered, timeAt(0)), traffic(2, core::AttemptResult::ConnectFailed, timeAt(0)) };
    inputs.healthReports = { { .server = "s1", .receivedAt = timeAt(0), .healthy = false }, { .server = "s2", .receivedAt = timeAt(0) }, { .server = "s3", .receivedAt = timeAt(0), .healthy = false } };
    const control::Context context = judge(merge(inputs, timeAt(0)).output(), timeAt(0)).output();
    CHECK(stateOf(context, "s1") == core::ServerState::Active);
    CHECK(stateOf(context, "s2") == core::ServerState::Ejected);
    CHECK(stateOf(context, "s3") == core::ServerState::Ejected);
}

// Guards against load data that counts as fresh however old it is.
TEST_CASE("confidence in load data falls to zero with its age", "[merge]")
{
    CHECK(control::confidenceAfter(0s) == 1);
    CHECK(control::confidenceAfter(6s) == 1);
    CHECK(control::confidenceAfter(18s) == Approx(0.5));
    CHECK(control::confidenceAfter(30s) == 0);
    CHECK(control::confidenceAfter(24h) == 0);
}
