#pragma once

#include "core/object_order.h"
#include "core/types.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberryshed::store {

// How the store reported a state of an object.
enum class ReportKind : std::uint8_t {
    Change, // by a watch: it was made after all that earlier answers reported
    Listed, // by a list: it can also be an old state that came back with a copy of the store
};

// How a reported state compares with the known one.
enum class StateVerdict : std::uint8_t {
    Newer, // it is known from then on
    Same, // the known state, reported once more
    Older,
};

// A state of an object that the store reported although a newer one is known.
struct IgnoredState {
    std::string name;
    core::ObjectVersion reported;
    core::ObjectVersion known;
};

// The newest known versions of the objects of one kind, also of removed ones, which can come back with a copy of the
// store. Decides which reported state is newer and gives it its version.
class KnownObjects {
public:
    explicit KnownObjects(core::WriterOrder order)
        : writerOrder(order)
    {
    }

    // Compares the state with the known one and gives it its version.
    StateVerdict acceptState(core::Object&, ReportKind);

    // Whether a listed state can have come back with the copy of an earlier era in which it was removed later, and its
    // writer states no order that would show it.
    bool canBeFromCopy(const core::Object&) const;
    // Turns such a state into a removal that is newer than it.
    void holdRemoved(core::Object&, core::TimePoint now);

    // Gives the removal its version. Returns whether it is newer than the known state.
    bool isNewerRemoval(core::Object& removal, ReportKind);
    // Returns whether the removal is newer than the known state. If so, it is known from then on.
    bool acceptRemoval(const core::Object& removal, core::TimePoint now);

    // Takes over a state that the watcher didn't report, if it is newer. Returns whether it differs from the known state by
    // more than its version.
    bool learn(const core::Object&, core::TimePoint now);

    // Whether the known state of the object is of an earlier era.
    bool isOfEarlierEra(const std::string& name, std::uint64_t era) const;

    // The names of the objects that exist.
    std::set<std::string> existingNames() const;

    // Returns the states that were turned down since the last call of this function.
    std::vector<IgnoredState> takeIgnored() { return std::exchange(this->ignored, {}); }

private:
    struct Known {
        core::ObjectVersion version;
        std::uint64_t contentHash = 0;
        bool isRemoved = false;
        core::TimePoint removedAt {};
        std::uint64_t lastRevision = 0; // of a removed object: the store's revision of its last state
    };

    bool isInCopy(const core::Object&, const Known&) const;

    static std::uint64_t lastStoreRevision(const Known&);
    void ignore(const core::Object&, const Known&);
    void forgetOldRemovals(core::TimePoint now);

    core::WriterOrder writerOrder;
    std::map<std::string, Known> objects; // by name
    std::vector<IgnoredState> ignored;
};

}
