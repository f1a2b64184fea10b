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
        request->callerGone = true;
        request->actAt.reset();
        if (keep)
            this->state.arm(*request);
        else if (request->relayed)
            this->endRelay(*request, now);
        else
            this->state.reject(*request, core::ErrorKind::CallerGone, now);
        return Next<Done>::pass({});
    }

private:
    void endRelay(Active& request, core::TimePoint now) const
    {
        this->state.cancel(request, *request.relayed, now);
        this->state.finish(request, now);
    }
};

}
