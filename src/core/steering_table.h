#pragma once

#include "core/declarations.h"
#include "core/enums.h"
#include "core/slot_counter.h"
#include "core/types.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace cranberryshed::core {

struct RegionEntry {
    std::string name;
};

struct DomainEntry {
    std::string name;
    RegionIndex region;
    bool evacuated = false; // its backend servers get no work
};

// A class of work with its target.
struct ClassEntry {
    std::string name;
    std::string host; // empty: any host
    std::vector<std::string> methods; // empty: any method
    std::string pathPrefix;
    std::string service; // the backend servers' service that runs the class
    Idempotency idempotency = Idempotency::Idempotent;
    WorkLength length = WorkLength::Short;
    Duration deadline {}; // used if the caller states none
    Duration targetLatency {}; // p99 of an answer's first byte
    double headroom = 0; // share of capacity that is kept free, 0 to 1
    std::vector<ServerIndex> servers; // of the service, in the allowed regions
    std::vector<double> regionShares; // by RegionIndex: share of this VM's traffic, sums to 1
    // By RegionIndex: a request may start in another region if this VM then has at most so many requests in flight
    // at the service's servers there, so that the sum over all entry VMs keeps the region's limit. The own region has no limit (infinity). What exceeds the limits waits for the
    // own region or is rejected.
    std::vector<double> maxInFlightByRegion;
    // Share of the service's slots that all entry VMs need, by their latest load digests; none: unknown or too old.
    std::optional<double> serviceUtilization;
    std::string route; // classes with the same route match the same requests; empty: a route of its own
    double weight = 1; // share of the route's requests, relative to the other classes of the route
    unsigned priority = 0; // 0 is the highest
    unsigned maxAttempts = 0; // backend servers that one request may be sent to; 0: no limit of the class's own
    bool requiresKey = true; // work that is not idempotent is only run with a request key
    bool usesAffinity = false; // requests with the same affinity run faster on a server that ran one recently
};

// The last load report of a backend server. It may be old or wrong.
struct LoadReport {
    std::uint32_t inFlight = 0;
    TimePoint receivedAt {};
};

struct ServerEntry {
    std::string name;
    std::string address; // "IP:port"
    std::string service;
    std::string batch;
    RegionIndex region;
    DomainIndex domain;
    ServerState state = ServerState::Active;
    std::uint32_t slots = 3; // requests that it runs at the same time
    std::uint32_t maxConnections = 330;
    // Share of its usual traffic, 0 to 1: rises while it warms up and falls while its batch is drained. A chooser
    // accepts the server with this probability and uses at most ceil(warmth * slots) slots. 0: no new work.
    double warmth = 1;
    bool isHome = false; // in the part of the servers that this entry VM prefers
    std::optional<LoadReport> report;
    std::uint64_t key = 0; // hash of the name; stable across tables
    std::shared_ptr<SlotCounter> slotCounter; // this process's requests; the same counter in every table
    std::optional<TimePoint> coldUntil; // until then it takes only `maxColdRequestsPerSecond`
    double maxColdRequestsPerSecond = 0; // requests per second from all entry VMs while it is cold; 0: unknown
    Duration coldDuration {}; // how long it is cold after a start
    std::string healthPath;
};

struct MemberEntry {
    std::string name;
    std::string address; // "IP:port" for callers
    RegionIndex region;
    DomainIndex domain;
    MemberState state = MemberState::Alive;
    Incarnation incarnation {};
    double load = 0; // share of its capacity in use
};

// Maps a caller's address to a site, see lookup/address_blocks.h.
class AddressBlockTable;

// The entry VMs that callers of each site should use, see lookup/rank.h.
class SiteRanks;

// Everything that traffic needs to decide. Control builds a new one and publishes it whole;
// a published table never changes.
struct SteeringTable {
    std::uint64_t generation = 0; // counts the tables of this process
    std::uint64_t configurationRevision = 0; // highest revision of a declaration in force
    std::vector<RegionEntry> regions;
    std::vector<DomainEntry> domains;
    std::vector<ClassEntry> classes;
    std::vector<ServerEntry> servers;
    std::vector<MemberEntry> members;
    MemberIndex self;
    bool leaving = false; // this entry VM is shutting down
    std::unordered_set<std::uint64_t> quarantinedFingerprints; // Fingerprint values of requests that are refused
    std::unordered_set<std::uint64_t> suspectFingerprints; // Fingerprint values of requests that run in isolation
    std::shared_ptr<const AddressBlockTable> addressBlocks; // empty: no caller is known
    std::shared_ptr<const SiteRanks> siteRanks;
    std::optional<CallerLimits> callerLimits; // empty: those of the settings

    const ClassEntry& at(ClassIndex index) const { return this->classes[index.value]; }
    const ServerEntry& at(ServerIndex index) const { return this->servers[index.value]; }
    const MemberEntry& at(MemberIndex index) const { return this->members[index.value]; }
    const DomainEntry& at(DomainIndex index) const { return this->domains[index.value]; }
    const RegionEntry& at(RegionIndex index) const { return this->regions[index.value]; }
};

using SteeringTablePointer = std::shared_ptr<const SteeringTable>;

}
