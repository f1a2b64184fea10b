#pragma once

#include "request/state.h"

#include <vector>

namespace cranberryshed::request {

// Filter: ends cancelled attempts whose end is overdue, so that a lost event cannot hold a slot for ever.
// `EndPipe` is the pipe for AttemptEnded.
template <typename EndPipe>
struct EndOverdueAttempts {
    State& state;
    EndPipe& endAttempt;

    Next<Done> operator()(Done, core::TimePoint now) const
    {
        if (now < this->state.lastSweepAt + this->state.options.sweepInterval)
            return Next<Done>::pass({});
        std::vector<AttemptEnded> overdue;
        for (const auto& [id, attempt] : this->state.attempts) {
            if (attempt.cancelledAt && now - *attempt.cancelledAt > this->state.options.cancelGrace)
                overdue.push_back({ .request = attempt.request, .attempt = id, .result = core::AttemptResult::Cancelled, .status = 0, .retryAfter = {} });
        }
        for (const AttemptEnded& event : overdue)
            this->endAttempt(event, now);
        return Next<Done>::pass({});
    }
};

// Filter: once per EngineOptions::sweepInterval gives up what an event was missing for, and reports demand.
// The queue is checked each time, since a request that cannot meet its deadline holds a place there.
struct Sweep {
    State& state;

    Next<Done> operator()(Done, core::TimePoint now) const;

private:
    void expireQueued(core::TimePoint now) const;
    void enforceDeadlines(core::TimePoint now) const;
    void reportDemand() const;
};

}
