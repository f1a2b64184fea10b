#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: rejects requests whose fingerprint is quarantined: it crashed a server in an isolated run, on this or another
// entry VM.
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
