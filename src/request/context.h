#pragma once

#include "core/pipe.h"
#include "request/events.h"

namespace cranberryshed::request {

// A request on its way through the pipeline. Each filter adds what it found out.
struct Context {
    RequestArrived arrival;
    core::SteeringTablePointer table;
    core::ClassIndex classIndex {};
    core::TimePoint arrivedAt {};
    core::TimePoint targetAt = core::TimePoint::max(); // when the answer should be there by the class's target
    core::TimePoint deadline {};
    core::Fingerprint fingerprint {}; // of the content in its class
    bool keyClaimed = false; // this request owns arrival.key

    const core::ClassEntry& classEntry() const { return this->table->at(this->classIndex); }
};

// The filters of the request path pass the context on or end the request with a rejection.
using Step = core::Outcome<Context, Reject>;

// Ends a pipe without a rejection: there is nothing more to do for this event.
struct Done { };

// The filters behind the arrival pipe act on State and pass on what the next one needs.
template <typename Output>
using Next = core::Outcome<Output, Done>;

}
