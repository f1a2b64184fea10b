#pragma once

#include "control/pipeline_types.h"
#include "core/load_digest.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryshed::control {

// Measures this VM's demand per class from the counts of its traffic threads, exponentially smoothed.
class DemandMeter {
public:
    // Adds the requests of one class that arrived since the last call, and how many of them were rejected.
    void addArrivals(const std::string& className, std::uint32_t arrived, std::uint32_t rejected, core::TimePoint now);

    // Records that an attempt of this class ended after it held a slot for `slotTime`.
    void addAttempt(const std::string& className, core::Duration slotTime);

    std::vector<LocalDemand> demand(core::TimePoint now) const;

    // This VM's contribution to the load digest of its failure domain.
    core::DomainDigest loadDigest(const core::SteeringTable&, core::TimePoint now) const;

private:
    // An exponentially decaying rate: each arrival adds 1/smoothingSeconds, and the sum decays with that time constant.
    struct Rate {
        double perSecond = 0;
        core::TimePoint at {};

        void add(std::uint32_t count, core::TimePoint now);
        double value(core::TimePoint now) const;
    };

    struct Meter {
        Rate arrived;
        Rate rejected;
        double meanSlotSeconds = 0; // mean time for which an answered attempt holds a slot; 0: no attempt yet
        double tailSlotSeconds = 0; // estimated 99th percentile of that time; 0: no attempt yet
    };

    std::map<std::string, Meter> meters;
};

}
