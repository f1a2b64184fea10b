#include "request/crash.h"

#include <algorithm>

namespace cranberryshed::request {

CrashBook::CrashBook(CrashOptions crashOptions)
    : options(crashOptions)
{
}

Standing CrashBook::onCrash(core::Fingerprint fingerprint, bool isolated, core::TimePoint now)
{
    if (!this->entries.contains(fingerprint))
        this->makeRoom();
    Entry& entry = this->entries[fingerprint];
    const bool held = entry.standing == Standing::Quarantined && entry.until > now;
    if (isolated || held)
        entry = { .standing = Standing::Quarantined, .until = now + this->options.quarantine };
    else
        entry = { .standing = Standing::Suspect, .until = now + this->options.suspicion };
    return entry.standing;
}

bool CrashBook::onSuccess(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now)
{
    if (this->entries.empty() && table.suspects.empty())
        return false;
    const bool suspect = this->standing(fingerprint, table, now) == Standing::Suspect;
    if (suspect)
        this->entries.erase(fingerprint);
    return suspect;
}

Standing CrashBook::standing(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now) const
{
    const auto value = static_cast<std::uint64_t>(fingerprint);
    if (table.quarantined.contains(value))
        return Standing::Quarantined;
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        if (found->second.until > now)
            return found->second.standing;
        // A quarantine that control did not confirm leaves a suspect.
        if (found->second.standing == Standing::Quarantined && found->second.until + this->options.suspicion > now)
            return Standing::Suspect;
    }
    return table.suspects.contains(value) ? Standing::Suspect : Standing::Clear;
}

void CrashBook::forgetExpired(core::TimePoint now)
{
    std::erase_if(this->entries, [&](const auto& item) {
        const Entry& entry = item.second;
        return entry.until + (entry.standing == Standing::Quarantined ? this->options.suspicion : core::Duration {}) <= now;
    });
}

void CrashBook::makeRoom()
{
    if (this->entries.size() < this->options.limit)
        return;
    const auto oldest = std::ranges::min_element(this->entries, {}, [](const auto& item) { return item.second.until; });
    this->entries.erase(oldest);
}

}
