#pragma once

#include "core/hash.h"
#include "request/register_request.h"

#include <algorithm>

namespace cranberryshed::request {

// Filter: rejects a request that has crashed several servers one after another. It is sent once in a while as a probe,
// by one entry VM, so that it is served again when it no longer crashes any.
struct CheckCrashes {
    State& state;

    Step operator()(Context context, core::TimePoint now) const
    {
        CrashHistory& history = *this->state.shared.crashHistory;
        const std::optional<KnownCrashes> known = this->state.refusingCrashes(context, now);
        if (!known)
            return Step::pass(std::move(context));
        const core::TimePoint probeDueAt = history.probeDueAt(*known, probeRank(*context.table, known->key));
        if (now >= probeDueAt && history.tryBeginProbe(known->key, context.deadline, now)) {
            context.isCrashProbe = true;
            context.arrival.affinity = 0; // to a server that is idle, rather than to one that its object keeps busy
            return Step::pass(std::move(context));
        }
        const core::Duration retryAfter = std::max(minRetryAfter, probeDueAt - now);
        return Step::end({ .request = context.arrival.request, .error = core::ErrorKind::Quarantined, .retryAfter = retryAfter, .crashes = known });
    }

private:
    static constexpr core::Duration minRetryAfter = std::chrono::seconds(1);

    // The place of this entry VM in the order in which the alive ones may send the probe. All agree on it.
    static std::size_t probeRank(const core::SteeringTable& table, core::Fingerprint key)
    {
        if (table.members.empty())
            return 0;
        const auto score = [&](const core::MemberEntry& member) { return core::hashCombine(core::hashBytes(member.name), static_cast<std::uint64_t>(key)); };
        const std::uint64_t own = score(table.at(table.self));
        return static_cast<std::size_t>(std::ranges::count_if(table.members, [&](const core::MemberEntry& member) { return member.state == core::MemberState::Alive && score(member) > own; }));
    }
};

// Filter: ends a request instead of sending it to one more server, if it is known by now to crash them. A hedge is not
// sent.
struct WithholdAttempt {
    State& state;

    Next<PendingAttempt> operator()(PendingAttempt attempt, core::TimePoint now) const
    {
        ActiveRequest& request = *attempt.request;
        if (this->state.allowsNextAttempt(request, now))
            return Next<PendingAttempt>::pass(attempt);
        if (attempt.reason != AttemptReason::Hedge)
            this->state.reject(request, core::ErrorKind::Quarantined, now);
        return Next<PendingAttempt>::end({});
    }
};

}
