#include "wire/event_log.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

// Redirects standard output to a pipe until it is destroyed.
class CapturedOutput {
public:
    CapturedOutput()
        : saved(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
        ::dup2(this->ends[1], STDOUT_FILENO);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        wire::startEventLog();
    }

    ~CapturedOutput()
    {
        ::dup2(this->saved, STDOUT_FILENO);
        for (const int end : { this->ends[0], this->ends[1], this->saved })
            ::close(end);
    }

    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    std::string read()
    {
        std::string text;
        std::array<char, 65536> piece;
        for (ssize_t count = 0; (count = ::read(this->ends[0], piece.data(), piece.size())) > 0;)
            text.append(piece.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    std::array<int, 2> ends {};
    int saved;
};

void logRefusal(std::string_view request)
{
    wire::logEvent(wire::LogEvent::Refused, { { wire::LogField::Request, request }, { wire::LogField::InFlight, std::int64_t { 3 } } });
}

}

// Guards against lines that are not valid JSON, for example because a quote in a request id is not escaped.
TEST_CASE("an event is one JSON line", "[event-log]")
{
    CapturedOutput output;
    logRefusal("a\"b");
    const std::string text = output.read();
    REQUIRE(text.find('\n') == text.size() - 1);
    const boost::json::object line = boost::json::parse(text).as_object();
    CHECK(line.at("event") == "refused");
    CHECK(line.at("request") == "a\"b");
    CHECK(line.at("inFlight") == 3);
}

// Guards against a log whose volume grows with the request rate, and against lines that are left out but not counted.
TEST_CASE("the volume is bounded at many times the load, and what is left out is counted", "[event-log]")
{
    CapturedOutput output;
    constexpr core::TimePoint start { 100h };
    int written = 0;
    for (int i = 0; i < 10'000; ++i)
        written += wire::tryAdmitEvent(wire::LogEvent::CallerGone, true, start + std::chrono::microseconds(100 * i)) ? 1 : 0;
    CHECK(written <= 2 * wire::EventRateLimits {}.maxFailuresPerSecond + 1);
    wire::logEvent(wire::LogEvent::CallerGone, {});
    CHECK(boost::json::parse(output.read()).as_object().at("dropped") == 10'000 - written);
}

// Guards against a process that blocks on a full pipe because nobody reads its log.
TEST_CASE("a full pipe drops lines and blocks nothing", "[event-log]")
{
    CapturedOutput output;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 20'000; ++i)
        logRefusal("0123456789abcdef");
    CHECK(std::chrono::steady_clock::now() - begin < 10s);
    output.read();
    logRefusal("last");
    CHECK(output.read().find("\"dropped\":") != std::string::npos);
}
