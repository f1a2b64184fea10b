#include "request/retry_allowance.h"

#include <algorithm>

namespace cranberryshed::request {

std::int64_t RetryAllowance::bucketNumber(const Options& options, core::TimePoint time)
{
    return time.time_since_epoch() / (options.window / static_cast<std::int64_t>(bucketsPerWindow));
}

void RetryAllowance::advance(const Options& options, core::TimePoint now)
{
    const std::int64_t current = bucketNumber(options, now);
    const std::int64_t passed = std::clamp<std::int64_t>(current - this->newestBucket, 0, static_cast<std::int64_t>(bucketCount));
    for (std::int64_t i = 0; i < passed; ++i)
        this->bucket(current - i) = {};
    this->newestBucket = std::max(this->newestBucket, current);
}

void RetryAllowance::countRequest(const Options& options, core::TimePoint now)
{
    this->advance(options, now);
    this->bucket(this->newestBucket).requests += 1;
}

double RetryAllowance::ownSlack(const Options& options, std::size_t slackSharers, bool isFirstWindow)
{
    if (slackSharers == 0)
        return 0;
    const double fraction = isFirstWindow ? 1 - options.usedFraction : options.usedFraction;
    return fraction * options.slack / static_cast<double>(slackSharers) / options.threads;
}

bool RetryAllowance::trySpend(const Options& options, std::size_t slackSharers, core::TimePoint now, core::TimePoint startedAt)
{
    this->advance(options, now);
    double requests = 0;
    double extraAttempts = 0;
    for (const Bucket& counted : this->counts) {
        requests += counted.requests;
        extraAttempts += counted.extraAttempts;
    }
    requests -= this->bucket(this->newestBucket + 1).requests; // the oldest bucket, partly before the window
    const double slack = ownSlack(options, slackSharers, now - startedAt < options.window);
    if (extraAttempts + 1 > options.usedFraction * options.share * requests + slack)
        return false;
    this->bucket(this->newestBucket).extraAttempts += 1;
    return true;
}

void RetryAllowance::recordSent(const Options& options, core::TimePoint takenAt, core::TimePoint now)
{
    this->advance(options, now);
    const std::int64_t taken = bucketNumber(options, takenAt);
    if (this->newestBucket - taken >= static_cast<std::int64_t>(bucketCount) || this->bucket(taken).extraAttempts < 1)
        return;
    this->bucket(taken).extraAttempts -= 1;
    this->bucket(this->newestBucket).extraAttempts += 1;
}

}
