#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: claims the request key of a request in a keyed, non-idempotent class, and rejects the request if that fails.
// It must come after all filters that can reject the request, because a later rejection would have to release the key.
struct ClaimKey {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        if (context.classEntry().idempotency == core::Idempotency::Idempotent || !context.classEntry().requiresKey)
            return Step::pass(std::move(context));
        KeyRegistry& keys = *this->state.shared.keys;
        const RequestArrived& arrival = context.arrival;
        if (arrival.key.empty())
            return Step::end({ .request = arrival.request, .error = core::ErrorKind::KeyRequired, .key = keys.issue(now), .retryAfter = {} });
        const KeyClaim claim = keys.claim(arrival.key, context.fingerprint, now);
        if (claim.rejection)
            return Step::end({ .request = arrival.request, .error = *claim.rejection, .key = {}, .retryAfter = {}, .firstStatus = claim.firstStatus });
        context.keyClaimed = true;
        return Step::pass(std::move(context));
    }
};

}
