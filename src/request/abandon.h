#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: ends a request whose caller has disconnected. A non-idempotent request in flight continues without its
// caller: aborting it would leave its outcome unknown, and a repeat with the same request key gets the outcome.
struct Abandon {
    State& state;

    Next<Done> operator()(ActiveRequest* request, core::TimePoint now) const
    {
        const bool idempotent = request->context.classEntry().idempotency == core::Idempotency::Idempotent;
        const bool keep = !idempotent && !request->relayedAttempt && !request->liveAttempts.empty();
        request->callerGone = true;
        request->nextActionAt.reset();
        if (keep)
            this->state.armTimer(*request);
        else if (request->relayedAttempt)
            this->endRelay(*request, now);
        else
            this->state.reject(*request, core::ErrorKind::CallerGone, now);
        return Next<Done>::pass({});
    }

private:
    void endRelay(ActiveRequest& request, core::TimePoint now) const
    {
        this->state.cancelAttempt(request, *request.relayedAttempt, now);
        this->state.finish(request, now);
    }
};

}
