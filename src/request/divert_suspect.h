#pragma once

#include "request/register_request.h"

namespace cranberryshed::request {

// Filter: queues a suspect for an isolated run, and rejects a request that has been quarantined since it arrived. A
// hedge of either is not sent.
struct DivertSuspect {
    State& state;

    Next<PendingAttempt> operator()(PendingAttempt attempt, core::TimePoint now) const
    {
        ActiveRequest& request = *attempt.request;
        switch (this->state.shared.crashes->suspicion(request.context.fingerprint, *this->state.table, now)) {
        case Suspicion::Clear:
            return Next<PendingAttempt>::pass(attempt);
        case Suspicion::Quarantined:
            if (attempt.reason != AttemptReason::Hedge)
                this->state.reject(request, core::ErrorKind::Quarantined, now);
            break;
        case Suspicion::Suspect:
            if (attempt.reason != AttemptReason::Hedge)
                this->waitForIsolation(request);
            break;
        }
        return Next<PendingAttempt>::end({});
    }

private:
    void waitForIsolation(ActiveRequest& request) const
    {
        request.phase = Phase::AwaitingIsolation;
        request.nextActionAt.reset();
        this->state.waitingSuspects.push_back(request.context.arrival.request);
        this->state.armTimer(request);
    }
};

}
