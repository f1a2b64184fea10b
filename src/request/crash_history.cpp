#include "request/crash_history.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::request {

CrashKeys crashKeysOf(core::Fingerprint content, core::CallerAddress caller)
{
    return { content, core::Fingerprint { core::hashCombine(static_cast<std::uint64_t>(content), static_cast<std::uint64_t>(caller)) } };
}

void CrashHistory::recordBroken(const BrokenAttempt& attempt)
{
    const std::scoped_lock lock(this->mutex);
    for (std::size_t i = 0; i < attempt.keys.size(); ++i)
        this->pending.push_back({ .key = attempt.keys[i], .earlierCrashes = attempt.earlierCrashes[i], .serverKey = attempt.serverKey, .serverName = attempt.serverName, .sentAt = attempt.sentAt, .brokenAt = attempt.brokenAt });
    if (this->pending.size() > this->options.maxEntries)
        this->pending.erase(this->pending.begin(), this->pending.end() - static_cast<std::ptrdiff_t>(this->options.maxEntries));
    this->updateSizes();
}

void CrashHistory::recordServerEnd(std::uint64_t serverKey, core::TimePoint now)
{
    if (this->hasPending())
        this->confirm([&](const Pending& attempt) { return attempt.serverKey == serverKey; }, now);
}

void CrashHistory::recordListedServers(const std::unordered_set<std::uint64_t>& listed, core::TimePoint now)
{
    this->confirm([&](const Pending& attempt) { return !listed.contains(attempt.serverKey); }, now);
}

// Counts the pending attempts whose server has ended.
template <typename Predicate>
void CrashHistory::confirm(const Predicate& hasEnded, core::TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    const auto confirmed = std::ranges::stable_partition(this->pending, std::not_fn(hasEnded));
    for (Pending& attempt : confirmed)
        this->addCrash(std::move(attempt), now);
    this->pending.erase(confirmed.begin(), confirmed.end());
    this->updateSizes();
}

void CrashHistory::addCrash(Pending crash, core::TimePoint now)
{
    if (this->entries.size() >= this->options.maxEntries && !this->entries.contains(crash.key))
        this->entries.erase(std::ranges::min_element(this->entries, {}, [](const auto& item) { return item.second.lastAt; }));
    Entry& entry = this->entries[crash.key];
    entry.lastAt = std::max(entry.lastAt, crash.brokenAt);
    entry.crashes.push_back(std::move(crash));
    entry.count = longestSequence(entry.crashes);
    if (entry.count <= entry.reportedCount)
        return;
    entry.reportAt = entry.count == 1 ? now + this->options.firstReportDelay : now;
    entry.until = core::TimePoint::max();
}

// The largest number of crashes of which each was sent after the one before had broken.
unsigned CrashHistory::longestSequence(std::vector<Pending> crashes)
{
    std::ranges::sort(crashes, {}, &Pending::brokenAt);
    std::vector<unsigned> lengths;
    for (const Pending& crash : crashes) {
        unsigned earlier = crash.earlierCrashes;
        for (std::size_t i = 0; i < lengths.size(); ++i) {
            if (crashes[i].brokenAt <= crash.sentAt)
                earlier = std::max(earlier, lengths[i]);
        }
        lengths.push_back(earlier + 1);
    }
    return std::ranges::max(lengths);
}

void CrashHistory::recordReply(std::uint64_t serverKey, core::TimePoint sentAt)
{
    if (!this->hasPending())
        return;
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->pending, [&](const Pending& attempt) { return attempt.serverKey == serverKey && sentAt > attempt.brokenAt; });
    this->updateSizes();
}

std::vector<core::Fingerprint> CrashHistory::recordAnswer(const CrashKeys& keys, const core::SteeringTable& table)
{
    std::vector<core::Fingerprint> known;
    if (!this->hasPending() && this->isEmpty && table.crashRecords.empty())
        return known;
    const std::scoped_lock lock(this->mutex);
    for (const core::Fingerprint key : keys) {
        std::erase_if(this->pending, [&](const Pending& attempt) { return attempt.key == key; });
        this->probes.erase(key);
        const auto found = this->entries.find(key);
        const bool isReported = found != this->entries.end() && found->second.reportedCount > 0;
        if (found != this->entries.end())
            this->entries.erase(found);
        if (isReported || table.crashRecords.contains(static_cast<std::uint64_t>(key)))
            known.push_back(key);
    }
    this->updateSizes();
    return known;
}

std::vector<CountedCrash> CrashHistory::takeReports(core::TimePoint now)
{
    std::vector<CountedCrash> due;
    if (this->isEmpty)
        return due;
    const std::scoped_lock lock(this->mutex);
    for (auto& [key, entry] : this->entries) {
        if (!entry.reportAt || *entry.reportAt > now)
            continue;
        entry.reportAt.reset();
        entry.reportedCount = entry.count;
        entry.until = now + this->options.publicationTime;
        due.push_back({ .key = key, .count = entry.count, .serverName = entry.crashes.back().serverName });
    }
    return due;
}

// Requires the mutex. A crash that this process has not reported yet counts besides those in the table.
core::CrashRecord CrashHistory::recordOf(core::Fingerprint key, const core::SteeringTable& table) const
{
    const auto listed = table.crashRecords.find(static_cast<std::uint64_t>(key));
    core::CrashRecord record = listed == table.crashRecords.end() ? core::CrashRecord {} : listed->second;
    const auto own = this->entries.find(key);
    if (own != this->entries.end() && own->second.count >= record.count)
        record = { .count = own->second.count, .lastAt = std::max(record.lastAt, own->second.lastAt) };
    return record;
}

CrashCounts CrashHistory::counts(const CrashKeys& keys, const core::SteeringTable& table) const
{
    CrashCounts result {};
    if (this->isEmpty && table.crashRecords.empty())
        return result;
    const std::scoped_lock lock(this->mutex);
    for (std::size_t i = 0; i < keys.size(); ++i)
        result[i] = this->recordOf(keys[i], table).count;
    return result;
}

std::vector<KnownCrashes> CrashHistory::find(const CrashKeys& keys, const core::SteeringTable& table) const
{
    std::vector<KnownCrashes> result;
    if (this->isEmpty && table.crashRecords.empty())
        return result;
    const std::scoped_lock lock(this->mutex);
    for (const core::Fingerprint key : keys) {
        if (const core::CrashRecord record = this->recordOf(key, table); record.count > 0)
            result.push_back({ .key = key, .record = record });
    }
    return result;
}

// Probes of different requests are spread over half as much time again, so that one that crashes servers is rarely
// beside one that does not.
core::TimePoint CrashHistory::probeDueAt(const KnownCrashes& known, std::size_t rank) const
{
    constexpr std::uint64_t spreadSteps = 64;
    const std::size_t further = known.record.count - this->options.refusalLimit;
    const core::Duration delay = this->options.probeDelays[std::min(further, this->options.probeDelays.size() - 1)];
    const std::uint64_t step = core::hashCombine(static_cast<std::uint64_t>(known.key), known.record.count) % spreadSteps;
    return known.record.lastAt + delay + delay * step / (2 * spreadSteps) + rank * this->options.probeStagger;
}

bool CrashHistory::tryBeginProbe(core::Fingerprint key, core::TimePoint until, core::TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    core::TimePoint& underWayUntil = this->probes[key];
    if (underWayUntil > now)
        return false;
    underWayUntil = until;
    return true;
}

void CrashHistory::forgetExpired(core::TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->pending, [&](const Pending& attempt) { return attempt.brokenAt + this->options.evidenceTime <= now; });
    std::erase_if(this->entries, [&](const auto& item) { return item.second.until <= now; });
    std::erase_if(this->probes, [&](const auto& item) { return item.second <= now; });
    this->updateSizes();
}

void CrashHistory::updateSizes()
{
    this->pendingCount = this->pending.size();
    this->isEmpty = this->entries.empty();
}

}
