#include "request/keys.h"

#include <array>
#include <charconv>

namespace cranberryshed::request {

namespace {

    constexpr std::size_t fieldCount = 5;
    constexpr int hexBase = 16;

    void appendHex(std::string& text, std::uint64_t value)
    {
        std::array<char, hexBase> digits {};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
        text.append(digits.data(), end);
    }

    // Accepts only the output of appendHex, so that each key has exactly one text.
    std::optional<std::uint64_t> parseHex(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
        if (text.empty() || error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        std::string written;
        appendHex(written, value);
        return written == text ? std::optional(value) : std::nullopt;
    }

    std::optional<std::array<std::uint64_t, fieldCount>> parseFields(std::string_view text)
    {
        std::array<std::uint64_t, fieldCount> fields {};
        for (std::size_t i = 0; i < fieldCount; ++i) {
            const bool last = i + 1 == fieldCount;
            const std::size_t dash = last ? text.size() : text.find('-');
            if (dash == std::string_view::npos)
                return std::nullopt;
            const std::optional<std::uint64_t> value = parseHex(text.substr(0, dash));
            if (!value)
                return std::nullopt;
            fields[i] = *value;
            text.remove_prefix(last ? dash : dash + 1);
        }
        return fields;
    }

}

std::string formatKey(const RequestKey& key)
{
    std::string text;
    appendHex(text, keyVersion);
    for (const std::uint64_t field : { key.member, static_cast<std::uint64_t>(key.incarnation), static_cast<std::uint64_t>(key.expiry.time_since_epoch().count()), key.nonce }) {
        text += '-';
        appendHex(text, field);
    }
    return text;
}

ParsedKey parseKey(std::string_view text)
{
    const auto fields = parseFields(text);
    if (!fields)
        return {};
    const auto [version, member, incarnation, expiry, nonce] = *fields;
    if (version != keyVersion)
        return { .key = std::nullopt, .hasOtherVersion = true };
    const core::TimePoint expiryTime { core::Duration(static_cast<std::int64_t>(expiry)) };
    return { .key = RequestKey { .member = member, .incarnation = core::Incarnation { incarnation }, .expiry = expiryTime, .nonce = nonce }, .hasOtherVersion = false };
}

KeyRegistry::KeyRegistry(std::uint64_t memberHash, core::Incarnation presentIncarnation, KeyOptions keyOptions, std::uint64_t seed)
    : member(memberHash)
    , incarnation(presentIncarnation)
    , options(keyOptions)
    , random(seed)
{
}

std::string KeyRegistry::issue(core::TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return formatKey({ .member = this->member, .incarnation = this->incarnation, .expiry = now + this->options.lifetime, .nonce = this->random() });
}

KeyClaim KeyRegistry::claim(std::string_view text, core::Fingerprint fingerprint, core::TimePoint now)
{
    const ParsedKey parsed = parseKey(text);
    if (const std::optional<core::ErrorKind> rejection = this->check(parsed, now))
        return { .rejection = rejection };
    const std::lock_guard lock(this->mutex);
    this->forgetExpired(now);
    const auto found = this->entries.find(parsed.key->nonce);
    if (found != this->entries.end())
        return this->claimAgain(found->second, fingerprint);
    // Dropping a key before its expiry would allow a second dispatch, so a full registry rejects new keys.
    if (this->entries.size() >= this->options.maxClaimedKeys)
        return { .rejection = core::ErrorKind::Overloaded };
    this->entries.emplace(parsed.key->nonce, Entry { .fingerprint = fingerprint, .expiry = parsed.key->expiry });
    this->expiries.push({ .expiry = parsed.key->expiry, .nonce = parsed.key->nonce });
    return {};
}

// Rejects an expiry later than any that this registry issues: such a key would be stored for longer than `lifetime`.
std::optional<core::ErrorKind> KeyRegistry::check(const ParsedKey& parsed, core::TimePoint now) const
{
    if (parsed.hasOtherVersion)
        return core::ErrorKind::KeyForeign;
    if (!parsed.key)
        return core::ErrorKind::KeyMalformed;
    if (parsed.key->member != this->member || parsed.key->incarnation != this->incarnation)
        return core::ErrorKind::KeyForeign;
    if (parsed.key->expiry > now + this->options.lifetime)
        return core::ErrorKind::KeyMalformed;
    if (parsed.key->expiry <= now)
        return core::ErrorKind::KeyExpired;
    return std::nullopt;
}

KeyClaim KeyRegistry::claimAgain(Entry& entry, core::Fingerprint fingerprint) const
{
    if (entry.state == ClaimState::Free) {
        entry.state = ClaimState::Running;
        entry.fingerprint = fingerprint;
        return {};
    }
    if (entry.fingerprint != fingerprint)
        return { .rejection = core::ErrorKind::KeyMismatch };
    if (entry.state == ClaimState::Running)
        return { .rejection = core::ErrorKind::KeyInProgress };
    if (entry.status == 0)
        return { .rejection = core::ErrorKind::KeyUnclear };
    return { .rejection = core::ErrorKind::KeyUsed, .firstStatus = entry.status };
}

void KeyRegistry::release(std::string_view text)
{
    const std::lock_guard lock(this->mutex);
    if (Entry* entry = this->find(text); entry && entry->state == ClaimState::Running)
        entry->state = ClaimState::Free;
}

void KeyRegistry::finish(std::string_view text, std::uint16_t status)
{
    const std::lock_guard lock(this->mutex);
    if (Entry* entry = this->find(text)) {
        entry->state = ClaimState::Ended;
        entry->status = status;
    }
}

std::size_t KeyRegistry::claimedCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

KeyRegistry::Entry* KeyRegistry::find(std::string_view text)
{
    const ParsedKey parsed = parseKey(text);
    if (!parsed.key)
        return nullptr;
    const auto found = this->entries.find(parsed.key->nonce);
    return found == this->entries.end() ? nullptr : &found->second;
}

void KeyRegistry::forgetExpired(core::TimePoint now)
{
    while (!this->expiries.empty() && this->expiries.top().expiry <= now) {
        this->entries.erase(this->expiries.top().nonce);
        this->expiries.pop();
    }
}

}
