#pragma once

#include "core/steering_table.h"
#include "request/events.h"
#include "request/lanes.h"
#include "request/outlier.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace cranberryshed::request {

// What an attempt's end tells the chooser that started it.
struct AttemptFeedback {
    std::uint64_t serverKey = 0; // ServerEntry::key
    std::uint64_t classKey = 0; // hash of the class's name
    core::WorkLength length = core::WorkLength::Short;
    core::TimePoint startedAt {};
    core::AttemptResult result = core::AttemptResult::Answered;
    core::Duration held {}; // from sending to the whole answer, or to its head if it is passed on as it arrives
    std::uint32_t localInFlight = 0; // requests of this entry VM that are left at the server
    std::uint64_t bytes = 0; // of the answer, if it arrived whole
    std::uint64_t domainKey = 0; // hash of the failure domain's name
    std::optional<core::Duration> connectTime {}; // of a new connection
    std::optional<LoadSample> load {};
    ChoiceBasis basis {}; // of the choice
};

// Whether the table lets the server have new work.
bool canReceiveRequests(const core::ServerEntry&);

// The backend servers of one class in one region that may get work.
struct ServerGroup {
    core::RegionIndex region;
    std::vector<core::ServerIndex> homeServers;
    std::vector<core::ServerIndex> otherServers;
    double slots = 0; // that may be used at present
    double freeSlots = 0; // by the last reports; a sum over servers stays useful longer than one server's report
    double warmest = 0; // largest warmth
    double meanPeerRequests = 0; // mean of other entry VMs' requests per server
};

// What the choosers of one traffic thread know about backend servers: who may get work, what other entry VMs
// are likely to run there, how fast each one answers. Lists are built once for each steering table, so that
// a choice touches only the servers that it looks at.
class ServerStats {
public:
    struct Options {
        OutlierDetector::Options outlier {};
        core::Duration reportHalfWeightAge = std::chrono::milliseconds(100); // at which a report counts half
        double assumedUtilization = 0.8; // of the slots of a server without a report
        double latencySampleWeight = 0.2; // of one sample in the moving average
        std::size_t maxRecentGoodServers = 8; // servers in the list of good answers
        double maxGoodTimeToMedian = 3; // time of a good answer at most, in usual times
    };

    explicit ServerStats(Options statsOptions)
        : options(statsOptions)
        , outliers(statsOptions.outlier)
    {
    }

    // Rebuilds the lists if the table is not the one seen last. Tables differ by their generation.
    void refresh(const core::SteeringTable&);

    // The groups of a class, by region, regions without a server left out.
    const std::vector<ServerGroup>& groups(core::ClassIndex index) const { return this->classes[index.value].groups; }
    std::span<const core::ServerIndex> servers(core::ClassIndex index) const { return this->classes[index.value].servers; }
    std::uint64_t classKey(core::ClassIndex index) const { return this->classes[index.value].key; }

    // Expected requests of other entry VMs at the server: the last report less this VM's own part, weighted by
    // its age, and the mean over the group for the rest.
    double peerRequests(const core::ServerEntry&, core::ServerIndex, const ServerGroup&, core::TimePoint now) const;

    // Moving average of the time of short attempts at the server, in usual times of their class; 1 if unknown.
    double relativeLatency(core::ServerIndex index) const { return this->records[index.value].relativeLatency; }

    OutlierState outlierState(const core::ServerEntry& server, core::TimePoint now) const { return this->outliers.outlierState(server.key, now); }

    // Requests that this thread runs outside its home part, at servers of the same service.
    std::size_t spilledRequests(core::ServerIndex index) const { return this->pools[this->records[index.value].pool].spilledRequests; }

    // Servers of the same service outside the home part that gave this thread a good answer, the latest first.
    std::span<const core::ServerIndex> recentGoodServers(core::ServerIndex index) const { return this->pools[this->records[index.value].pool].recentGoodServers; }

    // Slots that this thread's short work at the server's service takes on average.
    double meanShortSlots(core::ServerIndex index, core::TimePoint now) const { return this->pools[this->records[index.value].pool].demand.slots(core::WorkLength::Short, now); }

    // Entry VMs that serve callers, at least 1.
    double entryVms() const { return this->entryVmCount; }

    void recordStart(const core::SteeringTable&, core::ClassIndex, core::ServerIndex, core::TimePoint now);
    void recordEnd(const AttemptFeedback&, core::TimePoint now);

    const OutlierDetector& detector() const { return this->outliers; }

private:
    struct ClassRecord {
        std::uint64_t key = 0;
        std::vector<core::ServerIndex> servers;
        std::vector<ServerGroup> groups;
    };

    struct ServerRecord {
        double relativeLatency = 1;
        double peerRequestsAtReport = 0;
        core::TimePoint reportedAt {};
        std::size_t pool = 0;
        std::uint32_t spilledRequests = 0;
        bool isHome = false;
    };

    struct Pool {
        std::uint64_t key = 0; // hash of the service's name
        LaneDemand demand;
        std::size_t spilledRequests = 0;
        std::vector<core::ServerIndex> recentGoodServers; // servers outside the home part, by last good answer, latest first
    };

    void addRecentGoodServer(core::ServerIndex);
    void rebuildRecords(const core::SteeringTable&);
    void rebuildClass(const core::SteeringTable&, const core::ClassEntry&, ClassRecord&);
    double reportWeight(core::TimePoint reportedAt, core::TimePoint now) const;

    Options options;
    OutlierDetector outliers;
    std::uint64_t generation = 0;
    const core::SteeringTable* lastTable = nullptr; // only compared
    double entryVmCount = 1;
    std::vector<ClassRecord> classes; // by ClassIndex
    std::vector<ServerRecord> records; // by ServerIndex
    std::unordered_map<std::uint64_t, std::uint32_t> indexes; // server key to ServerIndex
    std::vector<Pool> pools; // by service
    std::vector<std::uint64_t> serverKeys; // by ServerIndex
};

}
