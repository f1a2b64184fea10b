#include "request/count_crash.h"

#include <algorithm>

namespace cranberryshed::request {

Next<FinishedAttempt> CountCrash::operator()(FinishedAttempt ended, core::TimePoint now) const
{
    CrashHistory& history = *this->state.shared.crashHistory;
    if (!history.isEnabled())
        return Next<FinishedAttempt>::pass(std::move(ended));
    const Attempt& attempt = ended.attempt;
    const std::uint64_t serverKey = attempt.serverEntry().key;
    switch (ended.event.result) {
    case core::AttemptResult::Answered:
        history.recordReply(serverKey, attempt.sentAt);
        for (const core::Fingerprint key : attempt.crashKeys)
            this->state.recentAnswers.add(key, now);
        for (const core::Fingerprint key : history.recordAnswer(attempt.crashKeys, *this->state.table))
            this->state.observe(CrashesForgotten { .fingerprint = key });
        break;
    case core::AttemptResult::Refused:
        history.recordReply(serverKey, attempt.sentAt);
        break;
    case core::AttemptResult::Broken:
        this->recordBroken(attempt, now);
        break;
    case core::AttemptResult::Misdirected:
        history.recordServerEnd(serverKey, now);
        break;
    case core::AttemptResult::ConnectFailed:
        if (ended.event.isConnectionRefused)
            history.recordServerEnd(serverKey, now);
        break;
    case core::AttemptResult::TimedOut:
    case core::AttemptResult::Cancelled:
        break;
    }
    this->state.reportCrashes(now);
    return Next<FinishedAttempt>::pass(std::move(ended));
}

// One check of a server at a time is enough for all attempts that broke there. A server that is leaving ends anyway.
void CountCrash::recordBroken(const Attempt& attempt, core::TimePoint now) const
{
    const core::ServerEntry& server = attempt.serverEntry();
    if (this->isLeaving(server.key))
        return;
    this->state.shared.crashHistory->recordBroken({ .keys = attempt.crashKeys, .earlierCrashes = attempt.earlierCrashes, .serverKey = server.key, .serverName = server.name, .sentAt = attempt.sentAt, .brokenAt = now });
    if (this->state.serversBeingChecked.insert(server.key).second)
        this->state.emit(CheckServer { .server = attempt.server, .table = attempt.table });
}

bool CountCrash::isLeaving(std::uint64_t serverKey) const
{
    const auto found = std::ranges::find(this->state.table->servers, serverKey, &core::ServerEntry::key);
    return found != this->state.table->servers.end() && found->state == core::ServerState::Leaving;
}

Next<Done> RecordServerCheck::operator()(ServerChecked checked, core::TimePoint now) const
{
    this->state.serversBeingChecked.erase(checked.serverKey);
    if (checked.reachability == core::Reachability::Refuses)
        this->state.shared.crashHistory->recordServerEnd(checked.serverKey, now);
    this->state.reportCrashes(now);
    return Next<Done>::pass({});
}

}
