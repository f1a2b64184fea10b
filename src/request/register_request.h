#pragma once

#include "request/state.h"

#include <algorithm>

namespace cranberryshed::request {

// Why an attempt is sent. Decides whether its request can be queued or rejected if no slot is free, see ChooseServer.
enum class AttemptReason : std::uint8_t { First, // first attempt of a new request
    Dequeued, // first attempt or retry of a queued request
    Retry,
    Hedge }; // in addition to an attempt in flight

// An attempt that is about to be sent.
struct PendingAttempt {
    ActiveRequest* request = nullptr;
    AttemptReason reason = AttemptReason::First;
};

// Filter: counts the request in the demand of its class and in the retry allowance of its service, and adds it to
// State::activeRequests. From then on it must be ended by State::reject() or State::finish().
struct RegisterRequest {
    State& state;

    core::Outcome<PendingAttempt, Reject> operator()(Context context, core::TimePoint now) const
    {
        const core::RequestId id = context.arrival.request;
        ClassState& classState = this->state.classStateOf(context.classEntry());
        ++classState.demand.arrived;
        this->state.retryAllowances[classState.serviceKey].countRequest(this->state.options.retryAllowance, now);
        ActiveRequest& request = this->state.activeRequests[id];
        request.context = std::move(context);
        request.classState = &classState;
        this->setTargetAt(request);
        return core::Outcome<PendingAttempt, Reject>::pass({ .request = &request, .reason = AttemptReason::First });
    }

private:
    // The target latency counts from the caller's first try. Assumes that all callers of a class state the same
    // deadline on the first try and the time left on a retry. Then the time already spent is the longest stated
    // deadline of the class minus this one.
    void setTargetAt(ActiveRequest& request) const
    {
        Context& context = request.context;
        const core::Duration target = context.classEntry().targetLatency;
        if (target == core::Duration::zero())
            return;
        core::Duration spent {};
        if (const std::optional<core::Duration> stated = context.arrival.deadline) {
            request.classState->maxStatedDeadline = std::max(request.classState->maxStatedDeadline, *stated);
            spent = request.classState->maxStatedDeadline - *stated;
        }
        context.targetAt = context.arrivedAt + target - spent;
    }
};

}
