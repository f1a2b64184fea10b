#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Share of the shift cap that new servers can use. Drains use the rest while servers warm up.
inline constexpr double maxWarmUpShareOfCap = 0.5;

// Filter: bounds the rate at which the new servers of a service together take over traffic.
//
// The warm-up of a single server lets its caches fill. A whole batch that appears at once would still take over half
// of the traffic within two minutes. This is a planned shift like a drain, so the sum of all steps stays within
// maxWarmUpShareOfCap of the shift cap. The bound does not apply in a region whose demand exceeds the capacity of its
// servers without the headroom.
class PlanWarmUps {
public:
    Step operator()(Context, core::TimePoint now);

private:
    std::map<std::string, double> warmths; // current warmth of the servers still below their individual warmth, by name
    core::TimePoint changedAt {};
};

}
