#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: refuses requests that crashed backend servers, whichever entry VM saw it.
struct CheckQuarantine {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        if (this->state.shared.crashes->suspicion(context.fingerprint, *context.table, now) == Suspicion::Quarantined)
            return Step::end({ .request = context.arrival.request, .error = core::ErrorKind::Quarantined, .key = {}, .retryAfter = {} });
        return Step::pass(std::move(context));
    }
};

}
