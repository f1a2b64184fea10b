#pragma once

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
            if (!attempt.isolated)
                this->chooser.ended({ .serverKey = attempt.serverEntry().key, .classKey = attempt.memory->key, .length = attempt.memory->length, .startedAt = attempt.sentAt, .result = finished.event.result }, now);
        }
        return Next<FinishedAttempt>::pass(std::move(finished));
    }
};

}
