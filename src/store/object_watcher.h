#pragma once

#include "core/object.h"
#include "core/types.h"
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

// A state of an object that the store reported although a newer one is known.
struct IgnoredState {
    std::string name;
    core::ObjectVersion reported;
    core::ObjectVersion known;
};

// What the fleet knows of the objects of a kind, as this member sees it.
struct FleetKnowledge {
    std::size_t rank = 0; // of this member in the order in which members ask the store for the fleet
    std::size_t members = 1; // alive, including this one
    std::uint64_t newestRevision = 0; // of the objects that this member holds, from whatever source
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
// An object's `version.revision` is the store version of its last change. A removal has `version.version` 1, so it
// orders after the state that it removes.
class ObjectWatcher {
public:
    struct Options {
        std::string kind;
        // Delay between the end of a call and the next watch, so that a series of changes needs few calls.
        core::Duration batchDelay = std::chrono::milliseconds(100);
        core::Duration firstRetryDelay = std::chrono::milliseconds(60);
        core::Duration maxRetryDelay = std::chrono::milliseconds(900);
        // How long removals are held back if they are first seen after an outage of the store. Entries that expired
        // during the outage are written again within two seconds after it.
        core::Duration removalHoldTime {};
        core::Duration maxWait = std::chrono::seconds(30); // of a watch; the store allows no longer one
        core::Duration confirmInterval = std::chrono::seconds(1); // between two answers to the first member
        // For the answer of a watch after its wait. It doubles with each failure up to `maxAnswerTimeout`, because a store
        // that is slow would otherwise never be heard.
        core::Duration answerTimeout = std::chrono::milliseconds(600);
        core::Duration maxAnswerTimeout = std::chrono::milliseconds(1500);
    };

    explicit ObjectWatcher(Options watcherOptions)
        : options(std::move(watcherOptions))
    {
    }

    WatcherCall nextCall() const;

    // Handles the result of a list: all objects at `storeVersion`. Returns the changes to the known objects, including
    // removals of objects that are missing from the list.
    std::vector<core::Object> handleList(std::vector<core::Object> objects, std::uint64_t storeVersion, core::TimePoint now);

    // Handles the result of a watch: the changes up to `storeVersion`, in their order. Returns those that are new.
    std::vector<core::Object> handleChanges(std::vector<core::Object> changes, std::uint64_t storeVersion, core::TimePoint now);

    // Records that the store no longer holds the changes since the requested version. A list is due at once.
    void recordHistoryGone(core::TimePoint now);

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
    std::vector<IgnoredState> takeIgnored() { return std::exchange(this->ignored, {}); }

    // Whether a list has been read and the last call succeeded.
    bool isSynced() const { return this->failures == 0 && this->reachedVersion.has_value(); }
    // When the store last answered a call with its newest state; empty: never. Between two answers of watches, a change
    // that the store has not reported can exist.
    std::optional<core::TimePoint> confirmedAt() const { return this->lastConfirmation; }
    // The store's revision of the last change of the kind that was seen; 0: none.
    std::uint64_t lastChange() const { return this->lastChangedRevision; }
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
    void applyUpdate(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);
    void applyRemoval(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);

    Options options;
    std::optional<std::uint64_t> reachedVersion; // store version up to which all changes were seen
    std::map<std::string, core::ObjectVersion> knownVersions; // of existing objects, by name
    std::map<std::string, HeldRemoval> heldRemovals; // by object name
    std::vector<IgnoredState> ignored;
    std::optional<core::TimePoint> lastConfirmation;
    WatcherCallKind lastAnsweredCall = WatcherCallKind::List;
    std::uint64_t lastChangedRevision = 0;
    FleetKnowledge fleet;
    std::optional<core::TimePoint> behindSince; // since when another member knows a later change
    core::TimePoint lastAnswerAt {};
    bool isReplacing = false; // the next watch must not wait for changes
    unsigned failures = 0; // consecutive
    Consistency listConsistency = Consistency::Stale; // of the next list
    core::TimePoint nextCallTime {};
    core::TimePoint holdRemovalsUntil {}; // removals that are seen before this time are held until then
};

}
