#include "store/era_tracker.h"

#include "core/object_order.h"

#include <algorithm>
#include <charconv>
#include <utility>

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
    const std::optional<std::uint64_t> statedBefore = std::exchange(this->laterEra, std::nullopt);
    if (this->era && *stated < *this->era)
        return this->readEarlier(*stated, now);
    this->earlierSince.reset();
    if (this->era && *stated > *this->era)
        return this->readLater(*stated, statedBefore);
    this->era = stated;
    return { .era = *stated, .verdict = EraVerdict::Current };
}

EraReading EraTracker::readEarlier(std::uint64_t stated, core::TimePoint now)
{
    this->earlierSince = this->earlierSince.value_or(now);
    if (now - *this->earlierSince >= maxEarlierTime)
        return { .era = *this->era, .verdict = EraVerdict::Unreadable };
    return { .era = stated, .verdict = EraVerdict::Earlier };
}

// `statedBefore`: by the answer before, if that was a later era, too.
EraReading EraTracker::readLater(std::uint64_t stated, std::optional<std::uint64_t> statedBefore)
{
    if (statedBefore)
        this->era = std::min(stated, *statedBefore);
    if (stated == *this->era)
        return { .era = stated, .verdict = EraVerdict::Advanced };
    this->laterEra = stated;
    return { .era = stated, .verdict = EraVerdict::Unconfirmed };
}

}
