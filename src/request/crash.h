#pragma once

#include "core/steering_table.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace cranberryshed::request {

struct CrashOptions {
    core::Duration suspectTime = std::chrono::minutes(10); // without a new crash or success
    // Bridges the time until control has put the fingerprint into the steering table. Control sees the crashes
    // of all entry VMs and decides for the fleet; it may find that this one was a coincidence.
    core::Duration quarantineTime = std::chrono::seconds(30);
    bool isolationEnabled = true; // false: suspects are not run apart; a platform whose servers crash by themselves makes too many
    std::size_t maxSuspects = 10'000; // suspects remembered, about 64 bytes each; beyond it the oldest are forgotten
};

enum class Suspicion : std::uint8_t { Clear,
    Suspect,
    Quarantined };
}

template <>
struct cranberryshed::core::Names<cranberryshed::request::Suspicion> {
    static constexpr std::array<std::string_view, 3> values = { "clear", "suspect", "quarantined" };
};

namespace cranberryshed::request {

// Requests that may crash backend servers, as far as this process knows. The steering table adds what other
// entry VMs found out.
//
// A fingerprint is quarantined only by a crash while it ran in isolation. A request that was merely in flight
// beside the cause is a suspect, however often that happens, and its next success clears it.
//
// All traffic threads share one registry, so that a request sent again on another connection is recognised at
// once. The mutex is only taken while the registry has entries.
class CrashRegistry {
public:
    explicit CrashRegistry(CrashOptions);

    // A server that ran this request broke its connection without an answer. Returns what is now thought of it.
    Suspicion onCrash(core::Fingerprint, bool isolated, core::TimePoint now);

    // Whether requests that were in flight in a crash are run apart.
    bool isolatesSuspects() const { return this->options.isolationEnabled; }

    // The request was answered. Returns whether it was a suspect, here or in the table.
    bool onSuccess(core::Fingerprint, const core::SteeringTable&, core::TimePoint now);

    Suspicion suspicion(core::Fingerprint, const core::SteeringTable&, core::TimePoint now) const;

    // A suspect runs once at a time, or its copies would crash several servers. Returns false if it runs already.
    bool beginIsolation(core::Fingerprint);
    void endIsolation(core::Fingerprint);

    void forgetExpired(core::TimePoint now);

private:
    struct Entry {
        Suspicion level = Suspicion::Suspect;
        core::TimePoint until {};
    };

    Suspicion localSuspicion(core::Fingerprint, core::TimePoint now) const;
    void evictOldest();

    CrashOptions options;
    mutable std::mutex mutex;
    std::atomic<bool> empty = true;
    std::unordered_map<core::Fingerprint, Entry> entries;
    std::unordered_set<core::Fingerprint> isolated;
};

}
