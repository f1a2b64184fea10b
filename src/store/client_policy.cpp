#include "store/client_policy.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::store {

namespace {

    // Keeps the shift in Backoff::next from overflowing. Any realistic first delay reaches the maximum delay in fewer
    // doublings.
    constexpr unsigned maxDoublings = 20;

    StoredObject withoutContent(StoredObject stored)
    {
        stored.object.content.clear();
        return stored;
    }

    bool isSameChange(const StoredObject& left, const StoredObject& right)
    {
        return left.object.kind == right.object.kind && left.object.name == right.object.name
            && left.object.version == right.object.version && left.writeId == right.writeId;
    }

}

core::Duration Backoff::next(core::RandomEngine& random)
{
    unsigned doublings = std::min(this->failures, maxDoublings);
    core::Duration step = std::min(this->options.maxDelay, core::Duration(this->options.firstDelay * (1LL << doublings)));
    ++this->failures;
    std::uniform_real_distribution<double> share(0.5, 1);
    return core::Duration(std::llround(static_cast<double>(step.count()) * share(random)));
}

core::TimePoint RateLimiter::reserve(core::TimePoint now)
{
    if (this->lastRefill && now > *this->lastRefill) {
        double seconds = std::chrono::duration<double>(now - *this->lastRefill).count();
        this->tokens = std::min(this->options.burst, this->tokens + seconds * this->options.callsPerSecond);
    }
    this->lastRefill = std::max(now, this->lastRefill.value_or(now));
    this->tokens -= 1;
    if (this->tokens >= 0)
        return now;
    return now + core::Duration(std::llround(-this->tokens / this->options.callsPerSecond * 1e6));
}

bool CircuitBreaker::tryAdmit(core::TimePoint now)
{
    if (!this->wouldAdmit(now))
        return false;
    this->isProbing = this->openUntil.has_value();
    return true;
}

void CircuitBreaker::recordSuccess()
{
    this->failures = 0;
    this->isProbing = false;
    this->openUntil.reset();
    this->probeBackoff.reset();
}

void CircuitBreaker::recordFailure(core::TimePoint now, core::RandomEngine& random)
{
    ++this->failures;
    // Calls that were in flight when the breaker opened do not lengthen the probe interval.
    if (this->openUntil && !this->isProbing)
        return;
    this->isProbing = false;
    if (this->failures >= this->options.failuresToOpen)
        this->openUntil = now + this->probeBackoff.next(random);
}

WriteStep WriteTracker::recordAttempt(WriteAttemptOutcome outcome, const std::optional<StoredObject>& current)
{
    switch (outcome) {
    case WriteAttemptOutcome::Written:
        return WriteStep::Done;
    case WriteAttemptOutcome::NotApplied:
        return this->storeHasReturned ? WriteStep::ReadBack : WriteStep::Send;
    case WriteAttemptOutcome::Unknown:
        this->hasUnknownOutcome = true;
        return WriteStep::ReadBack;
    case WriteAttemptOutcome::Conflict:
        return this->resolveFailedCondition(current);
    }
    return WriteStep::Unclear;
}

WriteStep WriteTracker::recordReadBack(const std::optional<StoredObject>& current)
{
    if (current && current->writeId == this->writeId)
        return WriteStep::Done;
    std::uint64_t version = current && !current->object.deleted ? current->object.version.version : 0;
    const bool isConditionValid = !this->storeHasReturned || this->ifVersion == 0;
    if (isConditionValid && version == this->ifVersion)
        return WriteStep::Send;
    return this->resolveFailedCondition(current);
}

// Returns the result of a write whose condition no longer holds.
WriteStep WriteTracker::resolveFailedCondition(const std::optional<StoredObject>& current) const
{
    if (current && current->writeId == this->writeId)
        return WriteStep::Done;
    return this->hasUnknownOutcome ? WriteStep::Unclear : WriteStep::Conflict;
}

bool SeenVersions::acceptIfNewer(const core::Object& object)
{
    auto [position, isNew] = this->versions.try_emplace({ object.kind, object.name }, object.version);
    if (isNew)
        return true;
    if (object.version <= position->second)
        return false;
    position->second = object.version;
    return true;
}

std::optional<core::ObjectVersion> SeenVersions::find(std::string_view kind, std::string_view name) const
{
    auto position = this->versions.find({ std::string(kind), std::string(name) });
    if (position == this->versions.end())
        return std::nullopt;
    return position->second;
}

CursorStep WatchCursor::nextStep(std::uint64_t era) const
{
    if (!this->reached || this->reached->era != era)
        return CursorStep::List;
    return this->mustVerify() ? CursorStep::Verify : CursorStep::Watch;
}

void WatchCursor::advanceTo(const ObjectBatch& batch)
{
    if (this->reached != positionOf(batch))
        this->lastChange.reset();
    this->reached = positionOf(batch);
    for (const StoredObject& stored : batch.objects) {
        if (stored.object.version.version == batch.version)
            this->lastChange = withoutContent(stored);
    }
}

void WatchCursor::recordWatch(const ObjectBatch& batch)
{
    const core::StorePosition position = positionOf(batch);
    if (this->reached && (position.era != this->reached->era || position < *this->reached)) {
        this->reached.reset();
        return;
    }
    this->advanceTo(batch);
    this->needsVerification = batch.objects.empty();
}

void WatchCursor::recordVerification(const ObjectBatch& batch)
{
    this->needsVerification = false;
    if (!this->reached)
        return;
    const bool isSame = batch.era == this->reached->era && !batch.objects.empty() && batch.objects.front().object.version.version == this->reached->revision
        && (!this->lastChange || isSameChange(*this->lastChange, batch.objects.front()));
    if (isSame)
        this->lastChange = withoutContent(batch.objects.front());
    else
        this->reached.reset();
}

void WatchCursor::recordHistoryGone()
{
    // The verification reads one change more than the watch. If only that change is gone, the watch can still succeed;
    // if the watch fails as well, a list follows.
    if (this->mustVerify())
        this->needsVerification = false;
    else
        this->reached.reset();
}

}
