#pragma once

#include "core/types.h"

#include <algorithm>
#include <unordered_map>

namespace cranberryshed::request {

// How long the requests of each class take at a backend server with a free slot, warm and cold, and how large their
// answers are: moving averages in which single outliers count little.
class ClassEstimates {
public:
    struct Estimate {
        core::Duration cold {};
        core::Duration warm {};
        double bytes = 0; // of an answer
    };

    // The estimate of a class; before the first answers, `assumed` for a cold run.
    const Estimate& of(std::uint64_t classKey, core::Duration assumed)
    {
        const auto [place, added] = this->estimates.try_emplace(classKey);
        if (added)
            place->second = { .cold = assumed, .warm = assumed * 2 / 3 };
        return place->second;
    }

    void add(std::uint64_t classKey, bool warm, core::Duration time, std::uint64_t bytes)
    {
        const auto found = this->estimates.find(classKey);
        if (found == this->estimates.end())
            return;
        Estimate& estimate = found->second;
        core::Duration& mean = warm ? estimate.warm : estimate.cold;
        const core::Duration sample = std::clamp(time, mean / outlierRatio, mean * outlierRatio);
        mean += core::Duration(static_cast<core::Duration::rep>(sampleWeight * static_cast<double>((sample - mean).count())));
        estimate.bytes += sampleWeight * (static_cast<double>(bytes) - estimate.bytes);
    }

private:
    static constexpr double sampleWeight = 0.05;
    static constexpr int outlierRatio = 3;

    std::unordered_map<std::uint64_t, Estimate> estimates;
};

}
