#pragma once

#include "request/retry.h"

namespace cranberryshed::request {

// Tracks one quantile of a stream of durations in a few bytes: a sample above the estimate raises it, one
// below lowers it, in the ratio at which the quantile is in balance.
class QuantileTracker {
public:
    explicit QuantileTracker(double trackedQuantile)
        : quantile(trackedQuantile)
    {
    }

    void add(core::Duration sample);

    // The estimate, or nothing before enough samples.
    std::optional<core::Duration> estimate() const;

private:
    static constexpr double step = 0.05; // relative; a change of load is followed within some hundred samples
    static constexpr unsigned minSamples = 100;

    double quantile;
    double value = 0; // µs
    unsigned samples = 0; // counted up to minSamples
};

struct HedgeOptions {
    // Off unless a measurement supports it, see docs/design/retries.md.
    bool enabled = false;
    double quantile = 0.95;
    BudgetOptions budget { .tokensPerSuccess = 0.01, .refillThreshold = 0, .refillPerSecond = 0, .maxTokens = 10 };
    double maxLoad = 0.6; // share of the class's slots in use above which no second attempt is sent
    core::Duration minDelay = std::chrono::milliseconds(1);
};

// What is known about a request when its first attempt is sent.
struct HedgeCandidate {
    core::Idempotency idempotency = core::Idempotency::Idempotent;
    core::WorkLength length = core::WorkLength::Short;
    bool replayable = true;
    bool suspect = false; // runs in isolation
};

// Returns how long to wait for the head of an answer before a second attempt, or nothing for never.
std::optional<core::Duration> hedgeDelay(const HedgeCandidate&, const HedgeOptions&, const QuantileTracker&);

// Whether the second attempt may be sent now. `load` is the share of the class's slots in use. Spends a token.
bool tryHedge(const HedgeOptions&, double load, TokenBudget&, core::TimePoint now);

}
