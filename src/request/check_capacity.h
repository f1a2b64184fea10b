#pragma once

#include "request/admit.h"
#include "request/state.h"

namespace cranberryshed::request {

// Filter: applies Admit and counts the rejected requests as demand. If control saw only the admitted requests, it would
// never move traffic away from a full region.
struct CheckCapacity {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        ClassState& classState = this->state.classStateOf(context.classEntry());
        Step step = Admit { .headroom = this->state.headroom, .times = this->state.slotTimes }(std::move(context), now);
        if (step.ended()) {
            ++classState.demand.arrived;
            ++classState.demand.rejected;
        }
        return step;
    }
};

}
