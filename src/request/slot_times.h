#pragma once

#include "core/types.h"

#include <cstdint>
#include <unordered_map>

namespace cranberryshed::request {

// Mean time for which attempts of each class hold a slot, as an exponential moving average.
class SlotTimes {
public:
    explicit SlotTimes(core::Duration assumedTime = std::chrono::milliseconds(20))
        : assumed(assumedTime)
    {
    }

    void add(std::uint64_t classKey, core::Duration elapsed)
    {
        const auto value = static_cast<double>(elapsed.count());
        auto [entry, added] = this->means.try_emplace(classKey, value);
        if (!added)
            entry->second += sampleWeight * (value - entry->second);
    }

    // Mean slot time of the class; the assumed time before the first sample.
    core::Duration mean(std::uint64_t classKey) const
    {
        const auto found = this->means.find(classKey);
        return found == this->means.end() ? this->assumed : core::Duration(static_cast<std::int64_t>(found->second));
    }

private:
    static constexpr double sampleWeight = 0.05;

    core::Duration assumed;
    std::unordered_map<std::uint64_t, double> means; // by class key, in µs
};

}
