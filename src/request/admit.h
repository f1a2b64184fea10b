#pragma once

#include "request/context.h"
#include "request/headroom.h"
#include "request/service_times.h"

#include "core/hash.h"

namespace cranberryshed::request {

// Filter: rejects work that would use the class's headroom, and work that cannot be finished within its deadline.
// It stands before the filter that claims a request key, so that a rejected request leaves its key unused.
struct Admit {
    Headroom& headroom;
    const ServiceTimes& times;

    Step operator()(Context context, core::TimePoint now) const
    {
        const core::Duration serviceTime = this->times.mean(core::hashBytes(context.classEntry().name));
        const std::optional<core::ErrorKind> refusal = this->headroom.admit(*context.table, context.classIndex, context.deadline - now, serviceTime, now);
        if (refusal)
            return Step::end({ .request = context.arrival.request, .error = *refusal, .key = {}, .retryAfter = {} });
        return Step::pass(std::move(context));
    }
};

}
