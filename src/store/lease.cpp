#include "store/lease.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cranberryshed::store {

namespace {

    // The client has retried a failed call already, so it is not repeated at once.
    constexpr core::Duration retryDelay = std::chrono::seconds(1);

    constexpr std::string_view durationKey = "\"durationMs\":";

    // Reads the duration from the content of a lease object. Decision code does not include the JSON library, so this
    // searches for the key as Lease::content writes it. Returns `defaultDuration` for any other content.
    core::Duration readDuration(const std::string& content, core::Duration defaultDuration)
    {
        std::size_t position = content.find(durationKey);
        if (position == std::string::npos)
            return defaultDuration;
        std::uint32_t milliseconds = 0;
        const char* start = content.data() + position + durationKey.size();
        auto [end, error] = std::from_chars(start, content.data() + content.size(), milliseconds);
        return error == std::errc() && milliseconds > 0 ? core::Duration(std::chrono::milliseconds(milliseconds)) : defaultDuration;
    }

}

LeaseStep Lease::nextStep(core::TimePoint now) const
{
    if (now < this->nextStepAt)
        return LeaseStep::Wait;
    if (!this->isVersionKnown)
        return LeaseStep::Read;
    // A process whose claim has expired reads the object first, since another one may have held the lease meanwhile.
    const bool canWrite = this->claimedUntil ? this->isClaimed(now) : this->isFree(now);
    return canWrite ? LeaseStep::Write : LeaseStep::Read;
}

bool Lease::isFree(core::TimePoint now) const
{
    return this->lastVersion == 0 || now - this->firstSeen >= this->observedDuration / 2;
}

void Lease::dropClaim()
{
    this->claimedUntil.reset();
    this->isConfirmed = false;
}

void Lease::recordEra(std::uint64_t currentEra)
{
    if (std::exchange(this->era, currentEra) == currentEra)
        return;
    this->dropClaim();
    this->isVersionKnown = false;
}

void Lease::recordRead(const StoredObject& object, core::TimePoint now)
{
    const std::uint64_t version = object.object.deleted ? 0 : object.object.version.version;
    const bool isUnchanged = this->isVersionKnown && version == this->lastVersion && object.writeId == this->lastWriteId;
    if (!isUnchanged || !this->isClaimed(now))
        this->dropClaim();
    if (!isUnchanged)
        this->firstSeen = now;
    this->isVersionKnown = true;
    this->lastVersion = version;
    this->lastWriteId = object.writeId;
    this->observedDuration = readDuration(object.object.content, this->options.duration);
    this->nextStepAt = this->isFree(now) ? now : std::min(now + this->options.readInterval, this->firstSeen + this->observedDuration / 2);
}

void Lease::recordWrite(const WriteResult& result, core::TimePoint sentAt, core::TimePoint now)
{
    if (!result.written) {
        this->isVersionKnown = false;
        this->recordRead(result.current, now);
        return;
    }
    if (!this->isClaimed(now)) {
        this->isConfirmed = false;
        this->confirmAt = now + std::max(this->options.duration, this->observedDuration) / 2;
    } else if (!this->isConfirmed && sentAt >= this->confirmAt) {
        this->isConfirmed = true;
        ++this->termCount;
    }
    this->isVersionKnown = true;
    this->lastVersion = result.current.object.version.version;
    this->lastWriteId = result.current.writeId;
    this->firstSeen = now;
    this->observedDuration = this->options.duration;
    this->claimedUntil = sentAt + this->options.duration / 2;
    this->nextStepAt = sentAt + this->options.renewInterval;
    if (!this->isConfirmed)
        this->nextStepAt = std::min(this->nextStepAt, this->confirmAt);
}

void Lease::recordFailure(core::TimePoint now)
{
    // The claim stands until it expires, but a write whose outcome is unknown may have changed the version.
    this->nextStepAt = now + retryDelay;
    if (!this->isClaimed(now))
        this->isVersionKnown = false;
}

std::string Lease::content() const
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->options.duration).count();
    return R"({"holder":")" + this->options.holder + R"(",)" + std::string(durationKey) + std::to_string(milliseconds) + '}';
}

std::optional<std::uint64_t> FencedWrites::ifVersion(std::uint64_t term) const
{
    return this->readTerm == term ? std::optional(this->version) : std::nullopt;
}

void FencedWrites::recordRead(std::uint64_t term, std::uint64_t objectVersion)
{
    this->readTerm = term;
    this->version = objectVersion;
}

void FencedWrites::recordWrite(std::uint64_t term, const WriteResult& result)
{
    if (result.written)
        this->recordRead(term, result.current.object.version.version);
    else
        this->readTerm.reset();
}

}
