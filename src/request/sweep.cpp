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
    this->countCrashes(now);
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

// A server that is no longer in the table, or has started again since, has ended.
void Sweep::countCrashes(core::TimePoint now) const
{
    CrashHistory& history = *this->state.shared.crashHistory;
    if (history.hasPending()) {
        std::unordered_set<std::uint64_t> listed;
        for (const core::ServerEntry& server : this->state.table->servers)
            listed.insert(server.key);
        history.recordListedServers(listed, now);
    }
    this->state.reportCrashes(now);
    history.forgetExpired(now);
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
