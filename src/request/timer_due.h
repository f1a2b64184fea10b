#pragma once

#include "request/register_request.h"

namespace cranberryshed::request {

// Filter: finds the request of an event. Ignores events for requests that have ended.
struct FindRequest {
    State& state;

    Next<ActiveRequest*> operator()(core::RequestId id, core::TimePoint) const
    {
        ActiveRequest* request = this->state.find(id);
        if (!request)
            return Next<ActiveRequest*>::end({});
        return Next<ActiveRequest*>::pass(request);
    }
};

// Filter: ends a request whose deadline has passed. The deadline bounds only the time until the head of the answer; the
// front end's idle timeouts bound the rest of the answer.
struct EnforceDeadline {
    State& state;

    Next<ActiveRequest*> operator()(ActiveRequest* request, core::TimePoint now) const
    {
        request->timerAt = {}; // has expired
        if (request->relayedAttempt)
            return Next<ActiveRequest*>::end({});
        if (now < request->context.deadline)
            return Next<ActiveRequest*>::pass(request);
        this->state.reject(*request, core::ErrorKind::DeadlinePassedQueued, now);
        return Next<ActiveRequest*>::end({});
    }
};

// Filter: passes on a retry or hedge that is due, or ends a request whose delayed error answer is due. Otherwise sets
// the next timer.
struct TakeDueAttempt {
    State& state;

    Next<PendingAttempt> operator()(ActiveRequest* request, core::TimePoint now) const;

private:
    double load(const ActiveRequest&) const;
};

}
