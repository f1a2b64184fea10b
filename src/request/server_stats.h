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

// Result and measurements of an ended attempt, passed to the chooser that selected its backend server.
struct AttemptFeedback {
    std::uint64_t serverKey = 0; // ServerEntry::key
    std::uint64_t classKey = 0; // hash of the class's name
    core::WorkLength length = core::WorkLength::Short;
    core::TimePoint startedAt {};
    core::AttemptResult result = core::AttemptResult::Answered;
    // Time for which the attempt held its slot, from sending to the end of the answer. If the answer is relayed while
    // it arrives, the time ends at its head, although the slot is held until the end.
    core::Duration slotTime {};
    std::uint32_t localInFlight = 0; // this entry VM's remaining requests at the server
    std::uint64_t bytes = 0; // size of the answer, if it arrived completely
    std::uint64_t domainKey = 0; // hash of the failure domain's name
    std::optional<core::Duration> connectTime {}; // if a new connection was opened
    std::optional<LoadSample> load {};
    ChoiceBasis basis {}; // the estimates on which the server was chosen
};

// Whether a server can get new requests: active or warming, with a warmth above 0.
bool canReceiveRequests(const core::ServerEntry&);

// The backend servers of one class in one region that can receive requests, split into this entry VM's home subset and
// the others.
struct ServerGroup {
    core::RegionIndex region;
    std::vector<core::ServerIndex> homeServers;
    std::vector<core::ServerIndex> otherServers;
    double slots = 0; // usable at present
    double freeSlots = 0; // by the last reports; the sum stays accurate for longer than a single server's report
    double maxWarmth = 0; // maximum warmth of the servers
    double meanPeerRequests = 0; // other entry VMs' requests per server
};

// Statistics of one traffic thread about backend servers: which ones can receive requests, how many requests of other
// entry VMs they probably run, and how fast they answer. The lists are built once per steering table, so a choice only
// accesses the servers that it compares.
class ServerStats {
public:
    struct Options {
        OutlierDetector::Options outlier {};
        core::Duration reportHalfWeightAge = std::chrono::milliseconds(100); // age at which a report has half the weight
        double assumedUtilization = 0.8; // share of the slots in use at a server without a report
        double latencySampleWeight = 0.2; // weight of one sample in the moving average
        std::size_t maxRecentGoodServers = 8; // per service
        double maxGoodTimeToMedian = 3; // time up to which an answer is good, relative to the class's median
    };

    explicit ServerStats(Options statsOptions)
        : options(statsOptions)
        , outliers(statsOptions.outlier)
    {
    }

    // Rebuilds the lists if the table differs from the last one in its address or generation.
    void refresh(const core::SteeringTable&);

    // The groups of a class, one for each region that has a server for it.
    const std::vector<ServerGroup>& groups(core::ClassIndex index) const { return this->classes[index.value].groups; }
    std::span<const core::ServerIndex> servers(core::ClassIndex index) const { return this->classes[index.value].servers; }
    std::uint64_t classKey(core::ClassIndex index) const { return this->classes[index.value].key; }

    // Expected number of requests of other entry VMs at the server: the last report minus this VM's requests, averaged
    // with the group's mean. The weight of the report decreases with its age.
    double peerRequests(const core::ServerEntry&, core::ServerIndex, const ServerGroup&, core::TimePoint now) const;

    // Moving average of the time of short attempts at the server, relative to the median of their class; 1 if unknown.
    double relativeLatency(core::ServerIndex index) const { return this->records[index.value].relativeLatency; }

    OutlierState outlierState(const core::ServerEntry& server, core::TimePoint now) const { return this->outliers.outlierState(server.key, now); }

    // Number of requests that this thread runs outside the home subset, at all servers of the same service.
    std::size_t spilledRequests(core::ServerIndex index) const { return this->services[this->records[index.value].serviceIndex].spilledRequests; }

    // Servers of the same service outside the home subset with a good answer to this thread, most recent first.
    std::span<const core::ServerIndex> recentGoodServers(core::ServerIndex index) const { return this->services[this->records[index.value].serviceIndex].recentGoodServers; }

    // Mean number of slots that this thread's short requests occupy at the server's service.
    double meanShortSlots(core::ServerIndex index, core::TimePoint now) const { return this->services[this->records[index.value].serviceIndex].demand.slots(core::WorkLength::Short, now); }

    // Number of alive entry VMs, at least 1.
    double entryVms() const { return this->entryVmCount; }

    void recordStart(const core::SteeringTable&, core::ClassIndex, core::ServerIndex, core::TimePoint now);
    void recordEnd(const AttemptFeedback&, core::TimePoint now);

    const OutlierDetector& detector() const { return this->outliers; }

private:
    struct ClassRecord {
        std::uint64_t key = 0; // hash of the class's name
        std::vector<core::ServerIndex> servers;
        std::vector<ServerGroup> groups;
    };

    struct ServerRecord {
        double relativeLatency = 1;
        double peerRequestsAtReport = 0;
        core::TimePoint reportedAt {};
        std::size_t serviceIndex = 0;
        std::uint32_t spilledRequests = 0;
        bool isHome = false;
    };

    struct ServiceRecord {
        std::uint64_t key = 0; // hash of the service's name
        LaneDemand demand;
        std::size_t spilledRequests = 0;
        std::vector<core::ServerIndex> recentGoodServers; // outside the home subset, most recent first
    };

    void addRecentGoodServer(core::ServerIndex);
    void rebuildRecords(const core::SteeringTable&);
    void rebuildClass(const core::SteeringTable&, const core::ClassEntry&, ClassRecord&);
    double reportWeight(core::TimePoint reportedAt, core::TimePoint now) const;

    Options options;
    OutlierDetector outliers;
    std::uint64_t generation = 0;
    const core::SteeringTable* lastTable = nullptr; // only compared, never dereferenced
    double entryVmCount = 1;
    std::vector<ClassRecord> classes; // by ClassIndex
    std::vector<ServerRecord> records; // by ServerIndex
    std::unordered_map<std::uint64_t, std::uint32_t> indexes; // ServerIndex by server key
    std::vector<ServiceRecord> services; // by ServerRecord::serviceIndex
    std::vector<std::uint64_t> serverKeys; // by ServerIndex
};

}
