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
    // Bounds the lists that the store gets at once after it came back from a copy.
    constexpr core::Duration returnSpreadPerMember = 2ms;

}

WatcherCall ObjectWatcher::nextCall() const
{
    if (!this->reachedPosition)
        return { .kind = WatcherCallKind::List, .notBefore = this->nextCallTime, .consistency = this->listConsistency };
    const core::Duration wait = this->isReplacing ? core::Duration::zero() : this->fleet.rank == 0 ? this->options.confirmInterval
                                                                                                   : this->options.maxWait;
    return { .kind = WatcherCallKind::Watch, .notBefore = this->nextCallTime, .fromVersion = this->reachedPosition->revision, .wait = wait, .answerTimeout = this->currentAnswerTimeout() };
}

core::Duration ObjectWatcher::currentAnswerTimeout() const
{
    const unsigned doublings = std::min(this->failures, 8U);
    return std::min<core::Duration>(this->options.answerTimeout * (1U << doublings), this->options.maxAnswerTimeout);
}

void ObjectWatcher::setFleetKnowledge(const FleetKnowledge& knowledge, core::TimePoint now)
{
    this->fleet = knowledge;
    if (knowledge.newest <= std::max(this->reached(), this->newestWhenAnswered))
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
    const core::TimePoint old = std::min(confirmed + this->confirmationLimit(), this->settleUntil.value_or(core::TimePoint::max()));
    return this->behindSince ? std::min(old, *this->behindSince + this->options.batchDelay + watchSkew) : old;
}

void ObjectWatcher::recordReplacement(core::TimePoint now)
{
    this->isReplacing = true;
    this->newestWhenReplaced = this->fleet.newest;
    this->nextCallTime = now;
    if (this->settleUntil && now >= *this->settleUntil)
        this->requireCurrentList(now);
}

std::vector<core::Object> ObjectWatcher::handleList(std::vector<core::Object> objects, core::StorePosition position, core::TimePoint now)
{
    this->recordSuccess(now);
    this->lastAnsweredCall = WatcherCallKind::List;
    if (this->listConsistency == Consistency::Linearizable)
        this->lastConfirmation = now;
    const bool isFirstOfEra = this->isReturn(position);
    if (isFirstOfEra)
        this->beginEra(position, now);
    else if (!this->listedEra)
        this->holdAbsencesUntil = now + this->options.absenceHoldTime;
    else if (!this->isSettling(now))
        this->settleUntil.reset();
    this->listedEra = position.era;
    std::vector<core::Object> accepted;
    std::size_t kept = 0;
    std::set<std::string> missing = this->known.existingNames();
    for (core::Object& object : objects) {
        missing.erase(object.name);
        this->lastChangeSeen = std::max(this->lastChangeSeen, core::positionOf(object.version));
        kept += this->applyListed(std::move(object), now, accepted) == StateVerdict::Older ? 1 : 0;
    }
    for (const std::string& name : missing)
        this->applyRemoval({ .kind = this->options.kind, .name = name, .version = { .revision = 0, .version = core::packPosition(position, core::PositionStage::Removed) }, .deleted = true, .content = {} }, ReportKind::Listed, now, accepted);
    if (isFirstOfEra) {
        this->lastReturn->taken = accepted.size();
        this->lastReturn->kept = kept + missing.size();
    }
    this->reachedPosition = position;
    this->listConsistency = Consistency::Stale;
    return accepted;
}

void ObjectWatcher::learn(const core::Object& object, core::TimePoint now)
{
    const bool contradictsStore = this->known.learn(object, now) && core::positionOf(object.version) <= this->reached();
    if (contradictsStore && !this->settleUntil)
        this->settleUntil = now + this->options.settleTime;
}

void ObjectWatcher::beginEra(core::StorePosition position, core::TimePoint now)
{
    this->lastReturn = StoreReturn { .previousEra = *this->listedEra, .era = position.era };
    this->settleUntil = now + this->options.settleTime;
    this->holdAbsencesUntil = now + this->options.absenceHoldTime;
}

std::vector<core::Object> ObjectWatcher::handleChanges(std::vector<core::Object> changes, core::StorePosition position, core::TimePoint now)
{
    this->recordSuccess(now);
    this->lastAnsweredCall = WatcherCallKind::Watch;
    this->lastConfirmation = now;
    std::vector<core::Object> accepted;
    for (core::Object& object : changes) {
        this->lastChangeSeen = std::max(this->lastChangeSeen, core::positionOf(object.version));
        if (object.deleted)
            this->applyRemoval(std::move(object), ReportKind::Change, now, accepted);
        else
            this->applyChange(std::move(object), now, accepted);
    }
    this->reachedPosition = std::max(this->reached(), position);
    if (this->settleUntil && now >= *this->settleUntil)
        this->requireCurrentList(now);
    return accepted;
}

void ObjectWatcher::recordHistoryGone(core::TimePoint now)
{
    this->requireCurrentList(now);
}

void ObjectWatcher::requireCurrentList(core::TimePoint now)
{
    this->reachedPosition.reset();
    this->listConsistency = Consistency::Linearizable;
    this->nextCallTime = now;
}

void ObjectWatcher::recordReturn(core::TimePoint now, core::RandomEngine& random)
{
    this->requireCurrentList(now);
    const core::Duration spread = returnSpreadPerMember * this->fleet.members;
    this->nextCallTime += core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, spread.count())(random));
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
    if (std::exchange(this->isReplacing, false))
        this->newestWhenAnswered = this->newestWhenReplaced;
    this->lastAnswerAt = now;
    this->nextCallTime = now + this->options.batchDelay;
}

// Returns Older if the listed state contradicts what is known and is not taken.
StateVerdict ObjectWatcher::applyListed(core::Object object, core::TimePoint now, std::vector<core::Object>& accepted)
{
    this->heldRemovals.erase(object.name);
    if (this->isSettling(now) && this->known.canBeFromCopy(object)) {
        this->known.holdRemoved(object, now);
        accepted.push_back(std::move(object));
        return StateVerdict::Older;
    }
    const StateVerdict verdict = this->known.acceptState(object, ReportKind::Listed);
    if (verdict == StateVerdict::Newer)
        accepted.push_back(std::move(object));
    return verdict;
}

void ObjectWatcher::applyChange(core::Object object, core::TimePoint, std::vector<core::Object>& accepted)
{
    this->heldRemovals.erase(object.name);
    if (this->known.acceptState(object, ReportKind::Change) == StateVerdict::Newer)
        accepted.push_back(std::move(object));
}

void ObjectWatcher::applyRemoval(core::Object object, ReportKind report, core::TimePoint now, std::vector<core::Object>& accepted)
{
    if (!this->known.isNewerRemoval(object, report))
        return;
    const bool canBeLost = report == ReportKind::Listed && this->known.isOfEarlierEra(object.name, core::positionOf(object.version).era);
    const core::TimePoint holdUntil = canBeLost ? std::max(this->holdRemovalsUntil, this->holdAbsencesUntil) : this->holdRemovalsUntil;
    if (now < holdUntil) {
        const std::string name = object.name;
        const auto [held, added] = this->heldRemovals.try_emplace(name, HeldRemoval { .object = std::move(object), .until = holdUntil });
        // A second return extends the hold. Another outage doesn't: a store that fails often would postpone it again and again.
        if (!added && canBeLost)
            held->second.until = std::max(held->second.until, this->holdAbsencesUntil);
        return;
    }
    this->heldRemovals.erase(object.name);
    if (this->known.acceptRemoval(object, now))
        accepted.push_back(std::move(object));
}

std::vector<core::Object> ObjectWatcher::releaseHeldRemovals(core::TimePoint now)
{
    std::vector<core::Object> accepted;
    for (auto& [name, removal] : this->heldRemovals) {
        if (removal.until <= now && this->known.acceptRemoval(removal.object, now))
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
