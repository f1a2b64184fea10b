#include "platform/policy.h"

#include <algorithm>
#include <cmath>

namespace cranberryshed::platform {

namespace {

    // Doublings after which the longest delay is reached with any sensible first delay.
    constexpr unsigned mostDoublings = 20;

}

core::Duration Backoff::next(core::RandomEngine& random)
{
    unsigned doublings = std::min(this->failures, mostDoublings);
    core::Duration step = std::min(this->options.longest, core::Duration(this->options.first * (1LL << doublings)));
    ++this->failures;
    std::uniform_real_distribution<double> share(0.5, 1);
    return core::Duration(std::llround(static_cast<double>(step.count()) * share(random)));
}

core::TimePoint RateLimit::reserve(core::TimePoint now)
{
    if (this->filledAt && now > *this->filledAt) {
        double seconds = std::chrono::duration<double>(now - *this->filledAt).count();
        this->tokens = std::min(this->options.burst, this->tokens + seconds * this->options.perSecond);
    }
    this->filledAt = std::max(now, this->filledAt.value_or(now));
    this->tokens -= 1;
    if (this->tokens >= 0)
        return now;
    return now + core::Duration(std::llround(-this->tokens / this->options.perSecond * 1e6));
}

bool CircuitBreaker::allows(core::TimePoint now)
{
    if (!this->openUntil)
        return true;
    if (this->probing || now < *this->openUntil)
        return false;
    this->probing = true;
    return true;
}

void CircuitBreaker::succeeded()
{
    this->failures = 0;
    this->probing = false;
    this->openUntil.reset();
    this->probeDelay.reset();
}

void CircuitBreaker::failed(core::TimePoint now, core::RandomEngine& random)
{
    ++this->failures;
    // Calls that were under way when the breaker opened do not lengthen the wait.
    if (this->openUntil && !this->probing)
        return;
    this->probing = false;
    if (this->failures >= this->options.failuresToOpen)
        this->openUntil = now + this->probeDelay.next(random);
}

WriteStep WriteTracker::attempted(WriteAttempt attempt, const std::optional<StoredObject>& current)
{
    switch (attempt) {
    case WriteAttempt::Written:
        return WriteStep::Done;
    case WriteAttempt::NotSent:
        return WriteStep::Send;
    case WriteAttempt::Unknown:
        this->unknown = true;
        return WriteStep::ReadBack;
    case WriteAttempt::Conflict:
        return this->judge(current);
    }
    return WriteStep::Unclear;
}

WriteStep WriteTracker::readBack(const std::optional<StoredObject>& current)
{
    if (current && current->mark == this->mark)
        return WriteStep::Done;
    std::uint64_t version = current && !current->object.deleted ? current->object.version.version : 0;
    if (version == this->ifVersion)
        return WriteStep::Send;
    return this->judge(current);
}

// The condition of the write no longer holds.
WriteStep WriteTracker::judge(const std::optional<StoredObject>& current) const
{
    if (current && current->mark == this->mark)
        return WriteStep::Done;
    return this->unknown ? WriteStep::Unclear : WriteStep::Conflict;
}

bool SeenVersions::accept(const core::Object& object)
{
    auto [position, isNew] = this->versions.try_emplace({ object.kind, object.name }, object.version);
    if (isNew)
        return true;
    if (object.version <= position->second)
        return false;
    position->second = object.version;
    return true;
}

std::optional<core::ObjectVersion> SeenVersions::seen(std::string_view kind, std::string_view name) const
{
    auto position = this->versions.find({ std::string(kind), std::string(name) });
    if (position == this->versions.end())
        return std::nullopt;
    return position->second;
}

void FollowPosition::watched(std::uint64_t version)
{
    if (this->reached && version < *this->reached)
        this->reached.reset();
    else
        this->reached = version;
}

}
