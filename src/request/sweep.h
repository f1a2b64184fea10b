#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: once per EngineOptions::sweepInterval gives up what an event was missing for, and reports demand.
// The queue is checked each time, since a request that cannot meet its deadline holds a place there.
struct Sweep {
    State& state;

    Next<Done> operator()(Done, core::TimePoint now) const;

private:
    void expireQueued(core::TimePoint now) const;
    void releaseCancelled(core::TimePoint now) const;
    void enforceDeadlines(core::TimePoint now) const;
    void reportDemand() const;
};

}
