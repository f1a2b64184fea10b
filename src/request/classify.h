#pragma once

#include "core/pipe.h"
#include "request/context.h"
#include "request/fingerprint.h"
#include "request/match.h"

#include <algorithm>

namespace cranberryshed::request {

// Filter: determines the class of work, its fingerprint and the deadline. A caller can shorten the deadline of the
// class, but not extend it.
struct Classify {
    Step operator()(Context context, core::TimePoint now) const
    {
        const RequestArrived& arrival = context.arrival;
        if (context.table->classes.empty())
            return Step::end({ .request = arrival.request, .error = core::ErrorKind::NotReady, .key = {}, .retryAfter = {} });
        const std::optional<core::ClassIndex> found = matchClass(*context.table, arrival.host, arrival.method, arrival.target);
        if (!found)
            return Step::end({ .request = arrival.request, .error = core::ErrorKind::NoSuchClass, .key = {}, .retryAfter = {} });
        context.classIndex = *found;
        context.arrivedAt = now;
        context.fingerprint = classFingerprint(arrival.fingerprint, context.classEntry().name);
        const core::Duration allowed = context.classEntry().deadline;
        context.deadline = now + std::min(arrival.deadline.value_or(allowed), allowed);
        return Step::pass(std::move(context));
    }
};

}
