#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: rejects new requests once this entry VM has been leaving for longer than EngineOptions::shutdownGrace, and
// those that could still run at EngineOptions::shutdownEnd. Others are served, because callers have cached look-up
// answers that still list this entry VM.
struct CheckShutdown {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        if (!this->state.leavingSince)
            return Step::pass(std::move(context));
        const EngineOptions& options = this->state.options;
        const core::TimePoint since = *this->state.leavingSince;
        if (now - since > options.shutdownGrace || context.deadline - since > options.shutdownEnd)
            return Step::end({ .request = context.arrival.request, .error = core::ErrorKind::ShuttingDown, .key = {}, .retryAfter = {} });
        return Step::pass(std::move(context));
    }
};

}
