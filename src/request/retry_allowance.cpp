#include "request/retry_allowance.h"

#include <algorithm>

namespace cranberryshed::request {

void RetryAllowance::advance(const Options& options, core::TimePoint now)
{
    const std::int64_t current = now.time_since_epoch() / (options.window / static_cast<std::int64_t>(bucketCount));
    const std::int64_t passed = std::clamp<std::int64_t>(current - this->newestBucket, 0, static_cast<std::int64_t>(bucketCount));
    for (std::int64_t i = 0; i < passed; ++i)
        this->counts[static_cast<std::size_t>(current - i) % bucketCount] = {};
    this->newestBucket = std::max(this->newestBucket, current);
}

void RetryAllowance::countRequest(const Options& options, core::TimePoint now)
{
    this->advance(options, now);
    this->counts[static_cast<std::size_t>(this->newestBucket) % bucketCount].requests += 1;
}

bool RetryAllowance::trySpend(const Options& options, std::size_t members, core::TimePoint now)
{
    this->advance(options, now);
    double requests = 0;
    double extraAttempts = 0;
    for (const Bucket& bucket : this->counts) {
        requests += bucket.requests;
        extraAttempts += bucket.extraAttempts;
    }
    const double allowed = options.usedFraction * (options.share * requests + options.slack / static_cast<double>(std::max<std::size_t>(1, members)));
    if (extraAttempts + 1 > allowed)
        return false;
    this->counts[static_cast<std::size_t>(this->newestBucket) % bucketCount].extraAttempts += 1;
    return true;
}

}
