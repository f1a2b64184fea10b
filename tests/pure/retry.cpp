#include "request/retry.h"
#include "request/hedge.h"
#include "request/recent_failures.h"

#include "rig/tables.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
using std::chrono::milliseconds;

namespace {

constexpr core::TimePoint start { std::chrono::hours(5) };

request::FailedAttempt failedAttempt()
{
    return { .result = core::AttemptResult::Refused, .deadline = start + std::chrono::seconds(1) };
}

}

// Guards against retries that run a non-idempotent request twice, or append a second answer to a started one.
TEST_CASE("only requests that can safely run again are retried", "[retry]")
{
    const request::RetryOptions options;
    request::FailedAttempt failed = failedAttempt();
    CHECK(request::canRetry(failed, options));
    failed.mayHaveRun = true;
    CHECK(request::canRetry(failed, options));
    failed.idempotency = core::Idempotency::NonIdempotent;
    CHECK_FALSE(request::canRetry(failed, options));
    failed.mayHaveRun = false;
    CHECK(request::canRetry(failed, options));
    failed.replayable = false;
    CHECK_FALSE(request::canRetry(failed, options));
    failed = failedAttempt();
    failed.answerStarted = true;
    CHECK_FALSE(request::canRetry(failed, options));
    failed = failedAttempt();
    failed.attempts = options.maxAttempts;
    CHECK_FALSE(request::canRetry(failed, options));
}

// Guards against a retry that leaves too little time before the deadline, and against synchronised retries without
// jitter.
TEST_CASE("the delay grows with jitter and leaves time before the deadline", "[retry]")
{
    request::RetryOptions options;
    options.budget.refillThreshold = 10'000;
    request::TokenBudget budget(options.budget);
    core::RandomEngine random(1);
    request::FailedAttempt failed = failedAttempt();
    for (unsigned attempts = 1; attempts < options.maxAttempts; ++attempts) {
        failed.attempts = attempts;
        const core::Duration base = options.firstDelay * (1U << (attempts - 1));
        core::Duration least = core::Duration::max();
        core::Duration most {};
        for (int i = 0; i < 200; ++i) {
            const core::Duration delay = *request::retryDelay(failed, options, budget, random, start);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
        CHECK((least >= base / 2 && least < base * 6 / 10));
        CHECK((most <= base * 3 / 2 && most > base * 14 / 10));
    }
    failed.attempts = 1;
    failed.deadline = start + milliseconds(1);
    CHECK_FALSE(request::retryDelay(failed, options, budget, random, start));
}

// Guards against a retry storm: the budget is earned by successes, so it runs out in an outage of all servers.
TEST_CASE("extra attempts stay below five percent of successes", "[retry]")
{
    const request::RetryOptions retry;
    const request::HedgeOptions hedge;
    request::TokenBudget retries(retry.budget);
    request::TokenBudget hedges(hedge.budget);
    core::TimePoint now = start;
    unsigned extra = 0;
    constexpr unsigned requests = 100'000;
    for (unsigned i = 0; i < requests; ++i) {
        now += milliseconds(1);
        retries.onSuccess();
        hedges.onSuccess();
        extra += (retries.trySpend(now) ? 1 : 0) + (hedges.trySpend(now) ? 1 : 0);
    }
    CHECK(extra <= 0.05 * requests);
    CHECK(extra > 0.04 * requests);
    unsigned duringOutage = 0;
    for (unsigned i = 0; i < 10'000; ++i) {
        now += milliseconds(1);
        duringOutage += retries.trySpend(now) ? 1 : 0;
    }
    CHECK(duringOutage <= retry.budget.refillThreshold + retry.budget.refillPerSecond * 10 + 1);
}

// Guards against a retry at a server already tried, at one that refused with a Retry-After, or in a failure domain
// that is down.
TEST_CASE("a retry excludes servers that were tried, failed recently or refused", "[retry]")
{
    const auto table = cranberryshed::rig::makeTable({ .servers = 6, .domains = 3 }); // server i is in domain i % 3
    const auto key = [&](std::uint32_t index) { return table->servers[index].key; };
    request::ServerPauses pauses({});
    const auto excluded = [&](const request::RecentFailures& failures, std::vector<std::uint64_t> tried, core::TimePoint now) {
        std::vector<std::uint32_t> indexes;
        for (core::ServerIndex index : failures.exclusions(*table, core::ClassIndex { 0 }, tried, pauses.remaining(now), now).servers)
            indexes.push_back(index.value);
        std::ranges::sort(indexes);
        return indexes;
    };
    request::RecentFailures failures({});
    CHECK(excluded(failures, { key(2) }, start) == std::vector<std::uint32_t> { 2 });
    failures.record(key(0), core::AttemptResult::Broken, start);
    CHECK(excluded(failures, {}, start) == std::vector<std::uint32_t> { 0 });
    failures.record(key(3), core::AttemptResult::ConnectFailed, start);
    CHECK(excluded(failures, {}, start + milliseconds(100)) == std::vector<std::uint32_t> { 0, 3 });
    failures.record(key(3), core::AttemptResult::Answered, start);
    CHECK(excluded(failures, {}, start + milliseconds(100)).empty());
    pauses.pause(key(5), milliseconds(300), start);
    CHECK(excluded(failures, {}, start + milliseconds(299)) == std::vector<std::uint32_t> { 5 });
    CHECK(excluded(failures, {}, start + milliseconds(300)).empty());

    std::vector<std::uint64_t> all;
    for (const core::ServerEntry& server : table->servers) {
        all.push_back(server.key);
        pauses.pause(server.key, milliseconds(200), start);
    }
    const request::Exclusions none = failures.exclusions(*table, core::ClassIndex { 0 }, {}, pauses.remaining(start), start);
    CHECK_FALSE(none.hasCandidates);
    CHECK(none.retryAfter == core::Duration(milliseconds(200)));
    CHECK_FALSE(failures.exclusions(*table, core::ClassIndex { 0 }, all, {}, start + std::chrono::seconds(1)).hasCandidates);
}

// Guards against an estimate that is far from the quantile or does not follow a change of the distribution.
TEST_CASE("the quantile tracker finds the 95th percentile", "[retry]")
{
    request::QuantileTracker tracker(0.95);
    CHECK_FALSE(tracker.estimate());
    core::RandomEngine random(2);
    std::exponential_distribution<double> distribution(1);
    for (const double mean : { 10'000.0, 40'000.0 }) { // µs
        for (int i = 0; i < 5000; ++i)
            tracker.add(core::Duration(static_cast<core::Duration::rep>(mean * distribution(random))));
        const double ideal = mean * 3.0; // ln 20
        const auto estimate = static_cast<double>(tracker.estimate()->count());
        CHECK(estimate > 0.7 * ideal);
        CHECK(estimate < 1.4 * ideal);
    }
}

// Guards against hedges of requests that are non-idempotent, long, not replayable or suspect, and against hedges under
// load.
TEST_CASE("only short idempotent requests are hedged, up to maxLoad", "[retry]")
{
    request::QuantileTracker latency(0.95);
    for (int i = 0; i < 200; ++i)
        latency.add(milliseconds(10));
    request::HedgeOptions options { .enabled = true };
    CHECK(request::hedgeDelay({}, options, latency));
    CHECK_FALSE(request::hedgeDelay({ .idempotency = core::Idempotency::NonIdempotent }, options, latency));
    CHECK_FALSE(request::hedgeDelay({ .length = core::WorkLength::Long }, options, latency));
    CHECK_FALSE(request::hedgeDelay({ .replayable = false }, options, latency));
    CHECK_FALSE(request::hedgeDelay({ .isIsolated = true }, options, latency));
    request::TokenBudget budget({ .tokensPerSuccess = 0, .refillThreshold = 5, .refillPerSecond = 0, .maxTokens = 5 });
    CHECK_FALSE(request::tryHedge(options, options.maxLoad + 0.01, budget, start));
    CHECK(request::tryHedge(options, options.maxLoad, budget, start));
    options.enabled = false;
    CHECK_FALSE(request::hedgeDelay({}, options, latency));
}
