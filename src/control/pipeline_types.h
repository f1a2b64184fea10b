#pragma once

#include "core/declarations.h"
#include "core/load_digest.h"
#include "core/pipe.h"
#include "core/steering_table.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryshed::control {

// What a health or load endpoint of a backend server said. It may be late or wrong.
struct HealthReport {
    std::string server {}; // name
    core::TimePoint receivedAt {};
    bool healthy = true;
    bool leaving = false;
    std::uint32_t inFlight = 0; // requests of all entry VMs
    std::optional<core::Duration> uptime {}; // since the server's start; none: not stated
};

// How one attempt of this VM's own traffic ended.
struct AttemptReport {
    std::string server {}; // name
    core::TimePoint at {};
    core::AttemptResult result = core::AttemptResult::Answered;
    core::Duration elapsed {};
    core::WorkLength length = core::WorkLength::Short;
    bool leaving = false; // the answer said that the server is leaving
};

// This VM's own demand of one class, smoothed over some seconds.
struct LocalDemand {
    std::string className {};
    double rate = 0; // requests that arrive per second
    core::Duration meanTime {}; // mean time that a request holds a slot
};

struct MemberInfo {
    std::string name {};
    std::string address {}; // "IP:port" for callers
    std::string domain {};
    core::MemberState state = core::MemberState::Alive;
    core::Incarnation incarnation {};
    double load = 0; // share of its capacity in use
};

// Everything that the control pipeline reads on one run. Reports are those since the last run; the other
// fields are the last known state, however old.
struct ControlInputs {
    std::shared_ptr<const core::Declarations> declarations {};
    std::shared_ptr<const core::AddressBlockTable> blocks {}; // empty: built from the declarations' blocks
    core::ServerList list {};
    std::vector<HealthReport> health {};
    std::vector<AttemptReport> attempts {};
    std::vector<LocalDemand> demand {};
    std::vector<core::DomainDigest> digests {};
    std::vector<MemberInfo> members {};
    std::vector<core::Fingerprint> quarantined {};
    std::vector<core::Fingerprint> suspects {};
    std::vector<std::string> leavingServers {}; // names that other entry VMs saw leaving
    std::set<std::string> evacuated {}; // failure domains whose backend servers get no work until further notice
    std::string self {}; // name of this VM
    std::string selfDomain {};
    bool leaving = false; // this VM is shutting down
    core::WallTime wallTime {}; // for contract dates
};

// A backend server as the filters know it. Ordered by name.
struct BackendServer {
    core::ServerListing listing {};
    core::RegionIndex region {};
    core::DomainIndex domain {};
    core::ServerState state = core::ServerState::Active;
    double warmth = 1;
    bool isSlowStarting = false; // its warmth is below 1 because it started a short time ago
    bool isHome = false;
    std::optional<core::LoadReport> report {};
};

// The need of one class at the entry VMs of one region.
struct ClassDemand {
    double rate = 0; // requests that arrive per second
    double slots = 0; // that they take: rate times the mean time of a request
    double confidence = 0; // 1: fresh figures; falls with their age to 0: unknown
    double ageSeconds = 0; // of the oldest figure, in seconds
};

// What the servers of one service in one region can take.
struct ServiceLoad {
    double slots = 0; // that may get new work, warming and draining servers in part
    double totalSlots = 0; // of all its servers that are not leaving, ejected or not
    double demandSlots = 0; // slots that the callers of the region need, all classes of the service
    double confidence = 0; // of the need
};

enum class DrainState : std::uint8_t {
    Planned, // The drain starts later.
    Draining,
    Drained, // No new work goes to the batch.
    Late, // The cap does not allow to finish before the longest work would pass the contract end.
    Blocked, // The other servers have no room for the batch's traffic.
};

struct DrainReport {
    std::string batch {};
    DrainState state = DrainState::Planned;
    double share = 1; // of its usual traffic that the batch still gets
    core::WallTime finish {}; // expected end of new work
    core::WallTime contractEnd {};
};

// The state of one run on its way through the filters.
struct Context {
    ControlInputs inputs;
    core::RegionIndex selfRegion {};
    core::DomainIndex selfDomain {};
    std::vector<BackendServer> servers {};
    std::vector<std::vector<ClassDemand>> demand {}; // by class, by region
    std::map<std::string, std::vector<ServiceLoad>> services {}; // by name, by region
    std::set<std::string> warmingServices {}; // whose traffic moves to new servers at present
    std::vector<std::vector<double>> allowedShares {}; // by class, by region: share that the class may have there, 0 to 1
    std::vector<std::vector<double>> regionShares {}; // by class, by region
    std::vector<std::vector<double>> maxInFlightByRegion {}; // by class, by region
    std::vector<DrainReport> drains {};
    std::vector<std::string> warnings {}; // for logs and the status object
    std::vector<std::string> leavingServers {}; // by this VM's own sources

    const core::Declarations& declarations() const { return *this->inputs.declarations; }
};

// What the pipeline makes of one run.
struct ControlOutput {
    core::SteeringTablePointer table {};
    std::vector<DrainReport> drains {};
    std::vector<std::string> warnings {};
    std::vector<std::string> leavingServers {}; // leaving by this VM's own sources, for the other entry VMs
};

// Why a run publishes no table. The last one stays in force.
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
