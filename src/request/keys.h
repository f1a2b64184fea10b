#pragma once

#include "core/errors.h"
#include "core/types.h"

#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// An idempotency key for a non-idempotent request. Its text consists of five hexadecimal fields joined by '-': version,
// member, incarnation, expiry, nonce.
//
// The expiry is a monotonic time of the issuing process in microseconds. No other process interprets it: a key of
// another member or incarnation is rejected before its expiry is read.
struct RequestKey {
    std::uint64_t member = 0; // hash of the name of the entry VM that issued the key
    core::Incarnation incarnation {};
    core::TimePoint expiry {};
    std::uint64_t nonce = 0;
};

// The only version of the text form that this program issues and accepts.
constexpr std::uint64_t keyVersion = 1;

std::string formatKey(const RequestKey&);

// The result of parsing a text: a key, a key of another version, or neither (malformed).
struct ParsedKey {
    std::optional<RequestKey> key;
    bool hasOtherVersion = false;
};
ParsedKey parseKey(std::string_view text);

struct KeyOptions {
    // How long a key is valid. Must exceed the sum of the lifetime of a caller's cached look-up answer (up to 6 s),
    // the longest deadline of a non-idempotent class, and the time for some repeats.
    core::Duration lifetime = std::chrono::minutes(2);
    // Bound on the claimed keys in memory: 16 MB at about 80 bytes per key (bench_decisions retries).
    std::size_t maxClaimedKeys = 200'000;
};

// The result of claiming a key.
struct KeyClaim {
    std::optional<core::ErrorKind> rejection; // none: this request owns the key and can be dispatched
    std::uint16_t firstStatus = 0; // for KeyUsed: the status of the first answer
};

// The request keys of one incarnation of one entry VM. Guarantees that requests with the same key are dispatched at
// most once: a claimed key is stored until it expires, and an expired key is rejected.
//
// Thread-safe. All traffic threads of a process share one registry, because a repeated request can arrive on a
// connection of another thread. The mutex is held for one hash table access and only for non-idempotent classes, which
// are a small part of the traffic; a registry per thread would need a message to the owning thread and back.
class KeyRegistry {
public:
    // `incarnation` identifies this run of the process.
    KeyRegistry(std::uint64_t member, core::Incarnation incarnation, KeyOptions options, std::uint64_t seed);

    // Returns a new key. Issued keys take no memory until they are claimed.
    std::string issue(core::TimePoint now);

    // Claims a key for a request with this fingerprint. Rejections: KeyMalformed, KeyForeign, KeyExpired,
    // KeyInProgress, KeyUsed, KeyUnclear, KeyMismatch, or Overloaded if maxClaimedKeys keys are stored.
    KeyClaim claim(std::string_view text, core::Fingerprint, core::TimePoint now);

    // Makes a key claimable again, for a request that certainly did not run. Only the owner of the key can call this.
    void release(std::string_view text);

    // Records the outcome of the key's request: the status of its answer, or 0 if it may have run but got no answer.
    void finish(std::string_view text, std::uint16_t status);

    // Number of stored keys.
    std::size_t claimedCount() const;

private:
    enum class ClaimState : std::uint8_t { Free,
        Running,
        Ended };

    struct Entry {
        core::Fingerprint fingerprint {};
        core::TimePoint expiry {};
        std::uint16_t status = 0;
        ClaimState state = ClaimState::Running;
    };

    struct ExpiryEntry {
        core::TimePoint expiry {};
        std::uint64_t nonce = 0;
        auto operator<=>(const ExpiryEntry&) const = default;
    };

    std::optional<core::ErrorKind> check(const ParsedKey&, core::TimePoint now) const;
    KeyClaim claimAgain(Entry&, core::Fingerprint) const;
    Entry* find(std::string_view text);
    void forgetExpired(core::TimePoint now);

    const std::uint64_t member;
    const core::Incarnation incarnation;
    const KeyOptions options;
    mutable std::mutex mutex;
    core::RandomEngine random;
    std::unordered_map<std::uint64_t, Entry> entries; // by nonce
    std::priority_queue<ExpiryEntry, std::vector<ExpiryEntry>, std::greater<>> expiries;
};

}
