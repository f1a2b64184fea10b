#pragma once

#include "request/send.h"

namespace cranberryshed::request {

// Filter: sends requests that are no longer suspects, while they wait for an isolated run. The reason is Retry also
// for a request that was never sent: it is tried at once, even if others are queued, and without a free slot it is
// queued or rejected.
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

// Filter: sends queued requests until none of them gets a slot. `SendPipe` is the pipe that sends an attempt.
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
    // Returns whether the request leaves the queue: it was sent, has ended, or waits for an isolated run.
    bool tryStart(core::RequestId id, core::TimePoint now) const
    {
        ActiveRequest& request = *this->state.find(id);
        request.phase = Phase::Starting; // otherwise State::finish() would remove it from the queue, which next() does
        this->sendPipe(PendingAttempt { .request = &request, .reason = AttemptReason::Dequeued }, now);
        ActiveRequest* remaining = this->state.find(id);
        if (!remaining || remaining->phase != Phase::Starting)
            return true;
        remaining->phase = Phase::Queued;
        return false;
    }
};

}
