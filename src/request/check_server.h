#pragma once

#include "request/attempt_end.h"

namespace cranberryshed::request {

// Filter: has the server checked if it broke the connection and CrashPolicy::CheckServers applies. One check of a server
// at a time is enough for all attempts that broke there.
struct CheckBrokenServer {
    State& state;

    Next<FinishedAttempt> operator()(FinishedAttempt ended, core::TimePoint) const
    {
        const Attempt& attempt = ended.attempt;
        const bool isDue = ended.event.result == core::AttemptResult::Broken && this->state.shared.crashes->policy() == CrashPolicy::CheckServers;
        if (isDue && this->state.serversBeingChecked.insert(attempt.serverEntry().key).second)
            this->state.emit(CheckServer { .server = attempt.server, .table = attempt.table });
        return Next<FinishedAttempt>::pass(std::move(ended));
    }
};

}
