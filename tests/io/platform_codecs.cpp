#include "platform/object_codec.h"
#include "platform/platform_dialect.h"
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

// Guards against a traffic split, limit or region of a route that the decoder drops or misreads.
TEST_CASE("a configuration is decoded into classes, targets and services", "[platform]")
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

// Guards against applying a part of an invalid configuration: one invalid resource makes the decoder reject it whole.
TEST_CASE("an invalid configuration is rejected as a whole", "[platform]")
{
    const std::vector<std::string> damaged = { "null", "{}", R"({"version":"12","resources":[]})", R"({"version":"r12","resources":[{"resource_kind":"routes"}]})",
        R"({"version":"r12","resources":[{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"h","path_prefix":"/p/","route_type":"safe","timeout":"soon"}}]})" };
    for (const std::string& spec : damaged) {
        INFO(spec);
        CHECK_THROWS_AS(platform::decodeConfiguration(configuration(spec), domains), core::Error);
    }
}

// Guards against using an invalid server entry, such as one that another program wrote: each required field in turn is
// missing, the state is unknown, the address has no port, the content is not JSON.
TEST_CASE("a server entry with a missing or invalid field is rejected", "[platform]")
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
    // If the decoder accepted an invalid address, it would fail only when a request is sent there, and end the process.
    std::string noAddress = goodServer;
    noAddress.replace(noAddress.find("10.1.64.34:80"), 13, "somewhere");
    CHECK_FALSE(decode(server(noAddress)));
    CHECK_FALSE(decode({ .kind = "servers", .name = "i-1", .version = {}, .content = "\xff\xfe" }));
}

// Guards against sending requests to a draining server: it announces that in the status of its store object, while the
// older status in the spec still says ready.
TEST_CASE("the status of the object takes precedence over the one in its spec", "[platform]")
{
    const std::optional<core::ServerListing> listing = decode(server(goodServer, R"({"state":"draining","sequence":9,"cold_left":"0ms"})"));
    REQUIRE(listing);
    CHECK(listing->leaving);
}

// Guards against a malformed answer of the store that ends the process, and against one invalid object, such as one
// that another program wrote, that makes the rest of its page unreadable.
TEST_CASE("a malformed answer is an error, an invalid object is skipped", "[platform]")
{
    for (const char* damaged : { "", "[]", R"({"items":[]})", R"({"items":{},"at":1})", R"({"items":[],"at":"1"})" })
        CHECK_THROWS_AS(platform::PlatformObjectApi::decodePage(damaged, "servers", 0), core::Error);
    for (const char* damaged : { R"({"events":3,"at":1})", R"({"events":[3],"at":1})", R"({"events":[{}],"at":1})" })
        CHECK_THROWS_AS(platform::PlatformObjectApi::decodeChanges(damaged, "servers", 0), core::Error);
    const std::string page = R"({"items":[3,{"metadata":{}},{"metadata":{"name":"bad","revision":2},"spec":")"
                             "\xff"
                             R"("},{"metadata":{"name":"good","revision":3},"spec":{}}],"at":9})";
    const store::ObjectPage decoded = platform::PlatformObjectApi::decodePage(page, "servers", 0);
    REQUIRE(decoded.batch.objects.size() == 2);
    CHECK(decoded.batch.objects[1].object.name == "good");
}

// Guards against a removal that is ignored as already known, because it has the revision of the state that it removes.
TEST_CASE("a removal is newer than the state that it removes", "[platform]")
{
    const std::string object = R"({"metadata":{"name":"i-1","revision":7},"spec":{},"status":null})";
    const store::ObjectPage page = platform::PlatformObjectApi::decodePage(R"({"items":[)" + object + R"(],"at":7})", "servers", 0);
    const store::ObjectBatch changes = platform::PlatformObjectApi::decodeChanges(R"({"events":[{"deleted":true,"object":)" + object + R"(}],"at":9})", "servers", 0);
    REQUIRE(page.batch.objects.size() == 1);
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.version == 9);
    CHECK(changes.objects[0].object.deleted);
    CHECK(changes.objects[0].object.version > page.batch.objects[0].object.version);
}

// Guards against passing a caller the answer to another request, and against taking Not-Executed from the answer to an
// earlier request on the same connection, which would allow a second run of a request that has run.
TEST_CASE("an answer is matched to the request with its id", "[platform]")
{
    using platform::PlatformDialect;
    using wire::AnswerMatch;
    const wire::RequestHeader own = requestWithId("1");
    CHECK(PlatformDialect::matchAnswer(answer(200, { { "Request-Id", "1" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::ThisRequest);
    CHECK(PlatformDialect::matchAnswer(answer(500, { { "Request-Id", "1" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::ThisRequest);
    CHECK(PlatformDialect::matchAnswer(answer(200, { { "Request-Id", "2" }, { "Server-Stamp", "s" } }), own, true) == AnswerMatch::EarlierRequest);
    CHECK(PlatformDialect::matchAnswer(answer(503, { { "Request-Id", "2" }, { "Not-Executed", "1" } }), own, true) == AnswerMatch::EarlierRequest);
    CHECK(PlatformDialect::matchAnswer(answer(503, { { "Request-Id", "1" }, { "Not-Executed", "1" } }), own, true) == AnswerMatch::Refused);
    CHECK(PlatformDialect::matchAnswer(answer(421, { { "Request-Id", "1" } }), own, true) == AnswerMatch::Misdirected);
    CHECK(PlatformDialect::matchAnswer(answer(503, { { "Not-Executed", "1" } }), own, false) == AnswerMatch::Invalid);
    CHECK(PlatformDialect::matchAnswer(answer(200, { { "Request-Id", "1" } }), own, true) == AnswerMatch::Invalid);
    CHECK(PlatformDialect::matchAnswer(answer(200, { { "Request-Id", "1" }, { "Server-Stamp", "s" }, { "Content-Encoding", "gzip" } }), own, true) == AnswerMatch::Invalid);
}

// Guards against misreading Server-Load: running, waiting, slots and, optionally, the slowdown in percent.
TEST_CASE("the server load is parsed from an answer", "[platform]")
{
    const auto load = platform::PlatformDialect::reportedLoad(answer(200, { { "Server-Load", "3,2,8,250" } }));
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 2);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 2.5);
    CHECK(platform::PlatformDialect::reportedLoad(answer(200, { { "Server-Load", "3,0,8" } }))->slowdown == 1);
    CHECK_FALSE(platform::PlatformDialect::reportedLoad(answer(200, { { "Server-Load", "many" } })));
    CHECK_FALSE(platform::PlatformDialect::reportedLoad(answer(200, {})));
}

// Guards against a status that promises that the request has not run although it may have, or leaves it open although
// the request certainly has not run.
TEST_CASE("429 and 503 are answered only for requests that have not run", "[platform]")
{
    for (std::size_t i = 0; i <= static_cast<std::size_t>(core::ErrorKind::CallerGone); ++i) {
        const auto kind = static_cast<core::ErrorKind>(i);
        const unsigned status = platform::PlatformDialect::errorResponse({ .request = {}, .error = kind, .key = {}, .retryAfter = {} }).result_int();
        INFO(core::errorInfo(kind).name);
        const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
        if (promises)
            CHECK(core::errorInfo(kind).runState == core::RunState::NotRun);
        if (status == 502 || status == 504)
            CHECK(core::errorInfo(kind).runState != core::RunState::NotRun);
    }
}

// Guards against a Retry-After that is rounded up to a whole second, which would make callers wait too long.
TEST_CASE("Retry-After has fractions of a second", "[platform]")
{
    const wire::TextResponse response = platform::PlatformDialect::errorResponse({ .request = {}, .error = core::ErrorKind::Overloaded, .key = {}, .retryAfter = 250ms });
    CHECK(response.result_int() == 503);
    CHECK(response[http::field::retry_after] == "0.250");
}
