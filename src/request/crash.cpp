#include "request/crash.h"

#include <algorithm>

namespace cranberryshed::request {

CrashRegistry::CrashRegistry(CrashOptions crashOptions)
    : options(crashOptions)
{
}

Suspicion CrashRegistry::onCrash(core::Fingerprint fingerprint, bool isolatedRun, core::TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    const bool held = this->localSuspicion(fingerprint, now) == Suspicion::Quarantined;
    if (!this->entries.contains(fingerprint))
        this->evictFirstToExpire();
    Entry& entry = this->entries[fingerprint];
    if (isolatedRun)
        entry = { .level = Suspicion::Quarantined, .until = now + this->options.quarantineTime };
    else if (!held)
        entry = { .level = Suspicion::Suspect, .until = now + this->options.suspectTime };
    this->empty = false;
    return entry.level;
}

bool CrashRegistry::onSuccess(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now)
{
    if (this->suspicion(fingerprint, table, now) != Suspicion::Suspect)
        return false;
    const std::lock_guard lock(this->mutex);
    this->entries.erase(fingerprint);
    this->empty = this->entries.empty();
    return true;
}

Suspicion CrashRegistry::suspicion(core::Fingerprint fingerprint, const core::SteeringTable& table, core::TimePoint now) const
{
    const auto value = static_cast<std::uint64_t>(fingerprint);
    if (!table.quarantinedFingerprints.empty() && table.quarantinedFingerprints.contains(value))
        return Suspicion::Quarantined;
    const bool known = !table.suspectFingerprints.empty() && table.suspectFingerprints.contains(value);
    if (this->empty)
        return known ? Suspicion::Suspect : Suspicion::Clear;
    const std::lock_guard lock(this->mutex);
    return std::max(this->localSuspicion(fingerprint, now), known ? Suspicion::Suspect : Suspicion::Clear);
}

// A quarantined fingerprint that control has not confirmed in time becomes a suspect again.
Suspicion CrashRegistry::localSuspicion(core::Fingerprint fingerprint, core::TimePoint now) const
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end())
        return Suspicion::Clear;
    const Entry& entry = found->second;
    if (entry.until > now)
        return entry.level;
    const bool unconfirmed = entry.level == Suspicion::Quarantined && entry.until + this->options.suspectTime > now;
    return unconfirmed ? Suspicion::Suspect : Suspicion::Clear;
}

bool CrashRegistry::beginIsolation(core::Fingerprint fingerprint)
{
    const std::lock_guard lock(this->mutex);
    return this->isolated.insert(fingerprint).second;
}

void CrashRegistry::endIsolation(core::Fingerprint fingerprint)
{
    const std::lock_guard lock(this->mutex);
    this->isolated.erase(fingerprint);
}

void CrashRegistry::forgetExpired(core::TimePoint now)
{
    if (this->empty)
        return;
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&](const auto& item) { return this->localSuspicion(item.first, now) == Suspicion::Clear; });
    this->empty = this->entries.empty();
}

void CrashRegistry::evictFirstToExpire()
{
    if (this->entries.size() < this->options.maxSuspects)
        return;
    const auto firstToExpire = std::ranges::min_element(this->entries, {}, [](const auto& item) { return item.second.until; });
    this->entries.erase(firstToExpire);
}

}
