#pragma once

#include "request/match.h"
#include "request/register_request.h"

#include <algorithm>

namespace cranberryshed::request {

// Filter: updates a waiting request to the current steering table. Its class is looked up by name, because indexes
// change between tables; if the class no longer exists, the request is matched again.
struct Rebind {
    State& state;

    Next<PendingAttempt> operator()(PendingAttempt attempt, core::TimePoint now) const
    {
        Context& context = attempt.request->context;
        if (context.table == this->state.table)
            return Next<PendingAttempt>::pass(attempt);
        const std::vector<core::ClassEntry>& classes = this->state.table->classes;
        const auto found = std::ranges::find(classes, context.classEntry().name, &core::ClassEntry::name);
        std::optional<core::ClassIndex> index;
        if (found != classes.end())
            index = core::ClassIndex { static_cast<std::uint32_t>(found - classes.begin()) };
        else
            index = matchClass(*this->state.table, context.arrival.host, context.arrival.method, context.arrival.target);
        if (!index) {
            if (attempt.reason != AttemptReason::Hedge)
                this->state.reject(*attempt.request, core::ErrorKind::NoSuchClass, now);
            return Next<PendingAttempt>::end({});
        }
        context.classIndex = *index;
        context.table = this->state.table;
        this->updateClassState(*attempt.request);
        return Next<PendingAttempt>::pass(attempt);
    }

private:
    void updateClassState(ActiveRequest& request) const { request.classState = &this->state.classStateOf(request.context.classEntry()); }
};

}
