#pragma once

#include "request/state.h"

#include <vector>

namespace cranberryshed::request {

// Filter: ends cancelled attempts whose AttemptEnded is overdue, so that a lost event cannot hold a slot forever.
// `EndPipe` is the pipe that handles AttemptEnded.
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

// Filter: once per EngineOptions::sweepInterval, ends requests whose timer event was lost, reports demand, and removes
// expired state. Checks the queue on every event, because a request that can no longer meet its deadline occupies a
// place there.
struct Sweep {
    State& state;

    Next<Done> operator()(Done, core::TimePoint now) const;

private:
    void expireQueued(core::TimePoint now) const;
    void enforceDeadlines(core::TimePoint now) const;
    void countCrashes(core::TimePoint now) const;
    void reportDemand() const;
};

}
