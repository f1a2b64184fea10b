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

// A request key. Text form: five hex fields joined by '-': version, member, incarnation, expiry, nonce.
//
// The expiry is this process's monotonic time in microseconds. No other process interprets it: a key of
// another member or incarnation is refused before its expiry is read.
struct RequestKey {
    std::uint64_t member = 0; // hash of the entry VM's name
    core::Incarnation incarnation {};
    core::TimePoint expiry {};
    std::uint64_t nonce = 0;
};

// The version of the text form that this program issues and accepts.
constexpr std::uint64_t keyVersion = 1;

std::string formatKey(const RequestKey&);

// How a text was read: a key, a key of a version that this program does not know, or neither.
struct ParsedKey {
    std::optional<RequestKey> key;
    bool hasOtherVersion = false;
};
ParsedKey parseKey(std::string_view text);

struct KeyOptions {
    // How long a key may be used. Longer than a caller's cached look-up answer (5 s) plus the longest
    // deadline of a non-idempotent class plus some repeats.
    core::Duration lifetime = std::chrono::minutes(2);
    // Claimed keys that are remembered. Measured about 80 bytes each (bench_decisions retries), so 16 MB.
    std::size_t maxClaimedKeys = 200'000;
};

// What claiming a key led to.
struct KeyClaim {
    std::optional<core::ErrorKind> refusal; // none: this request owns the key and may be dispatched
    std::uint16_t firstStatus = 0; // for KeyUsed: the status of the first answer
};

// The keys of one incarnation of one entry VM. A claimed key is remembered until it expires, and an expired
// key is refused, so a key is dispatched at most once.
//
// All traffic threads of a process share one ledger, because a repeated request may arrive on a connection
// of another thread. The mutex is held for one hash table access and only for non-idempotent classes, which
// are a small part of the traffic; a ledger per thread would need a message to the owning thread and back.
class KeyRegistry {
public:
    // `incarnation` is that of this start of the process and never changes while it runs.
    KeyRegistry(std::uint64_t member, core::Incarnation incarnation, KeyOptions options, std::uint64_t seed);

    // Returns a fresh key. Issued keys take no memory until they are claimed.
    std::string issue(core::TimePoint now);

    // Claims a key for a request with this content. Refusals: KeyMalformed, KeyForeign, KeyExpired,
    // KeyInProgress, KeyUsed, KeyUnclear, KeyMismatch, or Overloaded if `limit` keys are held.
    KeyClaim claim(std::string_view text, core::Fingerprint, core::TimePoint now);

    // The request with this key surely did not run: the key may be claimed again. Only its owner calls this.
    void release(std::string_view text);

    // Records the outcome of the key's request. Status 0: a backend server may have run it and gave no answer.
    void finish(std::string_view text, std::uint16_t status);

    // Number of claimed keys that are remembered.
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
