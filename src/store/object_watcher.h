#pragma once

#include "core/object_order.h"
#include "core/types.h"
#include "store/known_objects.h"
#include "store/object_api.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryshed::store {

enum class WatcherCallKind : std::uint8_t { List,
    Watch };

// The next call that an ObjectWatcher needs.
struct WatcherCall {
    WatcherCallKind kind = WatcherCallKind::List;
    core::TimePoint notBefore {};
    std::uint64_t fromVersion = 0; // of a watch: the store version to continue from
    // Of a list. A stale one is enough before a watch, which reports all later changes, unless the store no longer
    // holds the changes since such an old version.
    Consistency consistency = Consistency::Stale;
    core::Duration wait {}; // of a watch: for changes
    core::Duration answerTimeout {}; // of a watch: for the answer, after `wait`
};

// The store came back from an older copy, and the first list after that was read.
struct StoreReturn {
    std::uint64_t previousEra = 0;
    std::uint64_t era = 0;
    std::size_t taken = 0; // objects of the list that are newer than what was known
    std::size_t kept = 0; // known states and removals that the list contradicts
};

// What the fleet knows of the objects of a kind, as this member sees it.
struct FleetKnowledge {
    std::size_t rank = 0; // of this member in the order in which members ask the store for the fleet
    std::size_t members = 1; // alive, including this one
    core::StorePosition newest {}; // of the objects that this member holds, from whatever source
    // When the store last confirmed to any member that there is no newer one; empty: never.
    std::optional<core::TimePoint> confirmedAt {};
};

// Keeps up to date with the objects of one kind: lists them first, then watches for changes, and lists them again when
// the store no longer holds the changes since the last call. Passes on only changes that are newer than what it knows.
// Does no I/O: the owner makes the calls and passes in their results.
//
// A watch without an answer doesn't show whether there are no changes or whether its connection is dead. The first member
// of the fleet therefore waits only for `confirmInterval`, and all others learn from it how old the fleet's knowledge is.
// A member replaces its watch by a call without waiting if that knowledge becomes too old, or if another member knows a
// change that the watch has not reported.
//
// If the store comes back from an older copy, each member lists again, at its own time within a moment. States that the
// writer itself orders are newer or not by that order. Otherwise what was known to be in force is held for a while,
// because its writer may have to repeat it: a removed object that came back for `settleTime`, one that is missing for
// `absenceHoldTime`. Changes that a watch reports were made after the return and end the hold. A second list after
// `settleTime` ends it for removed objects.
class ObjectWatcher {
public:
    struct Options {
        std::string kind;
        core::WriterOrder writerOrder = core::WriterOrder::None;
        // Delay between the end of a call and the next watch, so that a series of changes needs few calls.
        core::Duration batchDelay = std::chrono::milliseconds(100);
        core::Duration firstRetryDelay = std::chrono::milliseconds(60);
        core::Duration maxRetryDelay = std::chrono::milliseconds(900);
        // How long removals are held back if they are first seen after an outage of the store. Entries that expired
        // during the outage are written again within two seconds after it.
        core::Duration removalHoldTime {};
        core::Duration settleTime = std::chrono::seconds(3);
        core::Duration absenceHoldTime = std::chrono::seconds(10);
        core::Duration maxWait = std::chrono::seconds(30); // of a watch; the store allows no longer one
        core::Duration confirmInterval = std::chrono::seconds(1); // between two answers to the first member
        // For the answer of a watch after its wait. It doubles with each failure up to `maxAnswerTimeout`, because a store
        // that is slow would otherwise never be heard.
        core::Duration answerTimeout = std::chrono::milliseconds(600);
        core::Duration maxAnswerTimeout = std::chrono::milliseconds(1500);
    };

    explicit ObjectWatcher(Options watcherOptions)
        : options(std::move(watcherOptions))
        , known(this->options.writerOrder)
    {
    }

    WatcherCall nextCall() const;

    // Handles the result of a list: all objects at `position`. Returns the changes to the known objects, including
    // removals of objects that are missing from the list.
    std::vector<core::Object> handleList(std::vector<core::Object> objects, core::StorePosition position, core::TimePoint now);

    // Handles the result of a watch: the changes up to `position`, in their order. Returns those that are new. The
    // position must be of the era of the last list, see recordReturn().
    std::vector<core::Object> handleChanges(std::vector<core::Object> changes, core::StorePosition position, core::TimePoint now);

    // Records that the store no longer holds the changes since the requested version. A list is due at once.
    void recordHistoryGone(core::TimePoint now);

    // Records that an answer was made in a later era than the last list, whose changes a watch doesn't report. A list is
    // due within a moment that grows with the fleet, so that not all members list at once.
    void recordReturn(core::TimePoint now, core::RandomEngine& random);

    // Takes over what this member holds of an object, from whatever source. To be called when it gets a new state from a
    // peer, before an answer that reports the object is handled, and for all objects of the kind before the first list of an
    // era. If the store should have reported the state to this member already, a list is due after `settleTime`: the member
    // that published it can end before it corrects it.
    void learn(const core::Object&, core::TimePoint now);

    // The first list of a new era, if there was one since the last call of this function.
    std::optional<StoreReturn> takeReturn() { return std::exchange(this->lastReturn, std::nullopt); }

    // Whether a list at this position is the first one after the store came back from a copy.
    bool isReturn(core::StorePosition position) const { return this->listedEra && position.era > *this->listedEra; }

    // The era of the last list.
    std::uint64_t era() const { return this->listedEra.value_or(0); }

    // Records a failed call. The random delay before the next one spreads the calls of many entry VMs.
    void recordFailure(core::TimePoint now, core::RandomEngine& random);

    // Sets what the fleet knows. It decides how long the next watch waits and when the pending one is replaced.
    void setFleetKnowledge(const FleetKnowledge&, core::TimePoint now);

    // When a pending watch has to be replaced, unless what the fleet knows changes until then. A call that replaces
    // another one is not replaced: it ends within its timeout.
    core::TimePoint replacementTime() const;

    // Records that the pending watch is given up. The next one follows at once and doesn't wait for changes.
    void recordReplacement(core::TimePoint now);

    // Returns the removals whose hold time has passed, and forgets them. To be called at `nextReleaseTime()`.
    std::vector<core::Object> releaseHeldRemovals(core::TimePoint now);
    std::optional<core::TimePoint> nextReleaseTime() const;

    // Returns the states that were turned down since the last call of this function.
    std::vector<IgnoredState> takeIgnored() { return this->known.takeIgnored(); }

    // Whether a list has been read and the last call succeeded.
    bool isSynced() const { return this->failures == 0 && this->reachedPosition.has_value(); }
    // When the store last answered a call with its newest state; empty: never. Between two answers of watches, a change
    // that the store has not reported can exist.
    std::optional<core::TimePoint> confirmedAt() const { return this->lastConfirmation; }
    // The position of the last change of the kind that was seen.
    core::StorePosition lastChange() const { return this->lastChangeSeen; }
    // The position up to which all changes were seen; that of the last list, if another list is due.
    core::StorePosition reached() const { return this->reachedPosition.value_or(core::StorePosition {}); }
    // The kind of the last call that was answered.
    WatcherCallKind lastAnswered() const { return this->lastAnsweredCall; }
    const std::string& kind() const { return this->options.kind; }

private:
    struct HeldRemoval {
        core::Object object;
        core::TimePoint until {};
    };

    void recordSuccess(core::TimePoint now);
    core::Duration confirmationLimit() const;
    core::Duration currentAnswerTimeout() const;
    void beginEra(core::StorePosition, core::TimePoint now);
    bool isSettling(core::TimePoint now) const { return this->settleUntil && now < *this->settleUntil; }
    void requireCurrentList(core::TimePoint now);
    StateVerdict applyListed(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);
    void applyChange(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);
    void applyRemoval(core::Object, ReportKind, core::TimePoint now, std::vector<core::Object>& accepted);

    Options options;
    std::optional<core::StorePosition> reachedPosition; // up to which all changes were seen; empty: a list is due
    std::optional<std::uint64_t> listedEra; // of the last list
    KnownObjects known;
    std::map<std::string, HeldRemoval> heldRemovals; // by object name
    std::optional<core::TimePoint> lastConfirmation;
    WatcherCallKind lastAnsweredCall = WatcherCallKind::List;
    core::StorePosition lastChangeSeen;
    FleetKnowledge fleet;
    std::optional<core::TimePoint> behindSince; // since when another member knows a later change
    // FleetKnowledge::newest when a watch was last replaced, and when a call that replaced one was last answered. If the
    // store then still doesn't report that change, it no longer holds it, and asking again doesn't help.
    core::StorePosition newestWhenReplaced;
    core::StorePosition newestWhenAnswered;
    core::TimePoint lastAnswerAt {};
    bool isReplacing = false; // the next watch must not wait for changes
    unsigned failures = 0; // consecutive
    Consistency listConsistency = Consistency::Stale; // of the next list
    core::TimePoint nextCallTime {};
    core::TimePoint holdRemovalsUntil {}; // removals that are seen before this time are held until then
    core::TimePoint holdAbsencesUntil {}; // the same for objects of an earlier era that are missing from a list
    std::optional<core::TimePoint> settleUntil; // when a second list is due; empty: none is
    std::optional<StoreReturn> lastReturn;
};

}
