#include "request/hedge.h"

#include <algorithm>

namespace cranberryshed::request {

void QuantileTracker::add(core::Duration sample)
{
    // At least 1 µs: a multiplicative step can't leave 0.
    const double measured = std::max(1.0, static_cast<double>(sample.count()));
    if (this->samples == 0)
        this->value = measured;
    this->samples = std::min(this->samples + 1, minSamples);
    this->value *= measured > this->value ? 1 + relativeStep * this->quantile : 1 - relativeStep * (1 - this->quantile);
}

std::optional<core::Duration> QuantileTracker::estimate() const
{
    if (this->samples < minSamples)
        return std::nullopt;
    return core::Duration(static_cast<core::Duration::rep>(this->value));
}

std::optional<core::Duration> hedgeDelay(const HedgeCandidate& candidate, const HedgeOptions& options, const QuantileTracker& latency)
{
    const bool allowed = options.enabled && candidate.idempotency == core::Idempotency::Idempotent
        && candidate.length == core::WorkLength::Short && candidate.replayable && !candidate.isIsolated;
    if (!allowed || !latency.estimate())
        return std::nullopt;
    return std::max(*latency.estimate(), options.minDelay);
}

bool tryHedge(const HedgeOptions& options, double load, TokenBudget& budget, core::TimePoint now)
{
    return load <= options.maxLoad && budget.trySpend(now);
}

}
