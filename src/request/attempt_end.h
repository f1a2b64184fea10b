#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// An attempt that has ended and has been removed from State::attempts.
struct FinishedAttempt {
    AttemptEnded event;
    Attempt attempt;
};

// Filter: removes the attempt from State::attempts. Ignores events that are duplicate, late, or carry another request's
// id.
struct TakeAttempt {
    State& state;

    Next<FinishedAttempt> operator()(AttemptEnded event, core::TimePoint now) const;
};

// Filter: releases the attempt's slot.
struct ReleaseSlot {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Filter: updates the state of the server and of the class with the result, and reports it to control.
struct RecordResult {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Filter: if the server broke the connection without an answer and the policy is to isolate, marks the requests that this
// traffic thread has in flight there as suspects. Clears a suspect that was answered.
struct RecordCrash {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Last filter of the pipe: schedules the request's next attempt, or ends the request.
struct RetryOrEnd {
    State& state;

    Next<Done> operator()(FinishedAttempt ended, core::TimePoint now) const;

private:
    void handleLiveAttempt(ActiveRequest&, const FinishedAttempt&, core::TimePoint now) const;
    void retryOrReject(ActiveRequest&, const FinishedAttempt&, core::TimePoint now) const;
    std::optional<core::Duration> planRetry(const ActiveRequest&, core::AttemptResult, core::TimePoint now) const;
};

}
