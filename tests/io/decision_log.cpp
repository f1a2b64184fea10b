// What the log of a `serve` process says about the configuration by which it decided.

#include "vm_process.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

// The first line of this event in which `field` has this value.
boost::json::object findLine(const std::string& log, const char* event, const char* field, const boost::json::value& value)
{
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        boost::json::error_code error;
        const boost::json::value parsed = boost::json::parse(line, error);
        if (error || !parsed.is_object() || !parsed.as_object().if_contains("event"))
            continue;
        const boost::json::object& fields = parsed.as_object();
        const boost::json::value* found = fields.if_contains(field);
        if (fields.at("event") == event && found && *found == value)
            return fields;
    }
    return {};
}

}

// Guards against a log from which nobody can tell by which configuration a request was decided, from where the VM had
// it, and how long ago the store had confirmed it.
TEST_CASE("a decision names its configuration, and the configuration its source and age", "[decision-log]")
{
    PlatformFixture fixture;
    VmProcess vm(fixture, { .name = "front-1", .peerAddress = fixture.freeAddress(), .peers = {} });
    REQUIRE(timeUntil([&] { return vm.isReady(); }, 5s) < 5s);
    fixture.writeConfiguration(2, "/second/");
    CHECK(timeUntil([&] { return RawClient(vm.callers).ask(post("/second/1", "bell", PlatformFixture::requestFields("served"))).status() == 200; }, 2s) < 2s);
    CHECK(RawClient(vm.callers).ask(get("/nowhere/", PlatformFixture::requestFields("unknown"))).status() == 404);
    const std::string log = vm.logUntil("\"unknown\"");
    INFO(log);
    const boost::json::object listed = findLine(log, "configuration", "version", 1);
    REQUIRE_FALSE(listed.empty());
    CHECK(listed.at("source") == "store-list");
    const boost::json::object watched = findLine(log, "configuration", "version", 2);
    REQUIRE_FALSE(watched.empty());
    CHECK(watched.at("source") == "store-watch");
    CHECK(watched.at("revision").as_int64() > listed.at("revision").as_int64());
    for (const auto& [event, request] : { std::pair { "sent", "served" }, { "answered", "served" }, { "refused", "unknown" } }) {
        INFO(event);
        const boost::json::object decision = findLine(log, event, "request", request);
        REQUIRE_FALSE(decision.empty());
        CHECK(decision.at("version") == 2);
        CHECK(decision.at("table").as_int64() > 0);
        CHECK(decision.at("knowledgeAgeMs").as_int64() >= 0);
        CHECK(decision.at("knowledgeAgeMs").as_int64() < 5000);
        CHECK(decision.at("tableAgeMs").as_int64() >= 0);
        CHECK(decision.at("tableAgeMs").as_int64() < 2000);
    }
    const std::string metrics = RawClient(vm.admin).ask(get("/v1/metrics")).body;
    CHECK_THAT(metrics, Catch::Contains("cranberryshed_store_knowledge_age_seconds{kind=\"config\"}"));
}
