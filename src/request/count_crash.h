#pragma once

#include "request/attempt_end.h"

namespace cranberryshed::request {

// Filter: tells the crash history how the attempt ended, and has the server checked if its connection broke without a
// whole answer. Does nothing unless the history is enabled.
struct CountCrash {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint now) const;

private:
    void recordBroken(const Attempt&, core::TimePoint now) const;
    bool isLeaving(std::uint64_t serverKey) const;
};

// Filter: handles the result of a check.
struct RecordServerCheck {
    State& state;

    Next<Done> operator()(ServerChecked checked, core::TimePoint now) const;
};

}
