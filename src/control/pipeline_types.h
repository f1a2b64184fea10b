#pragma once

#include "core/declarations.h"
#include "core/load_digest.h"
#include "core/pipe.h"
#include "core/steering_table.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::control {

// The answer of a backend server's health or load endpoint. It can be late or wrong.
struct HealthReport {
    std::string server {}; // name of the server
    core::TimePoint receivedAt {};
    bool healthy = true;
    bool leaving = false;
    std::uint32_t inFlight = 0; // requests in flight at the server, from all entry VMs
    std::optional<core::Duration> uptime {}; // time since the server's start; none: not reported
};

// The result of one attempt that this VM sent to a backend server.
struct AttemptReport {
    std::string server {}; // name of the server
    core::TimePoint at {};
    core::AttemptResult result = core::AttemptResult::Answered;
    core::Duration elapsed {}; // from sending until the head of the answer, or until the end if there was none
    core::WorkLength length = core::WorkLength::Short;
    bool leaving = false; // the answer reported that the server is leaving
    std::uint64_t serverKey = 0; // of the server at that time, see core::serverKey()
};

// The demand for one class at this VM, exponentially smoothed with a time constant of some seconds.
struct LocalDemand {
    std::string className {};
    double requestsPerSecond = 0; // arriving requests per second
    core::Duration meanSlotTime {}; // mean time for which an attempt holds a slot
};

// An entry VM as the membership protocol reports it.
struct MemberInfo {
    std::string name {};
    std::string address {}; // "IP:port" for callers
    std::string domain {};
    core::MemberState state = core::MemberState::Alive;
    core::Incarnation incarnation {};
    double load = 0; // share of the member's capacity in use, 0 to 1
};

// The inputs of one run of a control pipe, see pipeline.h. `healthReports` and `attempts` hold the reports since the
// last run. All other fields hold the last known state, which can be arbitrarily old.
struct ControlInputs {
    std::shared_ptr<const core::Declarations> declarations {};
    std::optional<core::ConfigurationOrigin> configurationOrigin {}; // of `declarations`, for logs
    std::shared_ptr<const core::AddressBlockTable> blocks {}; // null: the pipe builds it from the declarations
    core::ServerList serverList {};
    std::vector<HealthReport> healthReports {};
    std::vector<AttemptReport> attempts {};
    std::vector<LocalDemand> localDemand {};
    std::vector<core::DomainDigest> digests {};
    std::vector<MemberInfo> members {};
    std::vector<core::Fingerprint> quarantined {};
    std::vector<core::Fingerprint> suspects {};
    std::unordered_map<std::uint64_t, core::CrashRecord> crashRecords {}; // see core::SteeringTable::crashRecords
    std::vector<std::string> leavingServers {}; // names of servers that other entry VMs reported as leaving
    std::set<std::string> evacuated {}; // failure domains whose servers get no requests until the evacuation ends
    std::string self {}; // name of this VM
    std::string selfDomain {};
    // Since when this VM has known another live member, or that it is the only one. Empty: it can't tell yet how many
    // entry VMs there are.
    std::optional<core::TimePoint> fleetKnownSince {};
    // Entry VMs that were registered in the store when this VM joined. Counts also those that have ended. 0: unknown.
    std::uint32_t registeredMembers = 0;
    bool leaving = false; // this VM is shutting down
    core::WallTime wallTime {}; // compared with contract dates
};

// The state of one backend server between the filters. Context::servers is sorted by name.
struct BackendServer {
    core::ServerListing listing {};
    core::RegionIndex region {};
    core::DomainIndex domain {};
    core::ServerState state = core::ServerState::Active;
    double warmth = 1; // see core::ServerEntry::warmth
    bool isSlowStarting = false; // its warmth is below 1 because it started recently
    bool isHome = false; // in this VM's home subset
    bool isUsableCold = false; // see core::ServerEntry::isUsableCold
    std::optional<core::LoadReport> report {};
};

// The demand for one class at the entry VMs of one region.
struct ClassDemand {
    double requestsPerSecond = 0; // arriving requests per second
    double slots = 0; // slots that these requests occupy: requestsPerSecond times the mean slot time
    double confidence = 0; // 1: fresh load digests; falls with their age to 0: demand unknown
    double ageSeconds = 0; // age of the oldest load digest used
};

// The capacity and demand of one service in one region, in slots.
struct ServiceLoad {
    double slots = 0; // slots open to new requests; warming and draining servers count in proportion to their warmth
    double totalSlots = 0; // slots of all servers that are not leaving or gone, including ejected ones
    double demandSlots = 0; // slots that the callers of the region need, summed over the classes of the service
    double confidence = 0; // lowest confidence in the demand of these classes, 0 to 1
};

enum class DrainState : std::uint8_t {
    Planned, // The drain starts later.
    Draining,
    Drained, // The batch gets no new requests.
    Late, // Within the shift cap the drain ends so late that the longest request can outlast the contract end.
    Blocked, // The other servers lack the capacity for the batch's traffic.
};

// The progress of one batch's drain, for the status object and the dump.
struct DrainReport {
    std::string batch {};
    DrainState state = DrainState::Planned;
    double share = 1; // share of its usual traffic that the batch still gets, 0 to 1
    core::WallTime expectedFinish {}; // when the batch gets its last new request
    core::WallTime contractEnd {};
};

// The state that one run hands from filter to filter.
struct Context {
    ControlInputs inputs;
    core::RegionIndex selfRegion {};
    core::DomainIndex selfDomain {};
    std::vector<BackendServer> servers {};
    std::vector<std::vector<ClassDemand>> demand {}; // by class, by region
    std::map<std::string, std::vector<ServiceLoad>> services {}; // by service name, by region
    std::set<std::string> warmingServices {}; // services with servers that are warming up
    std::vector<std::vector<double>> maxShares {}; // by class, by region: max share of the class's traffic, 0 to 1
    std::vector<std::vector<double>> regionShares {}; // by class, by region
    std::vector<std::vector<double>> maxInFlightByRegion {}; // by class, by region
    std::vector<DrainReport> drains {};
    std::vector<std::string> warnings {}; // for logs and the status object
    std::vector<std::string> leavingServers {}; // reported as leaving to this VM itself, not by other entry VMs

    const core::Declarations& declarations() const { return *this->inputs.declarations; }

    // Whether the failure domain is declared and lies in this VM's region.
    bool isInSelfRegion(const std::string& domain) const
    {
        const std::vector<core::DomainDeclaration>& domains = this->declarations().domains;
        const auto found = std::ranges::find(domains, domain, &core::DomainDeclaration::name);
        return found != domains.end() && found->region == this->declarations().regions[this->selfRegion.value].name;
    }
};

// The result of one run of a control pipe.
struct ControlOutput {
    core::SteeringTablePointer table {};
    std::vector<DrainReport> drains {};
    std::vector<std::string> warnings {};
    std::vector<std::string> leavingServers {}; // see Context::leavingServers; spread to the other entry VMs
};

// The reason why a run publishes no table. The last table stays in force.
enum class SkipReason : std::uint8_t { NoDeclarations,
    UnknownDomain };

using Step = core::Outcome<Context, SkipReason>;

}

template <>
struct cranberryshed::core::Names<cranberryshed::control::DrainState> {
    static constexpr std::array<std::string_view, 5> values = { "planned", "draining", "drained", "late", "blocked" };
};

template <>
struct cranberryshed::core::Names<cranberryshed::control::SkipReason> {
    static constexpr std::array<std::string_view, 2> values = { "no-declarations", "unknown-domain" };
};
