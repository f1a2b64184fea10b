#include "store/lease.h"

#include <charconv>

namespace cranberryshed::store {

namespace {

    // A failed call is not repeated at once; the client has repeated it already.
    constexpr core::Duration retryAfter = std::chrono::seconds(1);

    constexpr std::string_view durationKey = "\"durationMs\":";

    // Reads the duration out of the lease's content without a JSON library, which decisions do not include. The
    // content was written by `Lease::content`; anything else counts as a lease of the own duration.
    core::Duration durationOf(const std::string& content, core::Duration otherwise)
    {
        std::size_t position = content.find(durationKey);
        if (position == std::string::npos)
            return otherwise;
        std::uint32_t milliseconds = 0;
        const char* start = content.data() + position + durationKey.size();
        auto [end, error] = std::from_chars(start, content.data() + content.size(), milliseconds);
        return error == std::errc() && milliseconds > 0 ? core::Duration(std::chrono::milliseconds(milliseconds)) : otherwise;
    }

}

LeaseStep Lease::nextStep(core::TimePoint now) const
{
    if (now < this->nextStepAt)
        return LeaseStep::Wait;
    if (!this->isVersionKnown)
        return LeaseStep::Read;
    // A lapsed holder does not renew on the version it remembers: it reads first, as others may have had the lease.
    if (this->heldUntil)
        return this->isHeld(now) ? LeaseStep::Write : LeaseStep::Read;
    bool expired = this->lastVersion == 0 || now - this->versionFirstSeen >= this->observedDuration;
    return expired ? LeaseStep::Write : LeaseStep::Read;
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
    this->observedDuration = durationOf(object.object.content, this->options.duration);
    bool free = version == 0 || now - this->versionFirstSeen >= this->observedDuration;
    this->nextStepAt = free ? now : std::min(now + this->options.renewInterval, this->versionFirstSeen + this->observedDuration);
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
    // The lease stays held until it lapses, but a write of unknown end may have changed its version.
    this->nextStepAt = now + retryAfter;
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
