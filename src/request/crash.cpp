#include "request/crash.h"

#include <algorithm>

namespace cranberryshed::request {

CrashBook::CrashBook(CrashOptions crashOptions)
    : options(crashOptions)
{
}

Standing CrashBook::onCrash(core::Fingerprint fingerprint, bool isolatedRun, core::TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    const bool held = this->ownStanding(fingerprint, now) == Standing::Quarantined;
    if (!this->entries.contains(fingerprint))
        this->makeRoom();
    Entry& entry = this->entries[fingerprint];
    if (isolatedRun)
        entry = { .standing = Standing::Quarantined, .until = now + this->options.quarantine };
    else if (!held)
        entry = { .standing = Standing::Suspect, .until = now + this->options.suspicion };
    this->empty = false;
    return entry.standing;
}

bool CrashBook::onSuccess(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now)
{
    if (this->standing(fingerprint, table, now) != Standing::Suspect)
        return false;
    const std::lock_guard lock(this->mutex);
    this->entries.erase(fingerprint);
    this->empty = this->entries.empty();
    return true;
}

Standing CrashBook::standing(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now) const
{
    const auto value = static_cast<std::uint64_t>(fingerprint);
    if (!table.quarantined.empty() && table.quarantined.contains(value))
        return Standing::Quarantined;
    const bool known = !table.suspects.empty() && table.suspects.contains(value);
    if (this->empty)
        return known ? Standing::Suspect : Standing::Clear;
    const std::lock_guard lock(this->mutex);
    return std::max(this->ownStanding(fingerprint, now), known ? Standing::Suspect : Standing::Clear);
}

// A quarantine that control did not confirm in time leaves a suspect.
Standing CrashBook::ownStanding(core::Fingerprint fingerprint, core::TimePoint now) const
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end())
        return Standing::Clear;
    const Entry& entry = found->second;
    if (entry.until > now)
        return entry.standing;
    const bool unconfirmed = entry.standing == Standing::Quarantined && entry.until + this->options.suspicion > now;
    return unconfirmed ? Standing::Suspect : Standing::Clear;
}

bool CrashBook::beginIsolation(core::Fingerprint fingerprint)
{
    const std::lock_guard lock(this->mutex);
    return this->isolated.insert(fingerprint).second;
}

void CrashBook::endIsolation(core::Fingerprint fingerprint)
{
    const std::lock_guard lock(this->mutex);
    this->isolated.erase(fingerprint);
}

void CrashBook::forgetExpired(core::TimePoint now)
{
    if (this->empty)
        return;
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&](const auto& item) { return this->ownStanding(item.first, now) == Standing::Clear; });
    this->empty = this->entries.empty();
}

void CrashBook::makeRoom()
{
    if (this->entries.size() < this->options.limit)
        return;
    const auto oldest = std::ranges::min_element(this->entries, {}, [](const auto& item) { return item.second.until; });
    this->entries.erase(oldest);
}

}
