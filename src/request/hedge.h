#pragma once

#include "request/retry.h"

namespace cranberryshed::request {

// Estimates one quantile of a stream of durations in constant memory. A sample above the estimate raises it, a sample
// below lowers it; the ratio of the two steps makes the estimate settle at the quantile.
class QuantileTracker {
public:
    explicit QuantileTracker(double trackedQuantile)
        : quantile(trackedQuantile)
    {
    }

    void add(core::Duration sample);

    // The estimate, or nothing before the first minSamples samples.
    std::optional<core::Duration> estimate() const;

private:
    static constexpr double relativeStep = 0.05; // relative to the estimate; the estimate follows a change of load within a few hundred samples
    static constexpr unsigned minSamples = 100;

    double quantile;
    double value = 0; // µs
    unsigned samples = 0; // counted only up to minSamples
};

// Settings of hedging: sending a second attempt while the first one is still without an answer.
struct HedgeOptions {
    // Off unless a measurement supports it, see docs/design/retries.md.
    bool enabled = false;
    double quantile = 0.95;
    BudgetOptions budget { .tokensPerSuccess = 0.01, .refillThreshold = 0, .refillPerSecond = 0, .maxTokens = 10 };
    double maxLoad = 0.6; // no hedge is sent if a larger fraction of the class's slots is in use
    core::Duration minDelay = std::chrono::milliseconds(1);
};

// Properties of a request that decide whether it can be hedged.
struct HedgeCandidate {
    core::Idempotency idempotency = core::Idempotency::Idempotent;
    core::WorkLength length = core::WorkLength::Short;
    bool replayable = true;
    bool isIsolated = false; // runs isolated
};

// Returns how long to wait for the head of an answer before a hedge is sent, or nothing if the request can't be hedged.
std::optional<core::Duration> hedgeDelay(const HedgeCandidate&, const HedgeOptions&, const QuantileTracker&);

// Returns whether the hedge can be sent now, and takes its token from the budget. `load` is the fraction of the class's
// slots in use.
bool tryHedge(const HedgeOptions&, double load, TokenBudget&, core::TimePoint now);

}
