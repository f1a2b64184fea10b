#pragma once

#include "core/types.h"

#include <vector>

namespace cranberryshed::request {

// When requests were answered lately, by fingerprint. Holds a fixed number of them: a later one can displace another, which
// then counts as not answered.
class RecentAnswers {
public:
    void add(core::Fingerprint key, core::TimePoint now)
    {
        if (this->slots.empty())
            this->slots.resize(slotCount);
        this->slots[indexOf(key)] = { .key = key, .at = now };
    }

    bool contains(core::Fingerprint key, core::TimePoint since) const
    {
        if (this->slots.empty())
            return false;
        const Slot& slot = this->slots[indexOf(key)];
        return slot.key == key && slot.at >= since;
    }

private:
    static constexpr std::size_t slotCount = 4096; // 16 bytes each

    struct Slot {
        core::Fingerprint key {};
        core::TimePoint at {};
    };

    static std::size_t indexOf(core::Fingerprint key) { return static_cast<std::uint64_t>(key) % slotCount; }

    std::vector<Slot> slots; // empty until the first answer
};

}
