#pragma once

#include "core/pipe.h"
#include "request/events.h"

namespace cranberryshed::request {

// A request on its way through the pipeline. Each filter adds what it found out.
struct Context {
    RequestArrived arrival;
    core::SteeringTablePointer table;
    core::ClassIndex classIndex {};
    core::TimePoint deadline {};

    const core::ClassEntry& classEntry() const { return this->table->at(this->classIndex); }
};

// The filters of the request path pass the context on or end the request with a rejection.
using Step = core::Outcome<Context, Reject>;

}
