#include "core/object_order.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace core = cranberryshed::core;

using core::PositionStage;

namespace {

constexpr std::uint64_t startedAtMs = 1'796'606'580'990;
constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();

core::ObjectVersion versionAt(core::StorePosition position, PositionStage stage = PositionStage::Written)
{
    return { .revision = core::numberRevision(0), .version = core::packPosition(position, stage) };
}

}

// Guards against packed positions that compare otherwise than the era, then the revision, then the stage.
TEST_CASE("packed positions keep the order of their parts", "[object-order]")
{
    std::vector<std::uint64_t> packed;
    for (const std::uint64_t era : { std::uint64_t { 0 }, std::uint64_t { 1 }, std::uint64_t { 2 }, core::maxEra }) {
        for (const std::uint64_t revision : { std::uint64_t { 0 }, std::uint64_t { 1 }, std::uint64_t { 77 }, core::maxRevision }) {
            for (const PositionStage stage : { PositionStage::Written, PositionStage::Removed, PositionStage::HeldRemoved, PositionStage::Restored }) {
                packed.push_back(core::packPosition({ .era = era, .revision = revision }, stage));
                const core::ObjectVersion version { .revision = 9, .version = packed.back() };
                CHECK(core::positionOf(version) == core::StorePosition { .era = era, .revision = revision });
                CHECK(core::stageOf(version) == stage);
            }
        }
    }
    CHECK(std::ranges::is_sorted(packed));
    CHECK(std::ranges::adjacent_find(packed) == packed.end());
}

// Guards against a position whose parts run into one another.
TEST_CASE("eras and revisions that are too large count as the largest", "[object-order]")
{
    const core::StorePosition largest { .era = core::maxEra, .revision = core::maxRevision };
    CHECK(core::positionOf(versionAt({ .era = maxNumber, .revision = maxNumber })) == largest);
    CHECK(core::positionOf(versionAt({ .era = core::maxEra + 1, .revision = 3 })) == core::StorePosition { .era = core::maxEra, .revision = 3 });
    CHECK(core::positionOf(versionAt({ .era = 3, .revision = core::maxRevision + 1 })) == core::StorePosition { .era = 3, .revision = core::maxRevision });
}

// Guards against a backend server that is used after it has left, or not used after it has started again.
TEST_CASE("the states of a lifecycle are below its removal, and all of them below the next start", "[object-order]")
{
    const auto removal = [](std::uint64_t revision) { return core::removalRevision(revision, core::WriterOrder::Lifecycle); };
    const std::uint64_t first = core::lifecycleRevision(startedAtMs, 1);
    const std::uint64_t last = core::lifecycleRevision(startedAtMs, 900);
    const std::uint64_t endless = core::lifecycleRevision(startedAtMs, maxNumber);
    const std::uint64_t restarted = core::lifecycleRevision(startedAtMs + 16, 0);
    CHECK(first < last);
    CHECK(last < removal(last));
    CHECK(removal(first) < last); // an entry can expire and be written again
    CHECK(removal(last) < core::lifecycleRevision(startedAtMs, 901));
    CHECK(endless < removal(endless));
    CHECK(removal(endless) < restarted);
    CHECK(removal(removal(last)) == removal(last));
}

// Guards against an order that turns around when a counter has reached its end.
TEST_CASE("starts and sequences that are too large count as the largest", "[object-order]")
{
    const std::uint64_t endless = core::lifecycleRevision(startedAtMs, maxNumber);
    CHECK(endless == core::lifecycleRevision(startedAtMs, maxNumber - 1));
    CHECK(endless > core::lifecycleRevision(startedAtMs, 1));
    CHECK(core::lifecycleRevision(maxNumber, 5) > core::lifecycleRevision(startedAtMs, 5));
    CHECK(core::lifecycleRevision(maxNumber, 5) < core::lifecycleRevision(maxNumber, 6));
    CHECK(core::removalRevision(core::lifecycleRevision(maxNumber, maxNumber), core::WriterOrder::Lifecycle) == maxNumber);
    CHECK(core::numberRevision(maxNumber) == maxNumber);
}

// Guards against a state that the store reports last and that is still taken for older than the known one.
TEST_CASE("a state after a removal succeeds it", "[object-order]")
{
    const std::uint64_t state = core::lifecycleRevision(startedAtMs, 7);
    const std::uint64_t removed = core::removalRevision(state, core::WriterOrder::Lifecycle);
    CHECK(core::succeedingRevision(state, core::WriterOrder::Lifecycle) == state);
    CHECK(core::succeedingRevision(removed, core::WriterOrder::Lifecycle) > removed);
    CHECK(core::succeedingRevision(removed, core::WriterOrder::Lifecycle) == core::lifecycleRevision(startedAtMs, 8));
}

// Guards against a configuration that goes back to one with a lower number.
TEST_CASE("numbers order configurations, and removals leave them as they are", "[object-order]")
{
    CHECK(core::numberRevision(0) < core::numberRevision(1));
    CHECK(core::numberRevision(41) < core::numberRevision(42));
    for (const core::WriterOrder order : { core::WriterOrder::Number, core::WriterOrder::None }) {
        CHECK(core::removalRevision(core::numberRevision(42), order) == core::numberRevision(42));
        CHECK(core::succeedingRevision(core::numberRevision(42), order) == core::numberRevision(42));
    }
}

// Guards against a fleet of two builds in which a state that an earlier build took from the store wins over newer ones.
// The earlier build puts the store's revision first, and 1 after it for a removal.
TEST_CASE("all versions are above those of earlier builds", "[object-order]")
{
    const core::ObjectVersion earlier { .revision = core::maxRevision, .version = 1 };
    CHECK(earlier < versionAt({}));
    CHECK(earlier < core::ObjectVersion { .revision = core::numberRevision(0), .version = 0 });
    CHECK(earlier < core::ObjectVersion { .revision = core::lifecycleRevision(0, 0), .version = 0 });
}
