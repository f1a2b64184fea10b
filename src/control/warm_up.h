#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Part of the shift cap that new servers may use; drains use the rest while servers warm up.
inline constexpr double maxWarmUpShareOfCap = 0.5;

// Filter: bounds how fast the new servers of a service together take traffic.
//
// Each server's own warm-up protects its caches. A whole batch that appears at once would still take half of the
// traffic within two minutes, which is a planned shift like a drain, so the sum of the steps stays under a part of
// the cap. A region whose need is above the headroom of its other servers is not bounded.
class PlanWarmUps {
public:
    Step operator()(Context, core::TimePoint now);

private:
    // The present warmth of the servers that have not yet reached their own, by name.
    std::map<std::string, double> warmths;
    core::TimePoint changedAt {};
};

}
