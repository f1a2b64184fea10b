#include "request/attempt_end.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    bool surelyNotRun(core::AttemptResult result)
    {
        return result == core::AttemptResult::Refused || result == core::AttemptResult::Misdirected || result == core::AttemptResult::ConnectFailed;
    }

    bool hasMissedServer(core::AttemptResult result)
    {
        return result == core::AttemptResult::Misdirected || result == core::AttemptResult::ConnectFailed;
    }

    core::ErrorKind errorFor(core::AttemptResult result)
    {
        switch (result) {
        case core::AttemptResult::Refused:
        case core::AttemptResult::Misdirected:
            return core::ErrorKind::ServerRefused;
        case core::AttemptResult::ConnectFailed:
            return core::ErrorKind::ServerUnreachable;
        case core::AttemptResult::TimedOut:
            return core::ErrorKind::DeadlinePassed;
        case core::AttemptResult::Answered:
        case core::AttemptResult::Broken:
        case core::AttemptResult::Cancelled:
            break;
        }
        return core::ErrorKind::ServerBroke;
    }

}

Next<FinishedAttempt> TakeAttempt::operator()(AttemptEnded event, core::TimePoint) const
{
    const auto found = this->state.attempts.find(event.attempt);
    if (found == this->state.attempts.end() || found->second.request != event.request)
        return Next<FinishedAttempt>::end({});
    FinishedAttempt ended { .event = event, .attempt = std::move(found->second) };
    this->state.attempts.erase(found);
    return Next<FinishedAttempt>::pass(std::move(ended));
}

Next<FinishedAttempt> ReleaseSlot::operator()(FinishedAttempt ended, core::TimePoint) const
{
    this->state.releaseSlot(ended.attempt);
    return Next<FinishedAttempt>::pass(std::move(ended));
}

Next<FinishedAttempt> RecordResult::operator()(FinishedAttempt ended, core::TimePoint now) const
{
    const Attempt& attempt = ended.attempt;
    const core::ServerEntry& server = attempt.serverEntry();
    const core::Duration elapsed = attempt.headAt.value_or(now) - attempt.sentAt;
    ClassState& classState = *attempt.classState;
    this->state.recentFailures.record(server.key, ended.event.result, now);
    this->state.shared.pauses->recordEnd(server.key, attempt.sentAt, ended.event.result);
    if (ended.event.retryAfter)
        this->state.shared.pauses->pause(server.key, *ended.event.retryAfter, now);
    this->state.observe(AttemptObserved { .server = server.name, .result = ended.event.result, .elapsed = elapsed, .length = classState.length, .className = classState.demand.className, .slotTime = now - attempt.sentAt, .serverKey = server.key, .isServerLeaving = ended.event.isServerLeaving });
    if (ended.event.result == core::AttemptResult::Answered) {
        this->state.slotTimes.add(classState.classKey, now - attempt.sentAt);
        classState.headLatency.add(elapsed);
        classState.retryBudget.onSuccess();
        classState.hedgeBudget.onSuccess();
    }
    return Next<FinishedAttempt>::pass(std::move(ended));
}

Next<FinishedAttempt> RecordCrash::operator()(FinishedAttempt ended, core::TimePoint now) const
{
    const Attempt& attempt = ended.attempt;
    CrashRegistry& registry = *this->state.shared.crashes;
    if (ended.event.result == core::AttemptResult::Answered) {
        if (registry.onSuccess(attempt.fingerprint, *this->state.table, now))
            this->state.observe(SuspectCleared { .fingerprint = attempt.fingerprint });
        return Next<FinishedAttempt>::pass(std::move(ended));
    }
    if (ended.event.result != core::AttemptResult::Broken || attempt.headAt || registry.policy() != CrashPolicy::Isolate)
        return Next<FinishedAttempt>::pass(std::move(ended));
    const std::uint64_t server = attempt.serverEntry().key;
    CrashObserved crash { .server = attempt.serverEntry().name, .inFlight = { attempt.fingerprint }, .isolated = attempt.isolated };
    for (const auto& [id, other] : this->state.attempts) {
        if (other.serverEntry().key == server)
            crash.inFlight.push_back(other.fingerprint);
    }
    for (core::Fingerprint fingerprint : crash.inFlight)
        registry.onCrash(fingerprint, attempt.isolated && fingerprint == attempt.fingerprint, now);
    this->state.observe(std::move(crash));
    return Next<FinishedAttempt>::pass(std::move(ended));
}

Next<Done> RetryOrEnd::operator()(FinishedAttempt ended, core::TimePoint now) const
{
    ActiveRequest* request = this->state.find(ended.event.request);
    if (request && std::erase(request->liveAttempts, ended.event.attempt) > 0)
        this->handleLiveAttempt(*request, ended, now);
    return Next<Done>::pass({});
}

void RetryOrEnd::handleLiveAttempt(ActiveRequest& request, const FinishedAttempt& ended, core::TimePoint now) const
{
    if (request.relayedAttempt)
        return this->state.finish(request, now);
    if (!surelyNotRun(ended.event.result))
        request.mayHaveRun = true;
    if (hasMissedServer(ended.event.result))
        --request.deliveredCount;
    if (ended.event.result == core::AttemptResult::Refused && this->state.options.canRetryRefusingServer)
        std::erase(request.triedServers, ended.attempt.serverEntry().key);
    if (!request.liveAttempts.empty())
        return;
    if (request.callerGone)
        return this->state.reject(request, core::ErrorKind::CallerGone, now);
    this->retryOrReject(request, ended, now);
}

void RetryOrEnd::retryOrReject(ActiveRequest& request, const FinishedAttempt& ended, core::TimePoint now) const
{
    const core::AttemptResult result = ended.event.result;
    const std::optional<core::Duration> delay = this->planRetry(request, result, now);
    const bool crashed = result == core::AttemptResult::Broken && !ended.attempt.headAt;
    const bool held = crashed && this->state.options.crashErrorDelay > core::Duration::zero();
    if (!delay && !held)
        return this->state.reject(request, errorFor(result), now, ended.event.retryAfter);
    request.phase = delay ? Phase::Backoff : Phase::DelayingError;
    if (delay)
        request.retryTakenAt = now;
    request.nextActionAt = now + delay.value_or(this->state.options.crashErrorDelay);
    this->state.armTimer(request);
}

// The result Answered without an earlier AnswerStarted is a fault of the front end. The request has run, so it is not
// retried.
std::optional<core::Duration> RetryOrEnd::planRetry(const ActiveRequest& request, core::AttemptResult result, core::TimePoint now) const
{
    const Context& context = request.context;
    if (result == core::AttemptResult::Answered)
        return std::nullopt;
    if (this->state.shared.crashes->suspicion(context.fingerprint, *this->state.table, now) == Suspicion::Quarantined)
        return std::nullopt;
    if (!this->state.allowsNextAttempt(request, now))
        return std::nullopt;
    RetryOptions options = this->state.options.retry;
    if (context.classEntry().maxAttempts > 0)
        options.maxAttempts = context.classEntry().maxAttempts;
    const FailedAttempt failed { .result = result, .idempotency = context.classEntry().idempotency, .mayHaveRun = request.mayHaveRun, .replayable = context.arrival.replayable, .answerStarted = false, .attempts = static_cast<unsigned>(request.triedServers.size()), .deadline = context.deadline };
    if (request.sendCount >= this->state.options.maxSends)
        return std::nullopt;
    return retryDelay(
        failed, options, [&] { return this->state.trySpendRetry(*request.classState, now); }, this->state.random, now);
}

}
