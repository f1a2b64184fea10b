#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: rejects new requests once this entry VM has been leaving for longer than EngineOptions::shutdownGrace.
// Until then they are served, because callers have cached look-up answers that still list this entry VM.
struct CheckShutdown {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        if (this->state.leavingSince && now - *this->state.leavingSince > this->state.options.shutdownGrace)
            return Step::end({ .request = context.arrival.request, .error = core::ErrorKind::ShuttingDown, .key = {}, .retryAfter = {} });
        return Step::pass(std::move(context));
    }
};

}
