#pragma once

#include "core/object.h"
#include "core/types.h"
#include "store/object_api.h"

#include <map>
#include <optional>
#include <string>
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
};

// Keeps up to date with the objects of one kind: lists them first, then watches for changes, and lists them again when
// the store no longer holds the changes since the last call. Passes on only changes that are newer than what it knows.
// Does no I/O: the owner makes the calls and passes in their results.
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

    // Returns the removals whose hold time has passed, and forgets them. To be called at `nextReleaseTime()`.
    std::vector<core::Object> releaseHeldRemovals(core::TimePoint now);
    std::optional<core::TimePoint> nextReleaseTime() const;

    // Whether a list has been read and the last call succeeded.
    bool isSynced() const { return this->failures == 0 && this->reachedVersion.has_value(); }
    // When the store last answered a call with its newest state; empty: never. Between two answers of watches, a change
    // that the store has not reported can exist.
    std::optional<core::TimePoint> confirmedAt() const { return this->lastConfirmation; }
    // The kind of the last call that was answered.
    WatcherCallKind lastAnswered() const { return this->lastAnsweredCall; }
    const std::string& kind() const { return this->options.kind; }

private:
    struct HeldRemoval {
        core::Object object;
        core::TimePoint until {};
    };

    void recordSuccess(core::TimePoint now);
    void applyUpdate(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);
    void applyRemoval(core::Object, core::TimePoint now, std::vector<core::Object>& accepted);

    Options options;
    std::optional<std::uint64_t> reachedVersion; // store version up to which all changes were seen
    std::map<std::string, core::ObjectVersion> knownVersions; // of existing objects, by name
    std::map<std::string, HeldRemoval> heldRemovals; // by object name
    std::optional<core::TimePoint> lastConfirmation;
    WatcherCallKind lastAnsweredCall = WatcherCallKind::List;
    unsigned failures = 0; // consecutive
    Consistency listConsistency = Consistency::Stale; // of the next list
    core::TimePoint nextCallTime {};
    core::TimePoint holdRemovalsUntil {}; // removals that are seen before this time are held until then
};

}
