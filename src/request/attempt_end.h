#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// An attempt that ended and has left State::attempts.
struct FinishedAttempt {
    AttemptEnded event;
    Attempt attempt;
};

// Filter: takes out the attempt. An event that comes twice, late, or with another request's id is ignored.
struct TakeAttempt {
    State& state;

    Next<FinishedAttempt> operator()(AttemptEnded event, core::TimePoint now) const;
};

// Filter: gives the slot back.
struct ReleaseSlot {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Filter: remembers how the server and the class are doing, and tells control.
struct RecordResult {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Filter: makes suspects of what ran on a server that broke a connection without an answer, and clears a
// suspect that was answered.
struct RecordCrash {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;
};

// Filter, the last one: ends the request, or plans its next attempt.
struct RetryOrEnd {
    State& state;

    Next<Done> operator()(FinishedAttempt ended, core::TimePoint now) const;

private:
    void handleLiveAttempt(ActiveRequest&, const FinishedAttempt&, core::TimePoint now) const;
    void retryOrReject(ActiveRequest&, const FinishedAttempt&, core::TimePoint now) const;
    std::optional<core::Duration> planRetry(const ActiveRequest&, core::AttemptResult, core::TimePoint now) const;
};

}
