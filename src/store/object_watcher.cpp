#include "store/object_watcher.h"

#include <algorithm>
#include <bit>

namespace cranberryshed::store {

using namespace std::chrono_literals;

namespace {

    // How long a confirmation takes to reach all members, per doubling of the fleet.
    constexpr core::Duration spreadPerDoubling = 600ms;
    // Between the times at which the second, third, ... member take over from a first one that is not heard.
    constexpr core::Duration takeoverStep = 300ms;
    constexpr std::size_t takeoverSteps = 4;
    // A change reaches the watches of the members at different times, because each is renewed after its batch delay.
    constexpr core::Duration watchSkew = 500ms;

}

WatcherCall ObjectWatcher::nextCall() const
{
    if (!this->reachedVersion)
        return { .kind = WatcherCallKind::List, .notBefore = this->nextCallTime, .consistency = this->listConsistency };
    const core::Duration wait = this->isReplacing ? core::Duration::zero() : this->fleet.rank == 0 ? this->options.confirmInterval
                                                                                                   : this->options.maxWait;
    return { .kind = WatcherCallKind::Watch, .notBefore = this->nextCallTime, .fromVersion = *this->reachedVersion, .wait = wait, .answerTimeout = this->currentAnswerTimeout() };
}

core::Duration ObjectWatcher::currentAnswerTimeout() const
{
    const unsigned doublings = std::min(this->failures, 8U);
    return std::min<core::Duration>(this->options.answerTimeout * (1U << doublings), this->options.maxAnswerTimeout);
}

void ObjectWatcher::setFleetKnowledge(const FleetKnowledge& knowledge, core::TimePoint now)
{
    this->fleet = knowledge;
    if (knowledge.newestRevision <= this->reachedVersion.value_or(0))
        this->behindSince.reset();
    else if (!this->behindSince)
        this->behindSince = now;
}

// How old the newest confirmation may become. The first member must notice a dead watch of its own; each of the others
// waits longer than the members before it need to take over and to be heard.
core::Duration ObjectWatcher::confirmationLimit() const
{
    const core::Duration own = this->options.confirmInterval + this->options.batchDelay + this->currentAnswerTimeout();
    if (this->fleet.rank == 0)
        return own;
    return own + spreadPerDoubling * std::bit_width(this->fleet.members) + takeoverStep * std::min(this->fleet.rank, takeoverSteps);
}

core::TimePoint ObjectWatcher::replacementTime() const
{
    if (this->isReplacing)
        return core::TimePoint::max();
    const core::TimePoint confirmed = std::max({ this->lastConfirmation.value_or(this->lastAnswerAt), this->fleet.confirmedAt.value_or(this->lastAnswerAt), this->lastAnswerAt });
    const core::TimePoint old = confirmed + this->confirmationLimit();
    return this->behindSince ? std::min(old, *this->behindSince + this->options.batchDelay + watchSkew) : old;
}

void ObjectWatcher::recordReplacement(core::TimePoint now)
{
    this->isReplacing = true;
    this->nextCallTime = now;
}

std::vector<core::Object> ObjectWatcher::handleList(std::vector<core::Object> objects, std::uint64_t storeVersion, core::TimePoint now)
{
    this->recordSuccess(now);
    this->lastAnsweredCall = WatcherCallKind::List;
    if (this->listConsistency == Consistency::Linearizable)
        this->lastConfirmation = now;
    std::vector<core::Object> accepted;
    std::map<std::string, core::ObjectVersion> missing = this->knownVersions;
    for (core::Object& object : objects) {
        missing.erase(object.name);
        this->lastChangedRevision = std::max(this->lastChangedRevision, object.version.revision);
        this->applyUpdate(std::move(object), now, accepted);
    }
    for (const auto& [name, version] : missing)
        this->applyRemoval({ .kind = this->options.kind, .name = name, .version = { .revision = storeVersion, .version = 1 }, .deleted = true, .content = {} }, now, accepted);
    this->reachedVersion = storeVersion;
    this->listConsistency = Consistency::Stale;
    return accepted;
}

std::vector<core::Object> ObjectWatcher::handleChanges(std::vector<core::Object> changes, std::uint64_t storeVersion, core::TimePoint now)
{
    this->recordSuccess(now);
    this->lastAnsweredCall = WatcherCallKind::Watch;
    this->lastConfirmation = now;
    std::vector<core::Object> accepted;
    for (core::Object& object : changes) {
        this->lastChangedRevision = std::max(this->lastChangedRevision, object.version.revision);
        if (object.deleted)
            this->applyRemoval(std::move(object), now, accepted);
        else
            this->applyUpdate(std::move(object), now, accepted);
    }
    this->reachedVersion = std::max(this->reachedVersion.value_or(0), storeVersion);
    return accepted;
}

void ObjectWatcher::recordHistoryGone(core::TimePoint now)
{
    this->reachedVersion.reset();
    this->listConsistency = Consistency::Linearizable;
    this->nextCallTime = now;
}

void ObjectWatcher::recordFailure(core::TimePoint now, core::RandomEngine& random)
{
    const unsigned doublings = std::min(this->failures, 8U);
    ++this->failures;
    const core::Duration delay = std::min(this->options.firstRetryDelay * (1U << doublings), this->options.maxRetryDelay);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    this->nextCallTime = now + core::Duration(static_cast<core::Duration::rep>(static_cast<double>(delay.count()) * jitter(random)));
}

void ObjectWatcher::recordSuccess(core::TimePoint now)
{
    if (this->failures > 0 && this->options.removalHoldTime > core::Duration::zero())
        this->holdRemovalsUntil = now + this->options.removalHoldTime;
    this->failures = 0;
    this->isReplacing = false;
    this->lastAnswerAt = now;
    this->nextCallTime = now + this->options.batchDelay;
}

void ObjectWatcher::applyUpdate(core::Object object, core::TimePoint, std::vector<core::Object>& accepted)
{
    this->heldRemovals.erase(object.name);
    const auto [known, added] = this->knownVersions.try_emplace(object.name, object.version);
    if (!added && known->second >= object.version) {
        if (known->second > object.version)
            this->ignored.push_back({ .name = std::move(object.name), .reported = object.version, .known = known->second });
        return;
    }
    known->second = object.version;
    accepted.push_back(std::move(object));
}

void ObjectWatcher::applyRemoval(core::Object object, core::TimePoint now, std::vector<core::Object>& accepted)
{
    const auto known = this->knownVersions.find(object.name);
    if (known != this->knownVersions.end() && known->second > object.version) {
        this->ignored.push_back({ .name = std::move(object.name), .reported = object.version, .known = known->second });
        return;
    }
    if (now < this->holdRemovalsUntil) {
        const std::string name = object.name;
        this->heldRemovals.try_emplace(name, HeldRemoval { .object = std::move(object), .until = this->holdRemovalsUntil });
        return;
    }
    if (known != this->knownVersions.end())
        this->knownVersions.erase(known);
    accepted.push_back(std::move(object));
}

std::vector<core::Object> ObjectWatcher::releaseHeldRemovals(core::TimePoint now)
{
    std::vector<core::Object> accepted;
    for (auto& [name, removal] : this->heldRemovals) {
        if (removal.until > now)
            continue;
        this->knownVersions.erase(name);
        accepted.push_back(removal.object);
    }
    std::erase_if(this->heldRemovals, [&](const auto& item) { return item.second.until <= now; });
    return accepted;
}

std::optional<core::TimePoint> ObjectWatcher::nextReleaseTime() const
{
    std::optional<core::TimePoint> earliest;
    for (const auto& [name, removal] : this->heldRemovals)
        earliest = std::min(earliest.value_or(removal.until), removal.until);
    return earliest;
}

}
