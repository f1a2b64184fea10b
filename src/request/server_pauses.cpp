#include "request/server_pauses.h"

#include <algorithm>

namespace cranberryshed::request {

void ServerPauses::pause(std::uint64_t serverKey, core::Duration duration, core::TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    Entry& entry = this->entries[serverKey];
    entry.until = std::max(entry.until, now + std::min(duration, this->options.maxPause));
    entry.limit = this->options.initialLimit;
    entry.inFlight = 0;
    this->updateIsEmpty();
}

ServerPauses::Remaining ServerPauses::remaining(core::TimePoint now) const
{
    Remaining result;
    if (this->isEmpty.load(std::memory_order_acquire))
        return result;
    const std::scoped_lock lock(this->mutex);
    for (const auto& [serverKey, entry] : this->entries) {
        if (now < entry.until)
            result.emplace(serverKey, entry.until - now);
        else if (entry.inFlight >= entry.limit)
            result.emplace(serverKey, core::Duration::zero());
    }
    return result;
}

void ServerPauses::recordSent(std::uint64_t serverKey, core::TimePoint now)
{
    if (this->isEmpty.load(std::memory_order_acquire))
        return;
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(serverKey);
    if (found != this->entries.end() && now >= found->second.until)
        ++found->second.inFlight;
}

// Ignores requests that were sent before the pause ended: they were not counted.
void ServerPauses::recordEnd(std::uint64_t serverKey, core::TimePoint sentAt, core::AttemptResult result)
{
    if (this->isEmpty.load(std::memory_order_acquire))
        return;
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(serverKey);
    if (found == this->entries.end() || sentAt < found->second.until)
        return;
    Entry& entry = found->second;
    --entry.inFlight;
    if (result != core::AttemptResult::Answered)
        return;
    ++entry.limit;
    if (entry.limit > this->options.finalLimit)
        this->entries.erase(found);
    this->updateIsEmpty();
}

void ServerPauses::forgetExpired(core::TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->entries, [&](const auto& item) { return item.second.inFlight == 0 && now - item.second.until > this->options.retention; });
    this->updateIsEmpty();
}

}
