#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <concepts>
#include <optional>

namespace cranberryshed::request {

// Settings of a TokenBudget. One token pays for one extra attempt.
struct BudgetOptions {
    double tokensPerSuccess = 0; // tokens added per success
    double refillThreshold = 0; // a budget below this also refills with time, so that a class with little traffic can retry
    double refillPerSecond = 0; // tokens added per second below the threshold
    double maxTokens = 0; // bound on the tokens accumulated from successes
};

// Retry budget: limits the extra attempts of one class on one traffic thread to a fraction of its recent successes.
// When most attempts fail, the budget runs out, so retries cannot amplify an overload.
class TokenBudget {
public:
    explicit TokenBudget(BudgetOptions);

    void onSuccess();
    // Takes one token. Returns false if there is none.
    bool trySpend(core::TimePoint now);

private:
    BudgetOptions options;
    double tokens;
    std::optional<core::TimePoint> refilledAt;
};

// Settings of retries.
struct RetryOptions {
    // Together with HedgeOptions::budget, this allows at most 5 % extra attempts in steady state.
    BudgetOptions budget { .tokensPerSuccess = 0.035, .refillThreshold = 3, .refillPerSecond = 0.02, .maxTokens = 50 };
    unsigned maxAttempts = 4; // per request, including the first one
    core::Duration firstDelay = std::chrono::milliseconds(2); // doubled for each further attempt
    core::Duration maxDelay = std::chrono::milliseconds(200);
};

// State of a request when one of its attempts has failed.
struct FailedAttempt {
    core::AttemptResult result = core::AttemptResult::Broken;
    core::Idempotency idempotency = core::Idempotency::Idempotent;
    bool mayHaveRun = false; // this or an earlier attempt may have run the request
    bool replayable = true; // the front end can resend the body
    bool answerStarted = false; // the caller has received part of an answer
    unsigned attempts = 1; // attempts so far
    core::TimePoint deadline {};
};

// Returns whether another attempt is safe and possible, regardless of deadline and budget.
bool canRetry(const FailedAttempt&, const RetryOptions&);

// Returns the delay before the next attempt, or nothing if the request must not be retried, regardless of the budget.
// The delay grows exponentially, with a random factor between 0.5 and 1.5. If it exceeds half of the time left until
// the deadline, the request is not retried.
std::optional<core::Duration> backoffDelay(const FailedAttempt&, const RetryOptions&, core::RandomEngine&, core::TimePoint now);

// Like backoffDelay(), but calls `trySpend` if there is a delay, and returns nothing if it returns false.
template <std::predicate TrySpend>
std::optional<core::Duration> retryDelay(const FailedAttempt& failed, const RetryOptions& options, TrySpend trySpend, core::RandomEngine& random, core::TimePoint now)
{
    const std::optional<core::Duration> delay = backoffDelay(failed, options, random, now);
    return delay && trySpend() ? delay : std::nullopt;
}

// Like the overload above, with the budget's trySpend().
std::optional<core::Duration> retryDelay(const FailedAttempt&, const RetryOptions&, TokenBudget&, core::RandomEngine&, core::TimePoint now);

}
