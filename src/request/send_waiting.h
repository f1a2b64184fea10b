#pragma once

#include "request/send.h"

namespace cranberryshed::request {

// Filter: sends suspects that were cleared while they waited for a server of their own.
template <typename SendPipe>
struct SendCleared {
    State& state;
    SendPipe& sendPipe;

    Next<Done> operator()(Done, core::TimePoint now) const
    {
        const std::vector<core::RequestId> waiting(this->state.waitingSuspects.begin(), this->state.waitingSuspects.end());
        for (core::RequestId id : waiting) {
            ActiveRequest* request = this->state.find(id);
            if (!request || this->state.shared.crashes->suspicion(request->context.fingerprint, *this->state.table, now) != Suspicion::Clear)
                continue;
            this->state.endReservation(*request);
            std::erase(this->state.waitingSuspects, id);
            request->phase = Phase::Starting;
            this->sendPipe(PendingAttempt { .request = request, .reason = AttemptReason::Retry }, now);
        }
        return Next<Done>::pass({});
    }
};

// Filter: sends queued requests as long as one finds a slot. `SendPipe` is the pipe that sends an attempt.
template <typename SendPipe>
struct SendQueued {
    State& state;
    SendPipe& sendPipe;

    Next<Done> operator()(Done, core::TimePoint now) const
    {
        if (this->state.queue.size() == 0)
            return Next<Done>::pass({});
        const auto tryStart = [&](const WaitingRequest& waiting) { return this->tryStart(waiting.request, now); };
        while (this->state.queue.next(now, tryStart)) { }
        return Next<Done>::pass({});
    }

private:
    // Returns whether the request no longer waits in the queue.
    bool tryStart(core::RequestId id, core::TimePoint now) const
    {
        ActiveRequest& request = *this->state.find(id);
        request.phase = Phase::Starting; // the queue itself takes it out
        this->sendPipe(PendingAttempt { .request = &request, .reason = AttemptReason::Waiting }, now);
        ActiveRequest* remaining = this->state.find(id);
        if (!remaining || remaining->phase != Phase::Starting)
            return true;
        remaining->phase = Phase::Queued;
        return false;
    }
};

}
