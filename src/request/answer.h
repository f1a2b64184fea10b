#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// The head of the first answer to a request that has not ended.
struct AnswerHead {
    AnswerStarted event;
    ActiveRequest* request = nullptr;
};

// Filter: finds the attempt and its request. Ignores late events and events whose attempt belongs to another request,
// so an answer reaches only the request for which its attempt was sent.
struct FindAnswered {
    State& state;

    Next<AnswerHead> operator()(AnswerStarted event, core::TimePoint now) const
    {
        const auto found = this->state.attempts.find(event.attempt);
        if (found == this->state.attempts.end() || found->second.request != event.request || found->second.headAt)
            return Next<AnswerHead>::end({});
        found->second.headAt = now;
        if (event.isComplete)
            this->state.releaseSlot(found->second);
        if (event.retryAfter)
            this->state.shared.pauses->pause(found->second.serverEntry().key, *event.retryAfter, now);
        ActiveRequest* request = this->state.find(event.request);
        if (!request || found->second.cancelledAt || request->relayedAttempt)
            return Next<AnswerHead>::end({});
        return Next<AnswerHead>::pass({ .event = event, .request = request });
    }
};

// Filter: relays the first answer to the caller, records its status for the request key, and cancels the other
// attempts.
struct Relay {
    State& state;

    Next<Done> operator()(AnswerHead head, core::TimePoint now) const
    {
        ActiveRequest& request = *head.request;
        request.relayedAttempt = head.event.attempt;
        request.nextActionAt.reset();
        if (request.context.keyClaimed)
            this->state.shared.keys->finish(request.context.arrival.key, head.event.status);
        this->state.cancelAttempts(request, now);
        if (!request.callerGone) {
            this->state.emit(RelayAnswer { .request = head.event.request, .attempt = head.event.attempt });
            return Next<Done>::end({});
        }
        // The outcome is known now, and there is no caller for the rest of the answer.
        this->state.cancelAttempt(request, head.event.attempt, now);
        this->state.reject(request, core::ErrorKind::CallerGone, now);
        return Next<Done>::end({});
    }
};

}
