#pragma once

#include "control/pipeline_types.h"
#include "core/load_digest.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryshed::control {

// This VM's own demand per class, smoothed over some seconds, from what its traffic threads count.
class DemandMeter {
public:
    // Requests of one class that arrived since the last call, and how many of them were rejected.
    void addArrivals(const std::string& className, std::uint32_t arrived, std::uint32_t rejected, core::TimePoint now);

    // An attempt of this class ended after it held a slot for `held`.
    void addAttempt(const std::string& className, core::Duration held);

    std::vector<LocalDemand> demand(core::TimePoint now) const;

    // The loads of this VM for its failure domain's sum.
    core::DomainDigest loadDigest(const core::SteeringTable&, core::TimePoint now) const;

private:
    struct Rate {
        double perSecond = 0;
        core::TimePoint at {};

        void add(std::uint32_t count, core::TimePoint now);
        double value(core::TimePoint now) const;
    };

    struct Meter {
        Rate arrived;
        Rate rejected;
        double heldSeconds = 0; // mean
        double tailSeconds = 0; // about the 99th percentile
    };

    std::map<std::string, Meter> meters;
};

}
