#include "store/known_objects.h"

#include "core/hash.h"

#include <utility>

namespace cranberryshed::store {

using namespace std::chrono_literals;

namespace {

    // Longer than a copy of the store can be old.
    constexpr core::Duration removalRetention = 1h;
    constexpr std::size_t maxIgnoredStates = 64; // between two calls of takeIgnored()

    bool isSamePosition(const core::ObjectVersion& left, const core::ObjectVersion& right)
    {
        return left.revision == right.revision && core::positionOf(left) == core::positionOf(right);
    }

}

// Whether the state is the known one as the copy holds it, in the era that began with the copy.
bool KnownObjects::isInCopy(const core::Object& object, const Known& known) const
{
    return !known.isRemoved && object.version.revision == known.version.revision && core::positionOf(object.version).revision == core::positionOf(known.version).revision
        && core::hashBytes(object.content) == known.contentHash;
}

StateVerdict KnownObjects::acceptState(core::Object& object, ReportKind report)
{
    const auto [found, added] = this->objects.try_emplace(object.name);
    Known& known = found->second;
    if (!added) {
        const core::StorePosition at = core::positionOf(object.version);
        const core::StorePosition knownAt = core::positionOf(known.version);
        const bool isLater = at > knownAt && (report == ReportKind::Change || at.era == knownAt.era);
        if (isLater && this->writerOrder == core::WriterOrder::Lifecycle)
            object.version.revision = std::max(object.version.revision, core::succeedingRevision(known.version.revision, this->writerOrder));
        const bool isRestored = core::stageOf(known.version) == core::PositionStage::HeldRemoved && isSamePosition(object.version, known.version);
        if (isRestored)
            object.version.version = core::packPosition(at, core::PositionStage::Restored);
        if (object.version == known.version || this->isInCopy(object, known))
            return StateVerdict::Same;
        if (object.version < known.version) {
            this->ignore(object, known);
            return StateVerdict::Older;
        }
    }
    known = { .version = object.version, .contentHash = core::hashBytes(object.content) };
    return StateVerdict::Newer;
}

bool KnownObjects::canBeFromCopy(const core::Object& object) const
{
    const auto found = this->objects.find(object.name);
    if (this->writerOrder != core::WriterOrder::None || found == this->objects.end() || !found->second.isRemoved)
        return false;
    const core::ObjectVersion& removal = found->second.version;
    const core::StorePosition at = core::positionOf(object.version);
    const core::StorePosition removedAt = core::positionOf(removal);
    const bool isFromCopy = removedAt.era < at.era && at.revision <= found->second.lastRevision;
    const bool isHeldAlready = core::stageOf(removal) == core::PositionStage::HeldRemoved && at == removedAt;
    return isFromCopy || isHeldAlready;
}

void KnownObjects::holdRemoved(core::Object& object, core::TimePoint now)
{
    object.deleted = true;
    object.content.clear();
    object.version.version = core::packPosition(core::positionOf(object.version), core::PositionStage::HeldRemoved);
    this->acceptRemoval(object, now);
}

bool KnownObjects::isNewerRemoval(core::Object& removal, ReportKind report)
{
    const auto found = this->objects.find(removal.name);
    const std::uint64_t lastRevision = found == this->objects.end() ? removal.version.revision : std::max(removal.version.revision, found->second.version.revision);
    removal.version.revision = core::removalRevision(lastRevision, this->writerOrder);
    core::StorePosition at = core::positionOf(removal.version);
    removal.version.version = core::packPosition(at, core::PositionStage::Removed);
    if (found == this->objects.end())
        return true;
    const Known& known = found->second;
    const core::StorePosition knownAt = core::positionOf(known.version);
    if (at < knownAt) {
        this->ignore(removal, known);
        return false;
    }
    // A watch can report a removal with the revision of the state that it ends. The removal itself has used up a later one,
    // so the next revision is none of a state of this object.
    if (report == ReportKind::Change && !known.isRemoved && removal.version <= known.version) {
        ++at.revision;
        removal.version.version = core::packPosition(at, core::PositionStage::Removed);
    }
    return removal.version > known.version;
}

bool KnownObjects::acceptRemoval(const core::Object& removal, core::TimePoint now)
{
    this->forgetOldRemovals(now);
    const auto [found, added] = this->objects.try_emplace(removal.name);
    if (!added && found->second.version >= removal.version)
        return false;
    const std::uint64_t lastRevision = added ? core::positionOf(removal.version).revision : lastStoreRevision(found->second);
    found->second = { .version = removal.version, .isRemoved = true, .removedAt = now, .lastRevision = lastRevision };
    return true;
}

bool KnownObjects::learn(const core::Object& object, core::TimePoint now)
{
    const auto found = this->objects.find(object.name);
    const Known before = found == this->objects.end() ? Known { .version = {}, .isRemoved = true } : found->second;
    if (before.version >= object.version)
        return false;
    if (object.deleted) {
        this->acceptRemoval(object, now);
        return !before.isRemoved || core::stageOf(object.version) == core::PositionStage::HeldRemoved;
    }
    const std::uint64_t contentHash = core::hashBytes(object.content);
    this->objects.insert_or_assign(object.name, Known { .version = object.version, .contentHash = contentHash });
    return before.isRemoved || before.contentHash != contentHash;
}

bool KnownObjects::isOfEarlierEra(const std::string& name, std::uint64_t era) const
{
    const auto found = this->objects.find(name);
    return found != this->objects.end() && core::positionOf(found->second.version).era < era;
}

// The store's revision of the object's last state. That of a removal that was learned alone is an upper bound.
std::uint64_t KnownObjects::lastStoreRevision(const Known& known)
{
    return known.isRemoved ? known.lastRevision : core::positionOf(known.version).revision;
}

std::set<std::string> KnownObjects::existingNames() const
{
    std::set<std::string> names;
    for (const auto& [name, known] : this->objects) {
        if (!known.isRemoved)
            names.insert(names.end(), name);
    }
    return names;
}

// Records a state that is older than the known one. One that is known already is no news either way.
void KnownObjects::ignore(const core::Object& object, const Known& known)
{
    if (!isSamePosition(object.version, known.version) && this->ignored.size() < maxIgnoredStates)
        this->ignored.push_back({ .name = object.name, .reported = object.version, .known = known.version });
}

void KnownObjects::forgetOldRemovals(core::TimePoint now)
{
    std::erase_if(this->objects, [&](const auto& entry) { return entry.second.isRemoved && now - entry.second.removedAt > removalRetention; });
}

}
