#pragma once

#include "request/choose_server.h"

namespace cranberryshed::request {

// Last filter of the send pipe: sends the attempt.
struct Send {
    State& state;

    Next<Done> operator()(AssignedAttempt chosen, core::TimePoint now) const
    {
        ActiveRequest& request = *chosen.attempt.request;
        const Context& context = request.context;
        const core::AttemptId id { ++this->state.lastAttemptId };
        const core::RequestId requestId = context.arrival.request;
        const CrashKeys crashKeys = crashKeysOf(context.arrival.fingerprint, context.arrival.caller);
        this->state.attempts.emplace(id, Attempt { .request = requestId, .table = context.table, .server = chosen.server, .fingerprint = context.fingerprint, .crashKeys = crashKeys, .earlierCrashes = this->state.shared.crashHistory->counts(crashKeys, *this->state.table), .classState = request.classState, .sentAt = now, .headAt = {}, .isolated = chosen.isolated, .basis = chosen.basis, .cancelledAt = {} });
        ++request.classState->slotsHeld;
        request.phase = Phase::InFlight;
        request.liveAttempts.push_back(id);
        request.triedServers.push_back(context.table->at(chosen.server).key);
        ++request.sendCount;
        ++request.deliveredCount;
        this->state.recordRetrySent(request, now);
        this->state.shared.pauses->recordSent(context.table->at(chosen.server).key, now);
        request.nextActionAt.reset();
        if (chosen.attempt.reason != AttemptReason::Hedge)
            this->planHedge(request, chosen.isolated, now);
        this->state.emit(SendAttempt { .request = requestId, .attempt = id, .server = chosen.server, .table = context.table, .deadline = context.deadline, .attemptNumber = request.sendCount, .basis = chosen.basis });
        this->state.armTimer(request);
        return Next<Done>::end({});
    }

private:
    void planHedge(ActiveRequest& request, bool isolated, core::TimePoint now) const
    {
        const core::ClassEntry& entry = request.context.classEntry();
        const HedgeCandidate candidate { .idempotency = entry.idempotency, .length = entry.length, .replayable = request.context.arrival.replayable, .isIsolated = isolated };
        const std::optional<core::Duration> delay = hedgeDelay(candidate, this->state.options.hedge, request.classState->headLatency);
        if (delay && now + *delay < request.context.deadline)
            request.nextActionAt = now + *delay;
    }
};

}
