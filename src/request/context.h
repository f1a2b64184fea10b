#pragma once

#include "core/pipe.h"
#include "request/events.h"

namespace cranberryshed::request {

// A request in the arrival pipe. Each filter adds its results.
struct Context {
    RequestArrived arrival;
    core::SteeringTablePointer table;
    core::ClassIndex classIndex {};
    core::TimePoint arrivedAt {};
    core::TimePoint targetAt = core::TimePoint::max(); // time by which an answer meets the class's target latency
    core::TimePoint deadline {};
    core::Fingerprint fingerprint {}; // of the content and the class, see classFingerprint()
    bool isCrashProbe = false; // sent although it crashed servers before, to learn whether it still does
    bool keyClaimed = false; // this request owns arrival.key

    const core::ClassEntry& classEntry() const { return this->table->at(this->classIndex); }
};

// Result of a filter of the arrival pipe: the context for the next filter, or a rejection that ends the request.
using Step = core::Outcome<Context, Reject>;

// Ends a pipe without a rejection: the event needs no further handling. Also the input of the capacity pipe, which runs
// after every event and needs none of its data.
struct Done { };

// Result of a filter of the other pipes: the input of the next filter, or the end of the pipe.
template <typename Output>
using Next = core::Outcome<Output, Done>;

}
