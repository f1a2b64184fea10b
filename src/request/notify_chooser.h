#pragma once

#include "core/hash.h"
#include "request/attempt_end.h"
#include "request/choose.h"

namespace cranberryshed::request {

// Filter: passes the result and measurements of an ended attempt to a learning chooser. Attempts that isolate a suspect
// request are not passed, because the chooser did not select their server.
template <Chooser ChooserType>
struct NotifyChooser {
    State& state;
    ChooserType& chooser;

    Next<FinishedAttempt> operator()(FinishedAttempt finished, core::TimePoint now) const
    {
        if constexpr (LearningChooser<ChooserType>) {
            const Attempt& attempt = finished.attempt;
            const core::ServerEntry& server = attempt.serverEntry();
            if (!attempt.isolated)
                this->chooser.recordEnd({ .serverKey = server.key, .classKey = attempt.classState->classKey, .length = attempt.classState->length, .startedAt = attempt.sentAt, .result = finished.event.result, .slotTime = attempt.headAt.value_or(now) - attempt.sentAt, .localInFlight = server.slotCounter->inFlight(), .bytes = finished.event.bytes, .domainKey = core::hashBytes(attempt.table->at(server.domain).name), .connectTime = finished.event.connectTime, .load = finished.event.load, .basis = attempt.basis }, now);
        }
        return Next<FinishedAttempt>::pass(std::move(finished));
    }
};

}
