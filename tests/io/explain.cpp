#include "app/explain.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace cranberryshed;

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

}

// Guards against a timeline that lacks a decision, an attempt or its inputs, or is out of order, and against counts
// that omit the lines which the log dropped.
TEST_CASE("explain prints exactly the golden file for a log of four VMs", "[explain]")
{
    std::ifstream log(SOURCE_DIR "/tests/golden/log.txt");
    const std::vector<app::LogRecord> records = app::readLog(log, "unnamed");
    std::ostringstream out;
    CHECK(app::printTimeline(records, "b705ddcb70a0e413", out));
    CHECK(app::printTimeline(records, "e408c446aa37cc1e", out));
    CHECK_FALSE(app::printTimeline(records, "unknown", out));
    app::printSlowest(records, 1, out);
    app::printRefused(records, out);
    const std::string golden = SOURCE_DIR "/tests/golden/explain.txt";
    if (std::getenv("UPDATE_GOLDEN"))
        std::ofstream(golden) << out.str();
    CHECK(out.str() == readFile(golden));
}

// Guards against records without an origin: a log that no collector has merged has no VM names in its lines.
TEST_CASE("a line without a prefix comes from the named file", "[explain]")
{
    std::istringstream log("{\"unixMs\":5,\"event\":\"start\"}\n[]\n{\"event\":\"start\"}\n\n");
    const std::vector<app::LogRecord> records = app::readLog(log, "vm-1.log");
    REQUIRE(records.size() == 1);
    CHECK(records[0].origin == "vm-1.log");
    CHECK(records[0].unixMs == 5);
}

// Guards against a request whose timeline doesn't say why it was not sent again: the crashes were seen by other VMs, whose
// lines don't name it.
TEST_CASE("explain shows the crashes because of which a request was not sent", "[explain]")
{
    std::istringstream log(R"(vm-1 {"unixMs":1,"event":"request-crashed","fingerprint":"00000000000002a7","server":"i-1","crashes":2}
vm-1 {"unixMs":2,"event":"request-crashed","fingerprint":"00000000000002a8","server":"i-2","crashes":1}
vm-2 {"unixMs":3,"event":"refused","request":"r1","error":"quarantined","fingerprint":"00000000000002a7","crashes":3}
vm-2 {"unixMs":4,"event":"refused","request":"r2","error":"overloaded","fingerprint":"","crashes":0}
)");
    const std::vector<app::LogRecord> records = app::readLog(log, "unnamed");
    std::ostringstream crashed;
    CHECK(app::printTimeline(records, "r1", crashed));
    CHECK(crashed.str().find("server=i-1 crashes=2") != std::string::npos);
    CHECK(crashed.str().find("i-2") == std::string::npos);
    std::ostringstream other;
    CHECK(app::printTimeline(records, "r2", other));
    CHECK(other.str().find("request-crashed") == std::string::npos);
}
