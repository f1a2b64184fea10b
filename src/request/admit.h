#pragma once

#include "request/context.h"
#include "request/headroom.h"
#include "request/slot_times.h"

#include "core/hash.h"

namespace cranberryshed::request {

// Filter: rejects requests that would use up the headroom of their class, and requests that cannot finish before their
// deadline. It must precede ClaimKey, so that a rejected request does not use its key.
struct Admit {
    Headroom& headroom;
    const SlotTimes& times;

    Step operator()(Context context, core::TimePoint now) const
    {
        const core::Duration slotTime = this->times.mean(core::hashBytes(context.classEntry().name));
        const std::optional<core::ErrorKind> rejection = this->headroom.admit(*context.table, context.classIndex, context.deadline - now, slotTime, now);
        if (rejection)
            return Step::end({ .request = context.arrival.request, .error = *rejection, .key = {}, .retryAfter = {} });
        return Step::pass(std::move(context));
    }
};

}
