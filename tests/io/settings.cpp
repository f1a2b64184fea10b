#include "app/settings.h"

#include "core/errors.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

using namespace cranberryshed;

namespace {

const std::string valid = R"({
    // an entry VM
    "fleet": "foundry", "name": "entry-1", "failureDomain": "jyl-1",
    "callerAddress": "127.0.0.1:8080", "adminAddress": "127.0.0.1:8081", "peerAddress": "127.0.0.1:0",
    "storeAddress": "127.0.0.1:9000", "peers": [ "127.0.0.2:8082" ], "trafficThreads": 2, "chooser": "two-choices",
    "limits": { "headerBytes": 8192, "idleTimeoutMs": 1000 }, "shutdown": { "acceptMs": 10 }, "log": { "level": "error", "format": "json" },
})";

}

// Guards against a setting that is accepted but ignored.
TEST_CASE("settings are read over the defaults", "[settings]")
{
    std::vector<declare::Problem> problems;
    const app::Settings settings = app::parseSettings(valid, problems);
    REQUIRE(problems.empty());
    CHECK(settings.vm.fleet == "foundry");
    CHECK(settings.vm.name == "entry-1");
    CHECK(settings.vm.seeds == std::vector<std::string> { "127.0.0.2:8082" });
    CHECK(settings.vm.trafficThreads == 2);
    CHECK(settings.vm.chooser == request::ChooserKind::TwoChoices);
    CHECK(settings.vm.limits.maxHeaderBytes == 8192);
    CHECK(settings.vm.limits.idleTimeout == std::chrono::seconds(1));
    CHECK(settings.vm.limits.headerTimeout == wire::TrafficLimits {}.headerTimeout);
    CHECK(settings.vm.acceptTimeWhileLeaving == std::chrono::milliseconds(10));
    CHECK(settings.logLevel == app::LogLevel::Error);
    CHECK(settings.logFormat == app::LogFormat::Json);
}

// Guards against crashes on damaged files and against faults without a text. Settings are damaged at random: bytes are
// replaced or removed. Most of the results must be refused.
TEST_CASE("damaged settings are refused with a reason", "[settings]")
{
    core::RandomEngine random(1);
    std::size_t refused = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string text = valid;
        for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
            const std::size_t at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = static_cast<char>(random() % 256);
            else
                text.erase(at, 1 + random() % 20);
        }
        std::vector<declare::Problem> problems;
        app::parseSettings(text, problems);
        for (const declare::Problem& problem : problems)
            REQUIRE_FALSE(problem.text.empty());
        refused += problems.empty() ? 0 : 1;
    }
    CHECK(refused > 2500);
}

// Guards against a reference page that lacks an error kind or states a wrong status or run state for it.
TEST_CASE("the reference page lists every error kind with its status", "[settings]")
{
    std::ifstream file(SOURCE_DIR "/docs/reference.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    for (std::size_t i = 0; i <= static_cast<std::size_t>(core::ErrorKind::CallerGone); ++i) {
        const core::ErrorKindInfo& info = core::errorInfo(static_cast<core::ErrorKind>(i));
        CHECK_THAT(page, Catch::Contains("| `" + std::string(info.name) + "` | " + std::to_string(info.httpStatus) + " | " + std::string(core::nameOf(info.runState)) + " |"));
    }
}
