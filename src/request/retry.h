#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <concepts>
#include <optional>

namespace cranberryshed::request {

struct BudgetOptions {
    double tokensPerSuccess = 0; // tokens earned by one success
    double refillThreshold = 0; // a budget below this fills up by itself, so that a quiet class can still retry
    double refillPerSecond = 0; // speed of that
    double maxTokens = 0; // tokens that can be saved up
};

// Tokens for extra attempts of one class on one traffic thread: a share of recent successes. When most
// attempts fail, successes and with them extra attempts stop, so retries cannot multiply an overload.
class TokenBudget {
public:
    explicit TokenBudget(BudgetOptions);

    void onSuccess();
    bool trySpend(core::TimePoint now);

private:
    BudgetOptions options;
    double tokens;
    std::optional<core::TimePoint> refilledAt;
};

struct RetryOptions {
    // Together with the hedge budget at most 5 % extra attempts in steady state.
    BudgetOptions budget { .tokensPerSuccess = 0.035, .refillThreshold = 3, .refillPerSecond = 0.02, .maxTokens = 50 };
    unsigned maxAttempts = 4; // of one request, the first one included
    core::Duration firstDelay = std::chrono::milliseconds(2); // doubled for each further attempt
    core::Duration maxDelay = std::chrono::milliseconds(200);
};

// What is known about a request when one of its attempts failed.
struct FailedAttempt {
    core::AttemptResult result = core::AttemptResult::Broken;
    core::Idempotency idempotency = core::Idempotency::Idempotent;
    bool mayHaveRun = false; // this or an earlier attempt may have run
    bool replayable = true; // the body can be sent again
    bool answerStarted = false; // the caller has received a part of an answer
    unsigned attempts = 1; // so far
    core::TimePoint deadline {};
};

// Whether sending the request again is safe and possible at all, whatever the budget.
bool canRetry(const FailedAttempt&, const RetryOptions&);

// How long to wait before the next attempt, or nothing if there is to be none, whatever the budget. The delay is
// exponential with jitter between half and one and a half, and leaves half of the time that remains until the deadline.
std::optional<core::Duration> backoffDelay(const FailedAttempt&, const RetryOptions&, core::RandomEngine&, core::TimePoint now);

// The same, if `trySpend` then takes an attempt from a budget.
template <std::predicate TrySpend>
std::optional<core::Duration> retryDelay(const FailedAttempt& failed, const RetryOptions& options, TrySpend trySpend, core::RandomEngine& random, core::TimePoint now)
{
    const std::optional<core::Duration> delay = backoffDelay(failed, options, random, now);
    return delay && trySpend() ? delay : std::nullopt;
}

std::optional<core::Duration> retryDelay(const FailedAttempt&, const RetryOptions&, TokenBudget&, core::RandomEngine&, core::TimePoint now);

}
