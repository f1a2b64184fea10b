#include "request/retry_allowance.h"

#include <algorithm>

namespace cranberryshed::request {

void RetryAllowance::advance(const Options& options, core::TimePoint now)
{
    const std::int64_t current = now.time_since_epoch() / (options.window / static_cast<std::int64_t>(parts));
    const std::int64_t passed = std::clamp<std::int64_t>(current - this->newest, 0, static_cast<std::int64_t>(parts));
    for (std::int64_t i = 0; i < passed; ++i)
        this->counts[static_cast<std::size_t>(current - i) % parts] = {};
    this->newest = std::max(this->newest, current);
}

void RetryAllowance::countRequest(const Options& options, core::TimePoint now)
{
    this->advance(options, now);
    this->counts[static_cast<std::size_t>(this->newest) % parts].requests += 1;
}

bool RetryAllowance::trySpend(const Options& options, std::size_t members, core::TimePoint now)
{
    this->advance(options, now);
    double requests = 0;
    double extra = 0;
    for (const Part& part : this->counts) {
        requests += part.requests;
        extra += part.extra;
    }
    const double allowed = options.usedFraction * (options.share * requests + options.slack / static_cast<double>(std::max<std::size_t>(1, members)));
    if (extra + 1 > allowed)
        return false;
    this->counts[static_cast<std::size_t>(this->newest) % parts].extra += 1;
    return true;
}

}
