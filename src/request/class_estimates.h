#pragma once

#include "core/types.h"

#include <algorithm>
#include <unordered_map>

namespace cranberryshed::request {

// Estimates per class: the run time of a request on a free slot of a backend server that is warm or cold for its
// object, and the size of an answer. Exponential moving averages; each time sample is clamped to limit the effect of
// outliers.
class ClassEstimates {
public:
    struct Estimate {
        core::Duration cold {};
        core::Duration warm {};
        double bytes = 0; // of an answer
    };

    // The estimate of a class. Before the first answer, a cold run is estimated at `assumedColdRun` and a warm one at
    // 2/3 of it.
    const Estimate& of(std::uint64_t classKey, core::Duration assumedColdRun)
    {
        const auto [entry, added] = this->estimates.try_emplace(classKey);
        if (added)
            entry->second = { .cold = assumedColdRun, .warm = assumedColdRun * 2 / 3 };
        return entry->second;
    }

    // Adds the time and answer size of one run. Ignored if of() was never called for the class.
    void add(std::uint64_t classKey, bool warm, core::Duration time, std::uint64_t bytes)
    {
        const auto found = this->estimates.find(classKey);
        if (found == this->estimates.end())
            return;
        Estimate& estimate = found->second;
        core::Duration& mean = warm ? estimate.warm : estimate.cold;
        const core::Duration sample = std::clamp(time, mean / maxDeviationFactor, mean * maxDeviationFactor);
        mean += core::Duration(static_cast<core::Duration::rep>(sampleWeight * static_cast<double>((sample - mean).count())));
        estimate.bytes += sampleWeight * (static_cast<double>(bytes) - estimate.bytes);
    }

private:
    static constexpr double sampleWeight = 0.05;
    static constexpr int maxDeviationFactor = 3; // samples are clamped to between 1/3 and 3 times the mean

    std::unordered_map<std::uint64_t, Estimate> estimates;
};

}
