#include "request/retry.h"

#include <algorithm>

namespace cranberryshed::request {

TokenBudget::TokenBudget(BudgetOptions budgetOptions)
    : options(budgetOptions)
    , tokens(budgetOptions.refillThreshold)
{
}

void TokenBudget::onSuccess()
{
    this->tokens = std::min(this->tokens + this->options.tokensPerSuccess, std::max(this->tokens, this->options.maxTokens));
}

bool TokenBudget::trySpend(core::TimePoint now)
{
    const std::chrono::duration<double> passed = now - this->refilledAt.value_or(now);
    this->refilledAt = std::max(now, this->refilledAt.value_or(now));
    if (this->tokens < this->options.refillThreshold && passed.count() > 0)
        this->tokens = std::min(this->tokens + passed.count() * this->options.refillPerSecond, this->options.refillThreshold);
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

bool canRetry(const FailedAttempt& failed, const RetryOptions& options)
{
    if (failed.idempotency == core::Idempotency::NonIdempotent && failed.mayHaveRun)
        return false;
    return failed.replayable && !failed.answerStarted && failed.attempts < options.maxAttempts;
}

std::optional<core::Duration> retryDelay(const FailedAttempt& failed, const RetryOptions& options, TokenBudget& budget, core::RandomEngine& random, core::TimePoint now)
{
    return retryDelay(
        failed, options, [&] { return budget.trySpend(now); }, random, now);
}

std::optional<core::Duration> backoffDelay(const FailedAttempt& failed, const RetryOptions& options, core::RandomEngine& random, core::TimePoint now)
{
    if (!canRetry(failed, options) || now >= failed.deadline)
        return std::nullopt;
    core::Duration delay = options.firstDelay;
    for (unsigned i = 1; i < failed.attempts && delay < options.maxDelay; ++i)
        delay *= 2;
    delay = std::min(delay, options.maxDelay);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    delay = core::Duration(static_cast<core::Duration::rep>(static_cast<double>(delay.count()) * jitter(random)));
    if (delay > (failed.deadline - now) / 2)
        return std::nullopt;
    return delay;
}

}
