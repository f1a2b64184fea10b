#pragma once

#include "core/declarations.h"
#include "core/enums.h"
#include "core/object_order.h"
#include "core/slot_counter.h"
#include "core/types.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cranberryshed::core {

struct RegionEntry {
    std::string name;
};

struct DomainEntry {
    std::string name;
    RegionIndex region;
    bool evacuated = false; // its backend servers get no requests
};

// A class of requests with its target.
struct ClassEntry {
    std::string name;
    std::string host; // empty: any host
    std::vector<std::string> methods; // empty: any method
    std::string pathPrefix;
    std::string service; // the service whose backend servers run the class
    Idempotency idempotency = Idempotency::Idempotent;
    WorkLength length = WorkLength::Short;
    Duration deadline {}; // of a request whose caller states none
    Duration targetLatency {}; // p99 of the time until an answer's first byte
    double headroom = 0; // share of the service's capacity to keep free, 0 to 1
    std::vector<ServerIndex> servers; // the service's servers in the allowed regions
    std::vector<double> regionShares; // by RegionIndex: share of this VM's requests; the sum is 1
    // By RegionIndex: this VM sends a request to another region only if it then has at most this many requests in
    // flight at the service's servers there, so that all entry VMs together stay within the region's limit. This VM's
    // own region has no limit (infinity). Requests above the limits wait for this VM's region or are rejected.
    std::vector<double> maxInFlightByRegion;
    // Share of the service's slots that the demand at all entry VMs needs, computed from the latest load digests.
    // Empty: unknown, or the load digests are too old.
    std::optional<double> serviceUtilization;
    std::string route; // classes with the same route match the same requests; empty: no other class has this route
    double weight = 1; // share of the route's requests, relative to the other classes of the route
    unsigned priority = 0; // 0 is the highest
    unsigned maxAttempts = 0; // of one request, the first one included; 0: request::RetryOptions::maxAttempts applies
    bool requiresKey = true; // whether a non-idempotent request is run only with a request key
    bool usesAffinity = false; // whether a request runs faster on a server that recently ran one with the same affinity
};

// The load that a backend server reported last. It can be outdated or wrong. Not to be confused with fleet::LoadReport,
// which is an entry VM's load.
struct LoadReport {
    std::uint32_t inFlight = 0;
    TimePoint receivedAt {};
};

// A backend server.
struct ServerEntry {
    std::string name;
    std::string address; // "IP:port"
    std::string service;
    std::string batch;
    RegionIndex region;
    DomainIndex domain;
    ServerState state = ServerState::Active;
    std::uint32_t slots = 3; // number of requests that it runs at the same time
    std::uint32_t maxConnections = 330;
    // Share of the server's usual traffic, 0 to 1: rises while it warms up and falls while its batch is drained. A
    // chooser accepts the server with this probability and uses at most ceil(warmth * slots) slots. 0: no new requests.
    double warmth = 1;
    bool isHome = false; // whether it is in this entry VM's home subset, if the control pipe computes one: the servers that this VM prefers
    bool isUsableCold = false; // whether this entry VM may use it while it is cold; false for all others
    std::optional<LoadReport> report;
    std::uint64_t key = 0; // hash of the name, seeded with the time of the server's start; the same in every table
    std::shared_ptr<SlotCounter> slotCounter; // of this process's requests; the same counter in every table
    std::optional<TimePoint> coldUntil; // until then it can handle only `maxColdRequestsPerSecond`
    double maxColdRequestsPerSecond = 0; // from all entry VMs together; 0: unknown
    Duration coldDuration {}; // time for which it is cold after a start
    std::string healthPath;
};

// An entry VM.
struct MemberEntry {
    std::string name;
    std::string address; // "IP:port" for callers
    RegionIndex region;
    DomainIndex domain;
    MemberState state = MemberState::Alive;
    Incarnation incarnation {};
    double load = 0; // share of the VM's capacity that is in use
};

// Maps a caller's address to its site, see lookup/address_blocks.h.
class AddressBlockTable;

// The entry VMs that callers of each site should use, see lookup/rank.h.
class SiteRanks;

// How this entry VM learned of the configuration in force, and how current that knowledge is.
struct ConfigurationOrigin {
    ConfigurationSource source = ConfigurationSource::StoreList;
    std::string peer; // name of the entry VM that sent it; empty unless the source is Peer
    StorePosition position; // of the configuration in the store
    std::optional<TimePoint> confirmedAt; // when the store last confirmed that there is no newer one; empty: not yet
};

// How many backend servers a request has crashed, one after another.
struct CrashRecord {
    unsigned count = 0;
    TimePoint lastAt {}; // time of the last crash
};

// Everything that decisions about traffic need. The control thread builds a new table and publishes it as a whole;
// a published table never changes.
struct SteeringTable {
    std::uint64_t generation = 0; // number of this table among those of this process
    TimePoint builtAt {};
    std::uint64_t configurationRevision = 0; // highest revision of the declarations in force
    std::optional<ConfigurationOrigin> configurationOrigin; // empty: not tracked by this feed
    std::vector<RegionEntry> regions;
    std::vector<DomainEntry> domains;
    std::vector<ClassEntry> classes;
    std::vector<ServerEntry> servers;
    std::vector<MemberEntry> members;
    // Upper bound of the number of entry VMs, for limits that they share. Counts also suspected and dead ones, because
    // they can be alive on the other side of a network partition.
    std::uint32_t fleetSize = 0;
    MemberIndex self;
    bool leaving = false; // this entry VM is shutting down
    std::unordered_set<std::uint64_t> quarantinedFingerprints; // Fingerprint values of requests that are rejected
    std::unordered_set<std::uint64_t> suspectFingerprints; // Fingerprint values of requests that run only in isolation
    std::unordered_map<std::uint64_t, CrashRecord> crashRecords; // by request::CrashKeys, as reported by all entry VMs
    std::shared_ptr<const AddressBlockTable> addressBlocks; // null: no caller's site is known
    std::shared_ptr<const SiteRanks> siteRanks;
    std::optional<CallerLimits> callerLimits; // empty: the limits of the settings apply

    const ClassEntry& at(ClassIndex index) const { return this->classes[index.value]; }
    const ServerEntry& at(ServerIndex index) const { return this->servers[index.value]; }
    const MemberEntry& at(MemberIndex index) const { return this->members[index.value]; }
    const DomainEntry& at(DomainIndex index) const { return this->domains[index.value]; }
    const RegionEntry& at(RegionIndex index) const { return this->regions[index.value]; }
};

using SteeringTablePointer = std::shared_ptr<const SteeringTable>;

}
