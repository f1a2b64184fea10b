#pragma once

#include "request/choose.h"
#include "request/register_request.h"

#include <algorithm>

namespace cranberryshed::request {

// A pending attempt with its backend server, on which it holds a slot.
struct AssignedAttempt {
    PendingAttempt attempt;
    core::ServerIndex server {}; // index in the request's steering table
    bool isolated = false;
    ChoiceBasis basis {};
};

// Filter: acquires a slot on a backend server that was not yet tried for this request. Without a free slot, new
// requests and retries are queued or rejected, hedges are dropped, and queued requests keep waiting.
template <Chooser ChooserType>
struct ChooseServer {
    State& state;
    ChooserType& chooser;

    Next<AssignedAttempt> operator()(PendingAttempt attempt, core::TimePoint now) const
    {
        ActiveRequest& request = *attempt.request;
        const Context& context = request.context;
        const Exclusions excluded = this->state.exclusionsFor(request, now);
        // While other requests are queued, a new request is queued too; the capacity pipe runs right afterwards.
        const bool mustQueue = attempt.reason == AttemptReason::First && this->state.queue.arrivalsMustWait();
        if (excluded.hasCandidates && !mustQueue) {
            const std::optional<core::ServerIndex> server = this->chooser.choose({ .table = *context.table, .classIndex = context.classIndex, .excluded = excluded.servers, .affinity = context.arrival.affinity, .isNewRequest = attempt.reason == AttemptReason::First, .targetAt = context.targetAt }, this->state.random, now);
            if (server)
                return Next<AssignedAttempt>::pass({ .attempt = attempt, .server = *server, .basis = this->basis() });
        }
        if (attempt.reason == AttemptReason::First || attempt.reason == AttemptReason::Retry)
            this->waitOrReject(request, excluded, now);
        return Next<AssignedAttempt>::end({});
    }

private:
    ChoiceBasis basis() const
    {
        if constexpr (ExplainingChooser<ChooserType>)
            return this->chooser.basis();
        else
            return {};
    }

    void waitOrReject(ActiveRequest& request, const Exclusions& excluded, core::TimePoint now) const
    {
        const core::ClassEntry& entry = request.context.classEntry();
        if (excluded.retryAfter == core::Duration::zero() && !excluded.hasCandidates)
            return this->wait(request, now); // a server will take it as soon as one of its requests has ended
        if (excluded.retryAfter && !excluded.hasCandidates)
            return this->state.reject(request, core::ErrorKind::ServerRefused, now, excluded.retryAfter);
        const bool usable = std::ranges::any_of(entry.servers, [&](core::ServerIndex index) { return isActiveOrWarming(request.context.table->at(index)); });
        if (!usable || !excluded.hasCandidates)
            return this->state.reject(request, core::ErrorKind::NoServer, now);
        this->wait(request, now);
    }

    void wait(ActiveRequest& request, core::TimePoint now) const
    {
        const ClassState& classState = *request.classState;
        const RequestArrived& arrival = request.context.arrival;
        const WaitingRequest waiting { .request = arrival.request, .serviceKey = classState.serviceKey, .classKey = classState.classKey, .caller = arrival.caller, .arrival = now, .deadline = request.context.deadline, .slotTime = this->state.slotTimes.mean(classState.classKey), .priority = request.context.classEntry().priority };
        const OfferResult offer = this->state.queue.offer(waiting, this->state.laneSlotsHeld(classState), now);
        if (offer.rejection)
            return this->state.reject(request, *offer.rejection, now, offer.retryAfter);
        request.phase = Phase::Queued;
        request.nextActionAt.reset();
        this->state.armTimer(request);
        if (ActiveRequest* evicted = offer.evicted ? this->state.find(*offer.evicted) : nullptr) {
            evicted->phase = Phase::Starting; // the queue has already removed it
            this->state.reject(*evicted, core::ErrorKind::Overloaded, now);
        }
    }
};

}
