// Backend servers that end an answer too early: in its head, or in its body.

#include "raw_fixtures.h"

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

const std::string fields(PlatformRawFixture::answerFields);

// Heads of answers, up to the empty line.
const std::vector<std::string> heads = {
    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\n" + fields + "\r\n", // the body ends with the connection
    "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
};

}

// Guards against an answer that breaks off in its head and reaches the caller as a success with an empty or short body.
TEST_CASE("an answer that is cut in its head is a failure for the caller", "[cut-answers]")
{
    const std::string method = GENERATE("GET", "HEAD", "POST");
    const bool isReset = GENERATE(false, true);
    const bool isKept = GENERATE(false, true); // the connection has answered another request before
    std::map<std::string, RawServer::Answer> answers;
    std::vector<std::string> lines;
    for (std::size_t i = 0; i < heads.size(); ++i) {
        for (std::size_t length = 0; length < heads[i].size(); length += method == "GET" && !isReset ? 1 : 7) {
            lines.push_back(method + (method == "POST" ? " /write/" : " /read/") + std::to_string(i) + "-" + std::to_string(length));
            answers.emplace(lines.back(), RawServer::Answer { .bytes = heads[i].substr(0, length), .closeAfter = !isReset, .resetAfter = isReset });
        }
    }
    PlatformRawFixture fixture(std::move(answers));
    for (const std::string& line : lines) {
        if (isKept)
            REQUIRE(fixture.isServed());
        INFO(line << ", reset " << isReset << ", kept connection " << isKept);
        CHECK(fixture.ask(line).completeStatus() == 502);
    }
}

// Guards against an answer whose body breaks off and that looks complete, while it is buffered and while it is relayed.
TEST_CASE("an answer that is cut in its body doesn't look complete", "[cut-answers]")
{
    const std::size_t size = GENERATE(20, 3 * 1024 * 1024); // the larger one is relayed while it arrives
    const std::string half(size / 2, 'x');
    const std::string status = "HTTP/1.1 200 OK\r\n" + fields;
    const std::vector<std::string> cut = {
        status + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + half,
        status + "Transfer-Encoding: chunked\r\n\r\n" + (std::ostringstream() << std::hex << size).str() + "\r\n" + half,
        status + "Transfer-Encoding: chunked\r\n\r\n" + (std::ostringstream() << std::hex << half.size()).str() + "\r\n" + half + "\r\n",
        status + "Transfer-Encoding: chunked\r\n\r\n" + (std::ostringstream() << std::hex << half.size()).str() + "\r\n" + half + "\r\n0\r\n",
    };
    std::map<std::string, RawServer::Answer> answers;
    for (std::size_t i = 0; i < cut.size(); ++i) {
        answers.emplace("GET /read/closed" + std::to_string(i), RawServer::Answer { .bytes = cut[i], .closeAfter = true });
        answers.emplace("GET /read/reset" + std::to_string(i), RawServer::Answer { .bytes = cut[i], .resetAfter = true });
    }
    answers.emplace("GET /read/reset-to-eof", RawServer::Answer { .bytes = status + "\r\n" + half, .resetAfter = true });
    PlatformRawFixture fixture(answers);
    for (const auto& [line, answer] : answers) {
        INFO(line << ", " << size << " bytes");
        const int complete = fixture.ask(line).completeStatus();
        CHECK((complete == 0 || complete == 502));
    }
}
