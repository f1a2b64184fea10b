#pragma once

#include "core/table.h"

#include <optional>
#include <unordered_map>

namespace cranberryshed::request {

struct CrashOptions {
    core::Duration suspicion = std::chrono::minutes(10); // without a new crash or success
    // Bridges the time until control has put the fingerprint into the steering table. Control sees the crashes
    // of all entry VMs and decides for the fleet; it may find that this one was a coincidence.
    core::Duration quarantine = std::chrono::seconds(30);
    std::size_t limit = 10'000; // suspects remembered, about 64 bytes each; beyond it the oldest are forgotten
};

enum class Standing : std::uint8_t { Clear,
    Suspect,
    Quarantined };

// Requests that may crash backend servers, as far as one traffic thread knows. The steering table adds what
// other threads and entry VMs found out.
//
// A fingerprint is quarantined only by a crash while it ran in isolation. A request that was merely in flight
// beside the cause is a suspect, however often that happens, and its next success clears it.
class CrashBook {
public:
    explicit CrashBook(CrashOptions);

    // A server that ran this request broke its connection without an answer. Returns the new standing.
    Standing onCrash(core::Fingerprint, bool isolated, core::TimePoint now);

    // The request was answered. Returns whether it was a suspect, here or in the table.
    bool onSuccess(core::Fingerprint, const core::SteeringTable&, core::TimePoint now);

    Standing standing(core::Fingerprint, const core::SteeringTable&, core::TimePoint now) const;

    void forgetExpired(core::TimePoint now);
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        Standing standing = Standing::Suspect;
        core::TimePoint until {};
    };

    void makeRoom();

    CrashOptions options;
    std::unordered_map<core::Fingerprint, Entry> entries;
};

}
