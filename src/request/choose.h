#pragma once

#include "core/table.h"

#include <concepts>
#include <optional>
#include <span>

namespace cranberryshed::request {

// Chooses a backend server for one attempt, or none if every candidate is full.
// The chooser takes the server's slot (SlotCount::tryAcquire) before it returns.
template <typename Candidate>
concept Chooser = requires(Candidate& chooser, const core::SteeringTable& table, core::ClassIndex classIndex,
    std::span<const core::ServerIndex> excluded, core::RandomEngine& random, core::TimePoint now)
{
    {
        chooser.choose(table, classIndex, excluded, random, now)
        } -> std::same_as<std::optional<core::ServerIndex>>;
};

// Tries the servers of the class in turn. The simplest chooser, kept for comparison.
class RoundRobin {
public:
    std::optional<core::ServerIndex> choose(const core::SteeringTable&, core::ClassIndex, std::span<const core::ServerIndex> excluded, core::RandomEngine&, core::TimePoint now);

private:
    std::size_t next = 0;
};

}
