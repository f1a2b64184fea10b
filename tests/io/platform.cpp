#include "platform/dialect.h"
#include "platform/objects.h"
#include "platform/store_api.h"

#include "core/errors.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;
namespace http = wire::http;

namespace {

constexpr core::TimePoint now { 1h };
const std::map<std::string, std::string> domains = { { "jyl-a", "jyl" }, { "alp-a", "alp" } };

core::Object configuration(const std::string& spec)
{
    return { .kind = "config", .name = "main", .version = { .revision = 5 }, .content = R"({"metadata":{"name":"main","revision":5},"spec":)" + spec + R"(,"status":null})" };
}

core::Object server(const std::string& spec, const std::string& status = "null")
{
    return { .kind = "servers", .name = "i-1", .version = { .revision = 5 }, .content = R"({"metadata":{"name":"i-1","revision":5},"spec":)" + spec + R"(,"status":)" + status + "}" };
}

const std::string goodServer = R"({"address":"10.1.64.34:80","born":1776390940126,"info":{"service":"s","version":"v1","zone":"jyl-a","slots":3},"status":{"state":"ready","sequence":1,"cold_left":"500ms"}})";

std::optional<core::ServerListing> decode(const core::Object& object)
{
    std::string problem;
    std::optional<core::ServerListing> listing = platform::decodeServer(object, now, problem);
    CHECK(listing.has_value() == problem.empty());
    return listing;
}

wire::RequestHeader requestWithId(const std::string& id)
{
    wire::RequestHeader header;
    header.set("Request-Id", id);
    return header;
}

http::response_header<> answer(unsigned status, std::initializer_list<std::pair<std::string, std::string>> fields)
{
    http::response_header<> header;
    header.result(status);
    for (const auto& [name, value] : fields)
        header.set(name, value);
    return header;
}

}

// Guards against a route whose parts, limits or regions get lost on their way into the product's types.
TEST_CASE("a configuration becomes classes, targets and services", "[platform]")
{
    const core::Object object = configuration(R"({"version":"r12","resources":[
        {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"h","path_prefix":"/p/","route_type":"unsafe","timeout":"2.5s","target_latency":"400ms","priority":1,"traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,"session_affinity":true,"allowed_regions":["jyl"],"newer_field":1}},
        {"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_connections":330,"cold_start":"3s","cold_per_s":6.3}},
        {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})");
    const core::Declarations declarations = platform::decodeConfiguration(object, domains);
    CHECK(declarations.revision == 12);
    REQUIRE(declarations.classes.size() == 2);
    const core::ClassDeclaration& first = declarations.classes[0];
    CHECK(first.route == "r");
    CHECK(first.service == "s");
    CHECK(first.weight == 90);
    CHECK(first.idempotency == core::Idempotency::NonIdempotent);
    CHECK(first.deadline == 2500ms);
    CHECK(first.maxAttempts == 2);
    CHECK(first.usesAffinity);
    CHECK_FALSE(first.requiresKey);
    CHECK(declarations.targets[1].allowedRegions == std::vector<std::string> { "jyl" });
    REQUIRE(declarations.services.size() == 1);
    CHECK(declarations.services[0].maxColdRequestsPerSecond == 6.3);
    REQUIRE(declarations.callerLimits);
    CHECK(declarations.callerLimits->idleTimeout == 15s);
    CHECK(declarations.regions.size() == 2);
}

// Guards against putting a damaged configuration in force.
TEST_CASE("a configuration that can't be read is refused whole", "[platform]")
{
    const std::vector<std::string> damaged = { "null", "{}", R"({"version":"12","resources":[]})", R"({"version":"r12","resources":[{"resource_kind":"routes"}]})",
        R"({"version":"r12","resources":[{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"h","path_prefix":"/p/","route_type":"safe","timeout":"soon"}}]})" };
    for (const std::string& spec : damaged) {
        INFO(spec);
        CHECK_THROWS_AS(platform::decodeConfiguration(configuration(spec), domains), core::Error);
    }
}

// Guards against entries of other writers, which name no server to use.
TEST_CASE("an entry with a missing, foreign or misspelt field names no server", "[platform]")
{
    const std::optional<core::ServerListing> listing = decode(server(goodServer));
    REQUIRE(listing);
    CHECK(listing->startedAtMs == 1776390940126);
    CHECK(listing->coldUntil == now + 500ms);
    CHECK_FALSE(listing->leaving);
    for (const char* part : { R"("address":"10.1.64.34:80",)", R"("service":"s",)", R"("slots":3)", R"("state":"ready",)", R"("zone":"jyl-a",)" }) {
        std::string damaged = goodServer;
        damaged.erase(damaged.find(part), std::string(part).size());
        INFO(damaged);
        CHECK_FALSE(decode(server(damaged)));
    }
    std::string otherState = goodServer;
    otherState.replace(otherState.find("ready"), 5, "happy");
    CHECK_FALSE(decode(server(otherState)));
    // An address that can't be parsed would only fail when a request is sent there, and end the process.
    std::string noAddress = goodServer;
    noAddress.replace(noAddress.find("10.1.64.34:80"), 13, "somewhere");
    CHECK_FALSE(decode(server(noAddress)));
    CHECK_FALSE(decode({ .kind = "servers", .name = "i-1", .version = {}, .content = "\xff\xfe" }));
}

// Guards against missing a leaving mark that a server writes into its object's own status.
TEST_CASE("the object's own status goes before the one of the first entry", "[platform]")
{
    const std::optional<core::ServerListing> listing = decode(server(goodServer, R"({"state":"draining","sequence":9,"cold_left":"0ms"})"));
    REQUIRE(listing);
    CHECK(listing->leaving);
}

// Guards against an answer of the store that ends the process, and against an entry of another writer that hides the
// others of its page.
TEST_CASE("a damaged answer is an error, a damaged object is left out", "[platform]")
{
    for (const char* damaged : { "", "[]", R"({"items":[]})", R"({"items":{},"at":1})", R"({"items":[],"at":"1"})" })
        CHECK_THROWS_AS(platform::PlatformObjects::readPage(damaged, "servers"), core::Error);
    for (const char* damaged : { R"({"events":3,"at":1})", R"({"events":[3],"at":1})", R"({"events":[{}],"at":1})" })
        CHECK_THROWS_AS(platform::PlatformObjects::readChanges(damaged, "servers"), core::Error);
    const std::string page = R"({"items":[3,{"metadata":{}},{"metadata":{"name":"bad","revision":2},"spec":")"
                             "\xff"
                             R"("},{"metadata":{"name":"good","revision":3},"spec":{}}],"at":9})";
    const store::ObjectPage decoded = platform::PlatformObjects::readPage(page, "servers");
    REQUIRE(decoded.batch.objects.size() == 2);
    CHECK(decoded.batch.objects[1].object.name == "good");
}

// Guards against taking the removal of an object for its last state.
TEST_CASE("a removal is newer than the state that it removes", "[platform]")
{
    const store::ObjectBatch changes = platform::PlatformObjects::readChanges(R"({"events":[{"deleted":true,"object":{"metadata":{"name":"i-1","revision":7},"spec":{},"status":null}}],"at":9})", "servers");
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.version == 9);
    CHECK(changes.objects[0].object.deleted);
    CHECK(changes.objects[0].object.version > core::ObjectVersion { .revision = 7, .version = 0 });
}

// Guards against an answer that reaches a caller whose request it does not belong to, and against a "not run" that is
// taken from an earlier request's answer.
TEST_CASE("an answer counts only for the request with its id", "[platform]")
{
    using platform::Dialect;
    using wire::AnswerMatch;
    const wire::RequestHeader own = requestWithId("1");
    CHECK(Dialect::matchAnswer(answer(200, { { "Request-Id", "1" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::ThisRequest);
    CHECK(Dialect::matchAnswer(answer(500, { { "Request-Id", "1" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::ThisRequest);
    CHECK(Dialect::matchAnswer(answer(200, { { "Request-Id", "2" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::EarlierRequest);
    CHECK(Dialect::matchAnswer(answer(503, { { "Request-Id", "2" }, { "Not-Executed", "1" } }), own, true) == AnswerMatch::EarlierRequest);
    CHECK(Dialect::matchAnswer(answer(503, { { "Request-Id", "1" }, { "Not-Executed", "1" } }), own, true) == AnswerMatch::Refused);
    CHECK(Dialect::matchAnswer(answer(421, { { "Request-Id", "1" } }), own, true) == AnswerMatch::Misdirected);
    CHECK(Dialect::matchAnswer(answer(503, { { "Not-Executed", "1" } }), own, false) == AnswerMatch::Invalid);
    CHECK(Dialect::matchAnswer(answer(200, { { "Request-Id", "1" } }), own, true) == AnswerMatch::Invalid);
    CHECK(Dialect::matchAnswer(answer(200, { { "Request-Id", "1" }, { "Server-Stamp", "s" }, { "Content-Encoding", "gzip" } }), own, true) == AnswerMatch::Invalid);
}

// Guards against a load that is misread; the fourth figure is a percentage and may be absent.
TEST_CASE("the load of an answer is read", "[platform]")
{
    const auto load = platform::Dialect::reportedLoad(answer(200, { { "Server-Load", "3,2,8,250" } }));
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 2);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 2.5);
    CHECK(platform::Dialect::reportedLoad(answer(200, { { "Server-Load", "3,0,8" } }))->slowdown == 1);
    CHECK_FALSE(platform::Dialect::reportedLoad(answer(200, { { "Server-Load", "many" } })));
    CHECK_FALSE(platform::Dialect::reportedLoad(answer(200, {})));
}

// Guards against a status that promises "not run" for a request that may have run, or the reverse.
TEST_CASE("429 and 503 are answered only for requests that have not run", "[platform]")
{
    for (std::size_t i = 0; i <= static_cast<std::size_t>(core::ErrorKind::CallerGone); ++i) {
        const auto kind = static_cast<core::ErrorKind>(i);
        const unsigned status = platform::Dialect::errorResponse({ .request = {}, .error = kind, .key = {}, .retryAfter = {} }).result_int();
        INFO(core::errorInfo(kind).name);
        const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
        if (promises)
            CHECK(core::errorInfo(kind).runState == core::RunState::NotRun);
        if (status == 502 || status == 504)
            CHECK(core::errorInfo(kind).runState != core::RunState::NotRun);
    }
}

// Guards against a time to come back that is rounded up to a second.
TEST_CASE("a refusal tells when to come back in fractions of a second", "[platform]")
{
    const wire::TextResponse response = platform::Dialect::errorResponse({ .request = {}, .error = core::ErrorKind::Overloaded, .key = {}, .retryAfter = 250ms });
    CHECK(response.result_int() == 503);
    CHECK(response[http::field::retry_after] == "0.250");
}
