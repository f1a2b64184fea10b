#pragma once

#include "core/steering_table.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace cranberryshed::request {

// What is done about requests that may crash backend servers.
enum class CrashPolicy : std::uint8_t {
    Isolate, // the requests in flight in a crash run alone on a server until one is answered
    Count, // the servers that end one after another under the same request are counted, see CrashHistory
};

struct CrashOptions {
    CrashPolicy policy = CrashPolicy::Isolate;
    core::Duration suspectTime = std::chrono::minutes(10); // how long a fingerprint stays a suspect after its last crash, unless it succeeds
    // How long a local quarantine lasts. It covers the time until control has added the fingerprint to the steering
    // table. Control sees the crashes of all entry VMs and decides for the fleet; it can find that this one was a
    // coincidence.
    core::Duration quarantineTime = std::chrono::seconds(30);
    std::size_t maxSuspects = 10'000; // bound on the entries, about 64 bytes each; the one that expires first is evicted
};

// Whether a request is suspected of crashing backend servers.
enum class Suspicion : std::uint8_t { Clear,
    Suspect,
    Quarantined };
}

template <>
struct cranberryshed::core::Names<cranberryshed::request::Suspicion> {
    static constexpr std::array<std::string_view, 3> values = { "clear", "suspect", "quarantined" };
};

namespace cranberryshed::request {

// Fingerprints of requests that may crash backend servers, from crashes observed by this process. The steering table
// contains those observed by all entry VMs.
//
// A fingerprint is quarantined only by a crash during an isolated run. A request that was merely in flight together
// with the cause is a suspect, however often that happens, and its next success clears it.
//
// Thread-safe. All traffic threads share one registry, so that a request resent on another connection is recognised at
// once. Look-ups take the mutex only while the registry has entries.
class CrashRegistry {
public:
    explicit CrashRegistry(CrashOptions);

    // Records that a server which ran this request broke its connection without an answer. Returns the new suspicion.
    Suspicion onCrash(core::Fingerprint, bool isolated, core::TimePoint now);

    CrashPolicy policy() const { return this->options.policy; }

    // Records that the request was answered. Returns whether it was a suspect, here or in the table.
    bool onSuccess(core::Fingerprint, const core::SteeringTable&, core::TimePoint now);

    // The higher suspicion of this registry and the table.
    Suspicion suspicion(core::Fingerprint, const core::SteeringTable&, core::TimePoint now) const;

    // Marks a suspect as running isolated. Returns false if it already is: copies of one suspect that run at the same
    // time could crash several servers.
    bool beginIsolation(core::Fingerprint);
    void endIsolation(core::Fingerprint);

    void forgetExpired(core::TimePoint now);

private:
    struct Entry {
        Suspicion level = Suspicion::Suspect;
        core::TimePoint until {};
    };

    Suspicion localSuspicion(core::Fingerprint, core::TimePoint now) const;
    void evictFirstToExpire();

    CrashOptions options;
    mutable std::mutex mutex;
    std::atomic<bool> empty = true;
    std::unordered_map<core::Fingerprint, Entry> entries;
    std::unordered_set<core::Fingerprint> isolated;
};

}
