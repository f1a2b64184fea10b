#pragma once

#include "core/steering_table.h"

#include <atomic>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// The keys under which the crashes of one request are counted: its content, and its content from its caller. A content
// that many callers send is answered all the time even if it crashes servers for one of them.
using CrashKeys = std::array<core::Fingerprint, 2>;

CrashKeys crashKeysOf(core::Fingerprint content, core::CallerAddress);

// The crashes known for each of a request's keys.
using CrashCounts = std::array<unsigned, std::tuple_size_v<CrashKeys>>;

// An attempt whose connection broke before the end of the answer.
struct BrokenAttempt {
    CrashKeys keys {};
    CrashCounts earlierCrashes {}; // known when it was sent
    std::uint64_t serverKey = 0; // ServerEntry::key
    std::string serverName;
    core::TimePoint sentAt {};
    core::TimePoint brokenAt {};
};

// A request crashed one more server.
struct CountedCrash {
    core::Fingerprint key {};
    unsigned count = 0; // servers that it has crashed one after another
    std::string serverName; // of the last one
};

// What is known of one key that has crashed servers.
struct KnownCrashes {
    core::Fingerprint key {};
    core::CrashRecord record;
};

// Counts the servers that a request has crashed: servers that ended one after another while they ran it, without an
// answer to it in between.
//
// A connection that breaks can also mean that only the answer was lost. So a broken attempt counts once its server is
// known to have ended. Servers that end at the same time count as one, because the attempts there say nothing about
// each other: each counted attempt was sent after the one before it had broken. So the end of a failure domain doesn't
// turn against a popular request that was in flight on many of its servers.
//
// Thread-safe. All traffic threads of a process share one history. The steering table holds the crashes that all entry
// VMs have reported; the history holds those of this process until then. Look-ups take the mutex only while it holds
// some.
class CrashHistory {
public:
    struct Options {
        bool isEnabled = false;
        unsigned retryLimit = 2; // a request that has crashed so many servers gets one attempt each time it arrives
        unsigned refusalLimit = 3; // one that has crashed so many is not sent, but for probes
        // How long after the last crash a refused request is sent once, to learn whether it still crashes servers; one
        // entry for each further crash, and the last one for all after that. A request that was only beside the cause is
        // served again after one of the first probes, while few probes end servers if it is the cause.
        std::array<core::Duration, 6> probeDelays { std::chrono::seconds(1), std::chrono::seconds(2), std::chrono::seconds(10), std::chrono::seconds(30), std::chrono::seconds(90), std::chrono::minutes(5) };
        // Between the times at which one entry VM after the other may send the probe. The news of a probe that crashes a
        // server reaches the others in less.
        core::Duration probeStagger = std::chrono::seconds(1);
        // How long a broken attempt waits for a sign that its server has ended. An entry in a list of servers expires
        // after several missed heartbeats.
        core::Duration evidenceTime = std::chrono::seconds(10);
        // The first crash of a request is reported this late: mostly it is answered by another server by then.
        core::Duration firstReportDelay = std::chrono::seconds(1);
        core::Duration publicationTime = std::chrono::seconds(3); // until the steering table holds a reported crash
        std::size_t maxEntries = 2000; // bound on the broken attempts and on the requests; about 150 bytes each
    };

    explicit CrashHistory(Options historyOptions)
        : options(historyOptions)
    {
    }

    bool isEnabled() const { return this->options.isEnabled; }

    void recordBroken(const BrokenAttempt&);

    // Records that the server has ended. The attempts that broke there count as crashes.
    void recordServerEnd(std::uint64_t serverKey, core::TimePoint now);

    // Records that a server that is not among the listed ones has ended. `listed` holds the keys of all servers.
    void recordListedServers(const std::unordered_set<std::uint64_t>& listed, core::TimePoint now);

    // Records that the server replied to a request that was sent then, so it has not ended before.
    void recordReply(std::uint64_t serverKey, core::TimePoint sentAt);

    // Records that a request was answered. Returns the keys of which the fleet knows crashes, for it to forget them.
    std::vector<core::Fingerprint> recordAnswer(const CrashKeys&, const core::SteeringTable&);

    // The crashes to be reported to the fleet now.
    std::vector<CountedCrash> takeReports(core::TimePoint now);

    CrashCounts counts(const CrashKeys&, const core::SteeringTable&) const;

    // The crashes of each key; none if the request has crashed no server.
    std::vector<KnownCrashes> find(const CrashKeys&, const core::SteeringTable&) const;

    // Whether a request is sent again after an attempt that failed.
    bool allowsRetry(const KnownCrashes& known) const { return known.record.count < this->options.retryLimit; }

    // Whether a request is sent only as a probe.
    bool isRefused(const KnownCrashes& known) const { return known.record.count >= this->options.refusalLimit; }

    // When an entry VM may send a refused request as a probe. `rank` is its place in the order of the entry VMs.
    core::TimePoint probeDueAt(const KnownCrashes&, std::size_t rank) const;

    // Takes the probe of a request until that time. Returns false if another one is under way.
    bool tryBeginProbe(core::Fingerprint key, core::TimePoint until, core::TimePoint now);

    // Whether any attempt waits for a sign that its server has ended.
    bool hasPending() const { return this->pendingCount.load(std::memory_order_relaxed) > 0; }

    void forgetExpired(core::TimePoint now);

private:
    // A broken attempt, for one of its keys.
    struct Pending {
        core::Fingerprint key {};
        unsigned earlierCrashes = 0;
        std::uint64_t serverKey = 0;
        std::string serverName;
        core::TimePoint sentAt {};
        core::TimePoint brokenAt {};
    };

    struct Entry {
        std::vector<Pending> crashes; // in the order in which they were confirmed
        unsigned count = 0;
        core::TimePoint lastAt {};
        unsigned reportedCount = 0;
        std::optional<core::TimePoint> reportAt; // none: reported
        core::TimePoint until = core::TimePoint::max(); // by then the steering table holds the crashes
    };

    template <typename Predicate>
    void confirm(const Predicate& hasEnded, core::TimePoint now);
    void addCrash(Pending, core::TimePoint now);
    static unsigned longestSequence(std::vector<Pending>);
    core::CrashRecord recordOf(core::Fingerprint, const core::SteeringTable&) const;
    void updateSizes();

    Options options;
    mutable std::mutex mutex;
    std::atomic<std::size_t> pendingCount = 0;
    std::atomic<bool> isEmpty = true; // no entries
    std::vector<Pending> pending;
    std::unordered_map<core::Fingerprint, Entry> entries;
    std::unordered_map<core::Fingerprint, core::TimePoint> probes; // until when a probe is under way
};

}
