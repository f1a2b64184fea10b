#pragma once

#include "request/register_request.h"

namespace cranberryshed::request {

// Filter: finds the request of an event. An event for a request that has ended is ignored.
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

// Filter: ends a request whose deadline has passed. The deadline bounds the time until the head of an answer;
// a stream that has begun is bounded by the front end's idle timeouts.
struct EnforceDeadline {
    State& state;

    Next<ActiveRequest*> operator()(ActiveRequest* request, core::TimePoint now) const
    {
        request->timerAt = {}; // used up
        if (request->relayedAttempt)
            return Next<ActiveRequest*>::end({});
        if (now < request->context.deadline)
            return Next<ActiveRequest*>::pass(request);
        this->state.reject(*request, core::ErrorKind::DeadlinePassedQueued, now);
        return Next<ActiveRequest*>::end({});
    }
};

// Filter: passes on a retry or a second attempt whose time has come, and sets the timer for what comes later.
struct TakeDueAttempt {
    State& state;

    Next<PendingAttempt> operator()(ActiveRequest* request, core::TimePoint now) const;

private:
    double load(const ActiveRequest&) const;
};

}
