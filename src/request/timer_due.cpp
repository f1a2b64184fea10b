#include "request/timer_due.h"

namespace cranberryshed::request {

Next<PendingAttempt> TakeDueAttempt::operator()(ActiveRequest* request, core::TimePoint now) const
{
    if (!request->nextActionAt || now < *request->nextActionAt) {
        this->state.armTimer(*request);
        return Next<PendingAttempt>::end({});
    }
    request->nextActionAt.reset();
    if (request->phase == Phase::DelayingError) {
        this->state.reject(*request, core::ErrorKind::ServerBroke, now);
        return Next<PendingAttempt>::end({});
    }
    if (request->phase == Phase::Backoff) {
        request->phase = Phase::Starting;
        return Next<PendingAttempt>::pass({ .request = request, .reason = AttemptReason::Retry });
    }
    this->state.armTimer(*request);
    const bool hedge = request->phase == Phase::InFlight && !request->callerGone
        && tryHedge(this->state.options.hedge, this->load(*request), request->classState->hedgeBudget, now);
    return hedge ? Next<PendingAttempt>::pass({ .request = request, .reason = AttemptReason::Hedge }) : Next<PendingAttempt>::end({});
}

// Fraction of the slots of the class's servers that this process uses.
double TakeDueAttempt::load(const ActiveRequest& request) const
{
    double slots = 0;
    double taken = 0;
    for (core::ServerIndex index : request.context.classEntry().servers) {
        const core::ServerEntry& server = request.context.table->at(index);
        if (!isActiveOrWarming(server))
            continue;
        slots += server.slots;
        taken += server.slotCounter->inFlight();
    }
    return slots > 0 ? taken / slots : 1;
}

}
