#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: ends a request whose caller has gone. Non-idempotent work in flight goes on without the caller, so
// that the ledger learns its outcome and the caller's next request with the same key gets it.
struct Abandon {
    State& state;

    Next<Done> operator()(Active* request, core::TimePoint now) const
    {
        const bool keep = request->context.keyClaimed && !request->relayed && !request->live.empty();
        if (keep) {
            request->callerGone = true;
            request->actAt.reset();
            this->state.arm(*request);
            return Next<Done>::pass({});
        }
        if (request->relayed) {
            this->state.attempts.at(*request->relayed).cancelledAt = now;
            this->state.emit(CancelAttempt { .request = request->context.arrival.request, .attempt = *request->relayed });
        }
        this->state.cancelAttempts(*request, now);
        this->state.finish(*request, now);
        return Next<Done>::pass({});
    }
};

}
