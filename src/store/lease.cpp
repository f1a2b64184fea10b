#include "store/lease.h"

#include <charconv>

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
    // A holder whose lease has expired reads the object first, since another process may have held the lease meanwhile.
    if (this->heldUntil)
        return this->isHeld(now) ? LeaseStep::Write : LeaseStep::Read;
    bool isExpired = this->lastVersion == 0 || now - this->versionFirstSeen >= this->observedDuration;
    return isExpired ? LeaseStep::Write : LeaseStep::Read;
}

void Lease::recordRead(const StoredObject& object, core::TimePoint now)
{
    std::uint64_t version = object.object.deleted ? 0 : object.object.version.version;
    if (!this->isHeld(now))
        this->heldUntil.reset();
    if (!this->isVersionKnown || version != this->lastVersion) {
        this->heldUntil.reset();
        this->versionFirstSeen = now;
    }
    this->isVersionKnown = true;
    this->lastVersion = version;
    this->observedDuration = readDuration(object.object.content, this->options.duration);
    bool isFree = version == 0 || now - this->versionFirstSeen >= this->observedDuration;
    this->nextStepAt = isFree ? now : std::min(now + this->options.renewInterval, this->versionFirstSeen + this->observedDuration);
}

void Lease::recordWrite(const WriteResult& result, core::TimePoint sentAt, core::TimePoint now)
{
    if (!result.written) {
        this->heldUntil.reset();
        this->isVersionKnown = false;
        this->recordRead(result.current, now);
        return;
    }
    if (!this->isHeld(now))
        ++this->termCount;
    this->isVersionKnown = true;
    this->lastVersion = result.current.object.version.version;
    this->versionFirstSeen = now;
    this->observedDuration = this->options.duration;
    this->heldUntil = sentAt + this->options.duration;
    this->nextStepAt = sentAt + this->options.renewInterval;
}

void Lease::recordFailure(core::TimePoint now)
{
    // The lease stays held until it expires, but a write whose outcome is unknown may have changed its version.
    this->nextStepAt = now + retryDelay;
    if (!this->isHeld(now))
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
