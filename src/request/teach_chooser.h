#pragma once

#include "core/hash.h"
#include "request/attempt_end.h"
#include "request/choose.h"

namespace cranberryshed::request {

// Filter: tells a learning chooser how an attempt that it started has ended.
template <Chooser ChooserType>
struct TeachChooser {
    State& state;
    ChooserType& chooser;

    Next<FinishedAttempt> operator()(FinishedAttempt finished, core::TimePoint now) const
    {
        if constexpr (LearningChooser<ChooserType>) {
            const Attempt& attempt = finished.attempt;
            const core::ServerEntry& server = attempt.serverEntry();
            if (!attempt.isolated)
                this->chooser.ended({ .serverKey = server.key, .classKey = attempt.classState->classKey, .length = attempt.classState->length, .startedAt = attempt.sentAt, .result = finished.event.result, .held = attempt.headAt.value_or(now) - attempt.sentAt, .ownInFlight = server.inFlight->inFlight(), .bytes = finished.event.bytes, .domainKey = core::hashBytes(attempt.table->at(server.domain).name), .connectTime = finished.event.connectTime, .load = finished.event.load, .basis = attempt.basis }, now);
        }
        return Next<FinishedAttempt>::pass(std::move(finished));
    }
};

}
