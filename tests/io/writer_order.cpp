#include "platform/writer_order.h"

#include "platform/protocol_names.h"
#include "platform/store_api.h"

#include "core/errors.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryshed;

namespace {

constexpr std::uint64_t startedAtMs = 1'776'390'940'126;
const std::string started = std::to_string(startedAtMs);

std::uint64_t serverRevision(const std::string& spec, const std::string& status = "null")
{
    return platform::writerRevision(platform::kind::servers, R"({"metadata":{"name":"i-1","revision":5},"spec":)" + spec + R"(,"status":)" + status + "}");
}

// A configuration with one route, which only some regions may serve.
std::uint64_t configurationRevision(const std::string& version, const std::string& weight = "1")
{
    return platform::writerRevision(platform::kind::config, R"({"metadata":{"name":"main","revision":5},"spec":{"version":)" + version + R"(,"resources":[
        {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"h","path_prefix":"/p/","route_type":"unsafe","timeout":"2.5s","target_latency":"400ms","priority":1,"traffic_split":[{"service":"s","weight":)"
            + weight + R"(}],"max_attempts":2,"session_affinity":true,"allowed_regions":["jyl"]}},
        {"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_connections":330,"cold_start":"3s","cold_per_s":6.3}},
        {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]},"status":null})");
}

}

// Guards against states of a server that are ordered by the store although the server counts them.
TEST_CASE("a server's start and sequence order its states", "[writer-order]")
{
    const std::string spec = R"({"born":)" + started + R"(,"status":{"state":"ready","sequence":1}})";
    CHECK(serverRevision(spec) == core::lifecycleRevision(startedAtMs, 1));
    SECTION("the status that it wrote last counts")
    {
        CHECK(serverRevision(spec, R"({"state":"draining","sequence":7})") == core::lifecycleRevision(startedAtMs, 7));
        CHECK(serverRevision(spec, R"({"born":)" + started + R"(,"sequence":7})") == core::lifecycleRevision(startedAtMs, 7));
    }
    SECTION("a start that only the status states counts")
    {
        CHECK(serverRevision(R"({"status":{"sequence":1}})", R"({"born":)" + started + R"(,"sequence":7})") == core::lifecycleRevision(startedAtMs, 7));
        CHECK(serverRevision(spec, R"({"born":)" + std::to_string(startedAtMs + 60'000) + R"(,"sequence":2})") == core::lifecycleRevision(startedAtMs + 60'000, 2));
    }
    SECTION("the status of an earlier run doesn't count")
    {
        CHECK(serverRevision(spec, R"({"born":)" + std::to_string(startedAtMs - 60'000) + R"(,"state":"draining","sequence":900})") == core::lifecycleRevision(startedAtMs, 1));
    }
}

// Guards against an entry of another writer that can't be read, or that beats all states of the server for good.
TEST_CASE("what a server's entry states wrongly counts as not stated", "[writer-order]")
{
    const std::string invalid = GENERATE("null", "true", R"("1776390940126")", "-1", "1.5", "1e3", "[]", "{}", "18446744073709551616", "99999999999999999999999");
    INFO(invalid);
    CHECK(serverRevision(R"({"born":)" + invalid + R"(,"status":{"sequence":3}})") == core::lifecycleRevision(0, 3));
    CHECK(serverRevision(R"({"born":)" + started + R"(,"status":{"sequence":)" + invalid + "}}") == core::lifecycleRevision(startedAtMs, 0));
    CHECK(serverRevision(invalid) == core::lifecycleRevision(0, 0));
    CHECK(serverRevision(R"({"born":)" + started + R"(,"status":)" + invalid + "}") == core::lifecycleRevision(startedAtMs, 0));
}

// Guards against an entry whose fields are missing.
TEST_CASE("an entry of a server can lack all fields", "[writer-order]")
{
    CHECK(serverRevision("{}") == core::lifecycleRevision(0, 0));
    CHECK(platform::writerRevision(platform::kind::servers, R"({"metadata":{"name":"i-1"}})") == core::lifecycleRevision(0, 0));
    CHECK_THROWS_AS(platform::writerRevision(platform::kind::servers, "[]"), core::Error);
}

// Guards against a configuration without effect that keeps out the valid ones after it.
TEST_CASE("the number of a valid configuration orders it", "[writer-order]")
{
    CHECK(configurationRevision(R"("r12")") == core::numberRevision(12));
    CHECK(configurationRevision(R"("r12")", "0.5x") == core::numberRevision(0));
    const std::string invalid = GENERATE("null", "12", R"("12")", R"("r")", R"("r-1")", R"("r1.5")", R"("x12")", R"("r18446744073709551616")", "{}");
    INFO(invalid);
    CHECK(configurationRevision(invalid) == core::numberRevision(0));
}

// Guards against a kind that is ordered by a field which its writers don't set.
TEST_CASE("evacuations have no order of their own", "[writer-order]")
{
    CHECK(platform::writerOrderOf(platform::kind::config) == core::WriterOrder::Number);
    CHECK(platform::writerOrderOf(platform::kind::servers) == core::WriterOrder::Lifecycle);
    CHECK(platform::writerOrderOf(platform::kind::evacuations) == core::WriterOrder::None);
    CHECK(platform::writerRevision(platform::kind::evacuations, R"({"spec":{"version":"r9","born":5}})") == core::numberRevision(0));
}

// Guards against an object that is decoded without its position in the store.
TEST_CASE("an object has its writer's order and its position in the store", "[writer-order]")
{
    const std::string entry = R"({"metadata":{"name":"i-1","revision":41},"spec":{"born":)" + started + R"(,"status":{"sequence":3}},"status":null})";
    const store::ObjectPage page = platform::PlatformObjectApi::decodePage(R"({"items":[)" + entry + R"(],"has_more":false,"at":50})", "servers", 4);
    REQUIRE(page.batch.objects.size() == 1);
    CHECK(page.batch.objects[0].object.version == core::ObjectVersion { .revision = core::lifecycleRevision(startedAtMs, 3), .version = core::packPosition({ .era = 4, .revision = 41 }) });
    const store::ObjectBatch changes = platform::PlatformObjectApi::decodeChanges(R"({"events":[{"object":)" + entry + R"(,"deleted":true}],"at":50})", "servers", 4);
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.objects[0].object.deleted);
    CHECK(core::stageOf(changes.objects[0].object.version) == core::PositionStage::Removed);
    CHECK(core::positionOf(changes.objects[0].object.version) == core::StorePosition { .era = 4, .revision = 41 });
}
