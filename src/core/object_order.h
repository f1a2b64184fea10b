#pragma once

#include "core/object.h"

#include <algorithm>
#include <compare>
#include <cstdint>

// How the versions of the objects are ordered that operators and backend servers write to the platform's store.
//
// The store can come back from an older copy of itself. It then begins a new era and assigns the revisions after the copy
// a second time, so its revisions order the states of an object within one era only. What the writer of an object states
// about the order of its states holds in all eras. ObjectVersion::revision holds that, and ObjectVersion::version the
// position in the store. Both are set where an object is read from the store; everything else compares ObjectVersions.
namespace cranberryshed::core {

// A place in the order of the store's changes.
struct StorePosition {
    std::uint64_t era = 0; // how often the store has come back from a copy; 0 if it doesn't state it
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition&) const = default;
};

// Orders the states of one object that have the same position.
enum class PositionStage : std::uint8_t {
    Written, // the state that the store reports
    Removed, // its removal, which the store can report with the position of the state that it ends
    HeldRemoved, // a removal of an earlier era that entry VMs hold against a state that came back with a copy
    Restored, // that state, after the removal is no longer held
};

inline constexpr unsigned stageBits = 2;
inline constexpr unsigned revisionBits = 48;
inline constexpr std::uint64_t maxRevision = (std::uint64_t { 1 } << revisionBits) - 1;
inline constexpr std::uint64_t maxEra = (std::uint64_t { 1 } << (64 - revisionBits - stageBits)) - 1;

// The position as ObjectVersion::version. Compares like the position, then like the stage.
constexpr std::uint64_t packPosition(const StorePosition& position, PositionStage stage = PositionStage::Written)
{
    const std::uint64_t era = std::min(position.era, maxEra);
    const std::uint64_t revision = std::min(position.revision, maxRevision);
    return (era << (revisionBits + stageBits)) | (revision << stageBits) | static_cast<std::uint64_t>(stage);
}

constexpr StorePosition positionOf(const ObjectVersion& version)
{
    return { .era = version.version >> (revisionBits + stageBits), .revision = (version.version >> stageBits) & maxRevision };
}

constexpr PositionStage stageOf(const ObjectVersion& version)
{
    return static_cast<PositionStage>(version.version & ((1U << stageBits) - 1));
}

// What the writer of a kind of objects states about the order of their states.
enum class WriterOrder : std::uint8_t {
    None, // nothing: the position in the store decides
    Number, // a number that only rises; a state with a lower one is never newer
    Lifecycle, // when the writer started, and a sequence that it counts from then on; its removal ends its lifecycle
};

// Entry VMs of an earlier build order these objects by the store's revision alone. The mark puts all versions above
// theirs, so that a fleet of both builds agrees.
inline constexpr std::uint64_t writerOrderMark = std::uint64_t { 1 } << 63;

// ObjectVersion::revision of an object whose writer numbers its states.
constexpr std::uint64_t numberRevision(std::uint64_t number)
{
    return writerOrderMark | std::min(number, writerOrderMark - 1);
}

inline constexpr unsigned removalBits = 1;
inline constexpr unsigned sequenceBits = 24; // 291 days at one state in 1.5 s; after that the position decides
inline constexpr unsigned startUnitBits = 4; // starts are told apart in units of 16 ms

// ObjectVersion::revision of an object with WriterOrder::Lifecycle. `startedAtMs`: Unix time.
constexpr std::uint64_t lifecycleRevision(std::uint64_t startedAtMs, std::uint64_t sequence)
{
    constexpr std::uint64_t maxSequence = (std::uint64_t { 1 } << sequenceBits) - 1;
    constexpr std::uint64_t maxStart = (std::uint64_t { 1 } << (63 - sequenceBits - removalBits)) - 1;
    const std::uint64_t start = std::min(startedAtMs >> startUnitBits, maxStart);
    return writerOrderMark | (start << (sequenceBits + removalBits)) | (std::min(sequence, maxSequence) << removalBits);
}

// The revision of the removal of an object. The end of a lifecycle is newer than its states, whatever the era: a copy
// can't bring the writer back.
constexpr std::uint64_t removalRevision(std::uint64_t lastRevision, WriterOrder order)
{
    return order == WriterOrder::Lifecycle ? lastRevision | 1U : lastRevision;
}

// The revision of a state that the store reports after the state with `knownRevision`, although its writer states an
// older order or none: a writer that doesn't count, or another writer.
constexpr std::uint64_t succeedingRevision(std::uint64_t knownRevision, WriterOrder order)
{
    const bool isEnded = order == WriterOrder::Lifecycle && (knownRevision & 1U) != 0;
    return isEnded ? knownRevision + 1 : knownRevision;
}

}
