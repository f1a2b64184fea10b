#pragma once

#include "request/choose.h"
#include "request/register_request.h"

#include <algorithm>

namespace cranberryshed::request {

// A pending attempt with its server, whose slot is taken.
struct Chosen {
    PendingAttempt attempt;
    core::ServerIndex server {}; // of the request's table
    bool isolated = false;
    ChoiceBasis basis {};
};

// Filter: takes a slot on a server that was not tried for this request. Without one the request waits.
template <Chooser ChooserType>
struct ChooseServer {
    State& state;
    ChooserType& chooser;

    Next<Chosen> operator()(PendingAttempt attempt, core::TimePoint now) const
    {
        ActiveRequest& request = *attempt.request;
        const Context& context = request.context;
        Exclusions excluded;
        if (!request.triedServers.empty() || !this->state.servers.allWell())
            excluded = this->state.servers.exclusions(*context.table, context.classIndex, request.triedServers, now);
        // While others wait, a new request takes its turn among them; the capacity pipe follows at once.
        const bool takesTurn = attempt.reason == AttemptReason::First && this->state.queue.arrivalsMustWait();
        if (excluded.anyLeft && !takesTurn) {
            const std::optional<core::ServerIndex> server = this->chooser.choose({ .table = *context.table, .classIndex = context.classIndex, .excluded = excluded.servers, .affinity = context.arrival.affinity, .newcomer = attempt.reason == AttemptReason::First, .targetAt = context.targetAt }, this->state.random, now);
            if (server)
                return Next<Chosen>::pass({ .attempt = attempt, .server = *server, .basis = this->basis() });
        }
        if (attempt.reason == AttemptReason::First || attempt.reason == AttemptReason::Retry)
            this->waitOrReject(request, excluded, now);
        return Next<Chosen>::end({});
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
        if (excluded.retryAfter && !excluded.anyLeft)
            return this->state.reject(request, core::ErrorKind::ServerRefused, now, excluded.retryAfter);
        const bool usable = std::ranges::any_of(entry.servers, [&](core::ServerIndex index) { return takesWork(request.context.table->at(index)); });
        if (!usable || !excluded.anyLeft)
            return this->state.reject(request, core::ErrorKind::NoServer, now);
        this->wait(request, now);
    }

    void wait(ActiveRequest& request, core::TimePoint now) const
    {
        const ClassState& classState = *request.classState;
        const RequestArrived& arrival = request.context.arrival;
        const WaitingRequest waiting { .request = arrival.request, .serviceKey = classState.serviceKey, .classKey = classState.classKey, .caller = arrival.caller, .arrival = now, .deadline = request.context.deadline, .serviceTime = this->state.serviceTimes.mean(classState.classKey), .priority = request.context.classEntry().priority };
        const OfferResult offer = this->state.queue.offer(waiting, this->state.laneInFlight(classState), now);
        if (offer.refusal)
            return this->state.reject(request, *offer.refusal, now, offer.retryAfter);
        request.phase = Phase::Queued;
        request.nextActionAt.reset();
        this->state.armTimer(request);
        if (ActiveRequest* evicted = offer.evicted ? this->state.find(*offer.evicted) : nullptr) {
            evicted->phase = Phase::Starting; // it has left the queue
            this->state.reject(*evicted, core::ErrorKind::Overloaded, now);
        }
    }
};

}
