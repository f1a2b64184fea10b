#include "store/era_tracker.h"

#include "core/object_order.h"

#include <charconv>

namespace cranberryshed::store {

using namespace std::chrono_literals;

namespace {

    constexpr std::uint64_t maxAdvance = 1000; // of a client that was cut off from the store for long
    constexpr core::Duration maxEarlierTime = 3s;

    std::optional<std::uint64_t> parseEra(std::string_view text)
    {
        std::uint64_t era = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
        if (error != std::errc() || end != text.data() + text.size() || era > core::maxEra)
            return std::nullopt;
        return era;
    }

}

EraReading EraTracker::read(std::optional<std::string_view> statedEra, core::TimePoint now)
{
    if (!statedEra)
        return { .era = this->current(), .verdict = EraVerdict::Current };
    const std::optional<std::uint64_t> stated = parseEra(*statedEra);
    if (!stated || (this->era && *stated > *this->era + maxAdvance))
        return { .era = this->current(), .verdict = EraVerdict::Unreadable };
    if (this->era && *stated < *this->era) {
        this->earlierSince = this->earlierSince.value_or(now);
        const bool isMistaken = now - *this->earlierSince >= maxEarlierTime;
        return { .era = isMistaken ? *this->era : *stated, .verdict = isMistaken ? EraVerdict::Unreadable : EraVerdict::Earlier };
    }
    this->earlierSince.reset();
    const bool hasAdvanced = this->era && *stated > *this->era;
    this->era = stated;
    return { .era = *stated, .verdict = hasAdvanced ? EraVerdict::Advanced : EraVerdict::Current };
}

}
