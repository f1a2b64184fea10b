#include "request/outlier.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using namespace std::chrono_literals;
using request::OutlierState;

namespace {

constexpr std::uint64_t classKey = 5;

// A detector with 100 attempts of 10 ms at each server.
struct Setup {
    explicit Setup(std::uint64_t servers)
    {
        std::vector<std::uint64_t> keys;
        for (std::uint64_t key = 1; key <= servers; ++key)
            keys.push_back(key);
        this->detector.setServers(keys);
        for (int i = 0; i < 100; ++i) {
            for (std::uint64_t key : keys)
                this->run(key, 10ms);
        }
    }

    request::OutlierDetector::TrackedAttempt start(std::uint64_t server)
    {
        const request::OutlierDetector::TrackedAttempt attempt { .serverKey = server, .classKey = classKey, .startedAt = this->now };
        this->detector.recordStart(attempt);
        return attempt;
    }

    void run(std::uint64_t server, core::Duration elapsed, core::AttemptResult result = core::AttemptResult::Answered)
    {
        const request::OutlierDetector::TrackedAttempt attempt = this->start(server);
        this->now += elapsed;
        this->detector.recordEnd(attempt, result, this->now);
    }

    OutlierState at(std::uint64_t server) const { return this->detector.outlierState(server, this->now); }

    request::OutlierDetector detector { {} };
    core::TimePoint now { 1s };
};

}

// Guards against sending requests to a slow server until its first slow attempt ends.
TEST_CASE("a slow server is suspect while its attempt runs", "[outlier]")
{
    Setup setup(10);
    const auto attempt = setup.start(3);
    setup.now += 20ms;
    CHECK(setup.at(3) == OutlierState::Usable);
    setup.now += 10ms;
    CHECK(setup.at(3) == OutlierState::Suspect);
    setup.now += 70ms;
    setup.detector.recordEnd(attempt, core::AttemptResult::Answered, setup.now);
    CHECK(setup.at(3) == OutlierState::Ejected);
}

// Guards against a server that stays ejected for ever, and against one that gets full traffic while it is still slow.
TEST_CASE("an ejected server returns after one successful probe", "[outlier]")
{
    Setup setup(10);
    setup.run(3, 100ms);
    CHECK(setup.at(3) == OutlierState::Ejected);
    setup.now += 501ms;
    CHECK(setup.at(3) == OutlierState::Probing);
    const auto probe = setup.start(3);
    CHECK(setup.at(3) == OutlierState::Ejected);
    setup.now += 100ms;
    setup.detector.recordEnd(probe, core::AttemptResult::Answered, setup.now);
    setup.now += 600ms;
    CHECK(setup.at(3) == OutlierState::Ejected); // the second ejection is twice as long
    setup.now += 500ms;
    setup.run(3, 10ms);
    CHECK(setup.at(3) == OutlierState::Usable);
}

// Guards against sending requests to a dead server, and against ejecting a server that only refuses requests.
TEST_CASE("a failed connection ejects at once, a refusal does not", "[outlier]")
{
    Setup setup(10);
    setup.run(1, 1ms, core::AttemptResult::ConnectFailed);
    setup.run(2, 1ms, core::AttemptResult::Broken);
    for (int i = 0; i < 10; ++i)
        setup.run(4, 1ms, core::AttemptResult::Refused);
    CHECK(setup.at(1) == OutlierState::Ejected);
    CHECK(setup.at(2) == OutlierState::Ejected);
    CHECK(setup.at(4) == OutlierState::Usable);
}

// Guards against ejecting a server because of long requests, whose time depends on their size.
TEST_CASE("attempts of long classes do not make a server suspect", "[outlier]")
{
    Setup setup(10);
    const request::OutlierDetector::TrackedAttempt attempt { .serverKey = 3, .classKey = 9, .length = core::WorkLength::Long, .startedAt = setup.now };
    setup.detector.recordStart(attempt);
    setup.now += 60s;
    CHECK(setup.at(3) == OutlierState::Usable);
    setup.detector.recordEnd(attempt, core::AttemptResult::Answered, setup.now);
    CHECK(setup.at(3) == OutlierState::Usable);
}

// Guards against ejecting so many servers that the others are overloaded.
TEST_CASE("at most the maximum share of servers is ejected", "[outlier]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Setup setup(10);
        core::RandomEngine random(seed);
        std::size_t most = 0;
        for (int i = 0; i < 500; ++i) {
            setup.run(1 + random() % 10, core::Duration(random() % 200'000), random() % 4 == 0 ? core::AttemptResult::Broken : core::AttemptResult::Answered);
            most = std::max(most, setup.detector.ejectedCount(setup.now));
        }
        CHECK(most <= 4);
        CHECK(most > 0);
    }
}

// Guards against slow servers that raise the median with their own samples and so stay undetected.
TEST_CASE("a fifth of slow samples hardly moves the usual time", "[outlier]")
{
    request::RunningMedian typical;
    core::RandomEngine random(3);
    for (int i = 0; i < 5000; ++i)
        typical.add(random() % 5 == 0 ? core::Duration(100ms) : core::Duration(8000 + random() % 4000));
    CHECK(typical.medianSeconds() > 0.009);
    CHECK(typical.medianSeconds() < 0.0125);
}
