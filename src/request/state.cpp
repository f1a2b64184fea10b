#include "request/state.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::request {

namespace {

    // Replaces an error kind that states "not run" by one that is true for a request that may have run.
    core::ErrorKind afterPossibleRun(core::ErrorKind kind)
    {
        if (core::errorInfo(kind).runState != core::RunState::NotRun)
            return kind;
        const bool late = kind == core::ErrorKind::DeadlinePassedQueued || kind == core::ErrorKind::DeadlineTooShort;
        return late ? core::ErrorKind::DeadlinePassed : core::ErrorKind::ServerBroke;
    }

}

SharedState makeSharedState(std::string_view member, core::Incarnation incarnation, std::uint64_t seed, KeyOptions keys, CrashOptions crashes)
{
    return { .keys = std::make_shared<KeyRegistry>(core::hashBytes(member), incarnation, keys, seed), .crashes = std::make_shared<CrashRegistry>(crashes), .pauses = std::make_shared<ServerPauses>(ServerPauses::Options {}), .crashHistory = std::make_shared<CrashHistory>(CrashHistory::Options { .isEnabled = crashes.policy == CrashPolicy::Count }) };
}

State::State(EngineOptions engineOptions, SharedState sharedParts, std::uint64_t seed)
    : options(engineOptions)
    , shared(std::move(sharedParts))
    , random(seed)
    , queue(engineOptions.queue)
    , recentFailures(engineOptions.recentFailures)
    , headroom(engineOptions.headroom)
{
    if (!this->shared.keys || !this->shared.crashes || !this->shared.pauses || !this->shared.crashHistory)
        throw core::Error(core::ErrorKind::BadSettings, "the request engine needs the key registry, the crash registry, the crash history and the server pauses of its process");
}

void State::setTable(core::SteeringTablePointer newTable)
{
    this->table = std::move(newTable);
}

void State::beginEvent(core::TimePoint now, Commands& newCommands, Observations& newObservations)
{
    this->commands = &newCommands;
    this->observations = &newObservations;
    if (!this->startedAt)
        this->startedAt = now;
    if (!this->table->leaving)
        this->leavingSince.reset();
    else if (!this->leavingSince)
        this->leavingSince = now;
}

ClassState& State::classStateOf(const core::ClassEntry& entry)
{
    const auto found = this->classes.find(entry.name);
    if (found != this->classes.end())
        return found->second;
    ClassState classState { .classKey = core::hashBytes(entry.name), .serviceKey = core::hashBytes(entry.service), .length = entry.length, .retryBudget = TokenBudget(this->options.retry.budget), .hedgeBudget = TokenBudget(this->options.hedge.budget), .headLatency = QuantileTracker(this->options.hedge.quantile), .demand = { .className = entry.name } };
    return this->classes.emplace(entry.name, std::move(classState)).first->second;
}

ActiveRequest* State::find(core::RequestId request)
{
    const auto found = this->activeRequests.find(request);
    return found == this->activeRequests.end() ? nullptr : &found->second;
}

void State::armTimer(ActiveRequest& request)
{
    core::TimePoint time = request.context.deadline;
    if (request.nextActionAt)
        time = std::min(time, *request.nextActionAt);
    if (time == request.timerAt)
        return;
    request.timerAt = time;
    this->emit(SetTimer { .request = request.context.arrival.request, .time = time });
}

void State::cancelAttempt(ActiveRequest& request, core::AttemptId id, core::TimePoint now)
{
    this->attempts.at(id).cancelledAt = now;
    std::erase(request.liveAttempts, id);
    this->emit(CancelAttempt { .request = request.context.arrival.request, .attempt = id });
}

void State::cancelAttempts(ActiveRequest& request, core::TimePoint now)
{
    const std::vector<core::AttemptId> attemptsInFlight = request.liveAttempts;
    for (core::AttemptId id : attemptsInFlight) {
        if (request.relayedAttempt == id)
            continue;
        this->cancelAttempt(request, id, now);
        request.mayHaveRun = true;
    }
}

void State::reject(ActiveRequest& request, core::ErrorKind kind, core::TimePoint now, std::optional<core::Duration> retryAfter)
{
    this->cancelAttempts(request, now);
    core::ErrorKind error = request.mayHaveRun ? afterPossibleRun(kind) : kind;
    if (request.callerGone)
        error = core::ErrorKind::CallerGone;
    else
        ++request.classState->demand.rejected;
    this->emit(Reject { .request = request.context.arrival.request, .error = error, .key = {}, .retryAfter = retryAfter, .crashes = this->crashesOf(request.context) });
    this->finish(request, now);
}

void State::finish(ActiveRequest& request, core::TimePoint now)
{
    const core::RequestId id = request.context.arrival.request;
    this->settleKey(request);
    this->endReservation(request);
    if (request.phase == Phase::Queued)
        this->queue.remove(id, now);
    if (request.phase == Phase::AwaitingIsolation)
        std::erase(this->waitingSuspects, id);
    this->activeRequests.erase(id);
}

// Does nothing for a relayed request: Relay records the status when the head of the answer arrives.
void State::settleKey(const ActiveRequest& request)
{
    if (!request.context.keyClaimed || request.relayedAttempt)
        return;
    if (request.mayHaveRun)
        this->shared.keys->finish(request.context.arrival.key, 0);
    else
        this->shared.keys->release(request.context.arrival.key);
}

std::optional<KnownCrashes> State::crashesOf(const Context& context) const
{
    const std::vector<KnownCrashes> known = this->shared.crashHistory->find(crashKeysOf(context.arrival.fingerprint, context.arrival.caller), *this->table);
    if (known.empty())
        return std::nullopt;
    return *std::ranges::max_element(known, {}, [](const KnownCrashes& crashes) { return crashes.record.count; });
}

bool State::allowsNextAttempt(const ActiveRequest& request, core::TimePoint now) const
{
    if (request.deliveredCount == 0)
        return request.context.isCrashProbe || !this->refusingCrashes(request.context, now);
    const std::optional<KnownCrashes> known = this->crashesOf(request.context);
    return !known || this->shared.crashHistory->allowsRetry(*known);
}

std::optional<KnownCrashes> State::refusingCrashes(const Context& context, core::TimePoint now) const
{
    const CrashHistory& history = *this->shared.crashHistory;
    for (const KnownCrashes& known : history.find(crashKeysOf(context.arrival.fingerprint, context.arrival.caller), *this->table)) {
        if (history.isRefused(known) && !this->recentAnswers.contains(known.key, now - this->options.answerValidity))
            return known;
    }
    return std::nullopt;
}

void State::reportCrashes(core::TimePoint now)
{
    for (const CountedCrash& crash : this->shared.crashHistory->takeReports(now))
        this->observe(RequestCrashed { .fingerprint = crash.key, .count = crash.count, .server = crash.serverName });
}

void State::endReservation(ActiveRequest& request)
{
    if (!request.reservation)
        return;
    request.reservation->endReservation();
    request.reservation.reset();
    --this->reservedServerCount;
    this->shared.crashes->endIsolation(request.context.fingerprint);
}

bool State::trySpendRetry(ClassState& classState, core::TimePoint now)
{
    if (this->options.retryAllowance.share <= 0)
        return classState.retryBudget.trySpend(now);
    return this->retryAllowances[classState.serviceKey].trySpend(this->options.retryAllowance, this->table->fleetSize, now, this->startedAt.value_or(now));
}

void State::recordRetrySent(ActiveRequest& request, core::TimePoint now)
{
    if (const std::optional<core::TimePoint> takenAt = std::exchange(request.retryTakenAt, std::nullopt))
        this->retryAllowances[request.classState->serviceKey].recordSent(this->options.retryAllowance, *takenAt, now);
}

void State::releaseSlot(Attempt& attempt)
{
    if (std::exchange(attempt.slotReleased, true))
        return;
    core::SlotCounter& slots = *attempt.serverEntry().slotCounter;
    slots.release();
    --attempt.classState->slotsHeld;
    if (!attempt.isolated)
        return;
    slots.endReservation();
    --this->reservedServerCount;
    this->shared.crashes->endIsolation(attempt.fingerprint);
}

double State::laneSlotsHeld(const ClassState& classState) const
{
    double count = 0;
    for (const auto& [name, other] : this->classes) {
        if (other.serviceKey == classState.serviceKey && other.length == classState.length)
            count += other.slotsHeld;
    }
    return std::max(1.0, count);
}

Exclusions State::exclusionsFor(const ActiveRequest& request, core::TimePoint now) const
{
    const ServerPauses::Remaining paused = this->shared.pauses->remaining(now);
    if (request.triedServers.empty() && this->recentFailures.isEmpty() && paused.empty())
        return {};
    return this->recentFailures.exclusions(*request.context.table, request.context.classIndex, request.triedServers, paused, now);
}

}
