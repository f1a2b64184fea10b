#pragma once

#include "core/names.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cranberryshed::store {

// What the era that an answer of the store states means for the answer.
enum class EraVerdict : std::uint8_t {
    Current, // the present era, or none is stated
    Advanced, // the store has come back from an older copy since the last answer
    Unconfirmed, // a later era that no second answer has stated; the answer can't be used
    Earlier, // the answer was made before the store came back, so it says nothing about the present state
    Unreadable, // not a number, or implausibly far ahead; the answer counts as one without an era
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::store::EraVerdict> {
    static constexpr std::array<std::string_view, 5> values = { "current", "advanced", "unconfirmed", "earlier", "unreadable" };
};

namespace cranberryshed::store {

struct EraReading {
    std::uint64_t era = 0; // to which the answer belongs
    EraVerdict verdict = EraVerdict::Current;
};

// Keeps the store's era by the answers of one client.
//
// The era rises by one each time the store comes back from a copy. Two answers in a row must state a later era: objects
// get it, and those of an era that is too high would beat all later ones in the whole fleet. An answer of an earlier era
// can arrive late, over a connection of its own. If all answers state an earlier one for `maxEarlierTime`, the present era
// was stated by mistake: the answers then count as ones without an era, so that this process doesn't stay without news.
class EraTracker {
public:
    EraReading read(std::optional<std::string_view> statedEra, core::TimePoint now);

    // 0 until an answer states an era.
    std::uint64_t current() const { return this->era.value_or(0); }

private:
    EraReading readEarlier(std::uint64_t stated, core::TimePoint now);
    EraReading readLater(std::uint64_t stated, std::optional<std::uint64_t> statedBefore);

    std::optional<std::uint64_t> era;
    std::optional<std::uint64_t> laterEra; // than the present one, which the last answer stated
    std::optional<core::TimePoint> earlierSince; // since when the answers that state an era state an earlier one
};

}
