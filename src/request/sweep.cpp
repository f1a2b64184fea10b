#include "request/sweep.h"

#include "request/timer_due.h"

namespace cranberryshed::request {

Next<Done> Sweep::operator()(Done, core::TimePoint now) const
{
    this->expireQueued(now);
    if (now - this->state.lastSweepAt < this->state.options.sweepInterval)
        return Next<Done>::pass({});
    this->state.lastSweepAt = now;
    this->enforceDeadlines(now);
    this->reportDemand();
    this->state.recentFailures.forgetExpired(now);
    this->state.shared.crashes->forgetExpired(now);
    this->state.shared.pauses->forgetExpired(now);
    return Next<Done>::pass({});
}

void Sweep::expireQueued(core::TimePoint now) const
{
    for (core::RequestId id : this->state.queue.expire(now)) {
        ActiveRequest& request = *this->state.find(id);
        request.phase = Phase::Starting; // expire() has removed it from the queue
        this->state.reject(request, core::ErrorKind::DeadlinePassedQueued, now);
    }
}

void Sweep::enforceDeadlines(core::TimePoint now) const
{
    std::vector<core::RequestId> due;
    for (const auto& [id, request] : this->state.activeRequests) {
        if (!request.relayedAttempt && request.context.deadline <= now)
            due.push_back(id);
    }
    for (core::RequestId id : due)
        EnforceDeadline { this->state }(this->state.find(id), now);
}

void Sweep::reportDemand() const
{
    for (auto& [name, classState] : this->state.classes) {
        if (classState.demand.arrived == 0 && classState.demand.rejected == 0)
            continue;
        this->state.observe(classState.demand);
        classState.demand.arrived = 0;
        classState.demand.rejected = 0;
    }
}

}
