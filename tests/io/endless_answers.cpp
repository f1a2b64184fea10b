// Backend servers that send bytes without end, until the entry VM closes the connection.

#include "platform_fixture.h"
#include "raw_server.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

const std::string answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: bad\r\nServer-Stamp: s\r\n";
const std::string earlierHead = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: s\r\n";
const std::string filler(4096, 'x');

struct EndlessCase {
    std::string name;
    RawServer::Answer answer;
};

std::vector<EndlessCase> endlessCases()
{
    std::vector<EndlessCase> cases = {
        { "no HTTP at all", { .bytes = filler, .endless = filler } },
        { "a header field", { .bytes = answerHead + "X-Long: ", .endless = filler } },
        { "header fields", { .bytes = answerHead, .endless = "X-Field: value\r\n" } },
        { "interim answers", { .bytes = "", .endless = "HTTP/1.1 103 Early Hints\r\n\r\n" } },
        { "interim answers with fields", { .bytes = "", .endless = "HTTP/1.1 102 Processing\r\nX-Field: " + filler + "\r\n\r\n" } },
        { "an answer to an earlier request without a length", { .bytes = earlierHead + "\r\n", .endless = filler } },
        { "answers to earlier requests", { .bytes = "", .endless = earlierHead + "Content-Length: 2\r\n\r\nok" } },
        { "a chunk size", { .bytes = answerHead + "Transfer-Encoding: chunked\r\n\r\n", .endless = "0000000000000000" } },
        { "a chunk extension", { .bytes = answerHead + "Transfer-Encoding: chunked\r\n\r\n5;ext=", .endless = filler } },
        { "trailer fields", { .bytes = answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", .endless = "X-Trailer: value\r\n" } },
        { "chunks", { .bytes = answerHead + "Transfer-Encoding: chunked\r\n\r\n", .endless = "2\r\nok\r\n" } },
        { "a body without a length", { .bytes = answerHead + "\r\n", .endless = filler } },
        { "a body with a huge length", { .bytes = answerHead + "Content-Length: 900000000000\r\n\r\n", .endless = filler } },
        { "the body of a refusal", { .bytes = "HTTP/1.1 503 Busy\r\nRequest-Id: bad\r\nNot-Executed: 1\r\n\r\n", .endless = filler } },
    };
    // The same byte by byte.
    for (std::size_t i = 0, count = cases.size(); i < count; ++i) {
        EndlessCase slow = cases[i];
        slow.name += ", slowly";
        slow.answer.endless.resize(1);
        slow.answer.endlessInterval = 5ms;
        cases.push_back(std::move(slow));
    }
    return cases;
}

// Resident memory of this process, which contains the entry VM.
std::size_t residentBytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string fields(const std::string& request, int deadlineMs)
{
    return "Request-Id: " + request + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
}

}

// Guards against an attempt that never ends, memory that grows with what a server sends, an answer without an end that
// looks complete to its caller, and other requests that have to wait meanwhile.
TEST_CASE("bytes without end from a server end with the request's deadline", "[endless]")
{
    constexpr int deadlineMs = 400;
    const std::vector<EndlessCase> cases = endlessCases();
    const EndlessCase& endless = GENERATE_COPY(from_range(cases));
    INFO(endless.name);
    PlatformFixture fixture(0);
    RawServer server({
        { "GET /read/bad", endless.answer },
        { "GET /read/good", { .bytes = "HTTP/1.1 200 OK\r\nRequest-Id: good\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok" } },
    });
    fixture.writeServerEntry("i-raw", server.address(), "ready");
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(timeUntil([&] { return PlatformFixture::isReady(vm); }, 5s) < 5s);
    const auto isServed = [&] { return RawClient(vm.callers).ask(get("/read/good", fields("good", 2000))).status() == 200; };
    REQUIRE(timeUntil(isServed, 5s) < 5s);

    const std::size_t bytesBefore = residentBytes();
    const auto begin = std::chrono::steady_clock::now();
    RawClient client(vm.callers);
    client.send("GET /read/bad HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" + fields("bad", deadlineMs) + "\r\n");
    const auto goodBegin = std::chrono::steady_clock::now();
    CHECK(isServed());
    CHECK(std::chrono::steady_clock::now() - goodBegin < 1s);
    const RawClient::Remainder received = client.readToEnd();
    // The deadline, the time for which an answer that has begun is still relayed after it, and a second to act.
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(deadlineMs) + 1s + 1s);
    const bool isError = received.start.starts_with("HTTP/1.1 5");
    const bool isBrokenOff = received.start.starts_with("HTTP/1.1 200") && !received.end.ends_with("\r\n0\r\n\r\n");
    CHECK((isError || isBrokenOff));
    CHECK(residentBytes() < bytesBefore + 32 * 1024 * 1024);
    CHECK(isServed());
}

// Guards against an answer without a length that breaks off and looks complete: HTTP/1.0 has no chunks, so the end of
// the connection marks the end of the answer, unless the connection is reset.
TEST_CASE("an answer that breaks off ends with a reset for an HTTP/1.0 caller", "[endless]")
{
    PlatformFixture fixture(0);
    const std::string large(2 * 1024 * 1024, 'x');
    RawServer server({ { "GET /read/bad", { .bytes = answerHead + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + large + "\r\n5\r\nab", .closeAfter = true } } });
    fixture.writeServerEntry("i-raw", server.address(), "ready");
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(timeUntil([&] { return PlatformFixture::isReady(vm); }, 5s) < 5s);
    RawClient client(vm.callers);
    client.send("GET /read/bad HTTP/1.0\r\nHost: test\r\n" + fields("bad", 2000) + "\r\n");
    CHECK(client.readToEnd().wasReset);
}
