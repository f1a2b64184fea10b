#pragma once

#include "core/hash.h"
#include "core/steering_table.h"
#include "request/choose.h"
#include "request/fair_queue.h"
#include "request/hedge.h"
#include "request/slot_times.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

// Scenarios, their random workload and simulated backend servers, for the benchmarks of server choice, head-of-line
// blocking and admission. Entry VMs in a scenario don't see each other's requests.
namespace cranberryshed::bench {

struct WorkClass {
    std::string name;
    core::WorkLength length = core::WorkLength::Short;
    double meanServiceSeconds = 0.02; // of the log-normally distributed service time
    double logSigma = 0.5; // standard deviation of the service time's logarithm
    double offeredLoad = 0; // mean demand as a share of all slots
    core::Duration deadline = std::chrono::seconds(30);
};

struct Scenario {
    std::string name;
    std::uint32_t servers = 25;
    std::uint32_t entryVms = 9;
    std::vector<WorkClass> classes;
    double slowServerShare = 0; // share of the servers that are slow at any time
    double slowdownFactor = 10;
    double meanSlowSeconds = 1; // mean length of a slow period
    core::Duration oneWayDelay = std::chrono::milliseconds(1);
    core::Duration reportInterval = std::chrono::milliseconds(500);
    core::Duration reportDelay = std::chrono::milliseconds(500);
    double firstVmFactor = 1; // arrival rate at the first entry VM relative to each of the others
    double durationSeconds = 60;
    std::uint32_t callerCount = 200;
    request::HedgeOptions hedge {}; // disabled by default
    core::Duration maxExpectedWait = std::chrono::seconds(20); // in an entry VM's queue
};

struct Job {
    core::TimePoint arrival {};
    std::uint32_t entryVm = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t caller = 0;
    double serviceSeconds = 0; // on a server that is not slow
};

struct SpeedChange {
    std::uint32_t server = 0;
    core::TimePoint time {};
    bool isSlow = false;
};

// The random input of a scenario. It is drawn before the run, so that all policies are compared on the same input.
struct Workload {
    std::vector<Job> jobs;
    std::vector<SpeedChange> speedChanges;
};

struct ClassResult {
    std::vector<double> latencySeconds; // of answered requests that arrived after the warm-up
    std::uint64_t lateCount = 0; // requests answered after their deadline
    std::uint64_t rejectedCount = 0;
    double goodputSeconds = 0; // service time of the requests answered within their deadline
};

struct SimulationResult {
    std::vector<ClassResult> classes;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0; // second attempts sent by hedging
    double capacitySeconds = 0; // number of slots times the measured time
};

inline constexpr std::uint32_t slotsPerServer = 3;

Workload drawWorkload(const Scenario&, std::uint64_t seed);

// Simulates an ideal policy: one queue for all slots, which avoids servers that are slow at the time and prefers short
// requests.
SimulationResult runIdeal(const Scenario&, const Workload&);

// Returns the value below which this fraction of the values lies, or 0 without values. Sorts the values.
double quantile(std::vector<double>& values, double fraction);

// Builds the steering table of entry VM `self`. The home subsets are disjoint; if they can't be equal, the first entry
// VMs have one server more.
std::shared_ptr<core::SteeringTable> makeTable(const Scenario&, std::uint32_t self);

// An event of a simulation. Events with the same time are handled in the order in which they were added.
struct Event {
    enum class Kind : std::uint8_t { Arrival,
        ReachedServer,
        Finished,
        ReachedEntryVm,
        Cancelled,
        HedgeDue,
        SpeedChanged,
        ReportTaken,
        ReportArrived,
        QueueCheck };
    core::TimePoint time {};
    std::uint64_t order = 0;
    Kind kind = Kind::Arrival;
    std::uint64_t subject = 0; // number of the job, attempt, speed change, server, report or entry VM, depending on the kind
    std::uint64_t version = 0; // of the server, for Finished
};

// The pending events of a simulation, ordered by time.
class EventQueue {
public:
    void add(core::TimePoint time, Event::Kind kind, std::uint64_t subject, std::uint64_t version = 0)
    {
        this->events.push({ .time = time, .order = ++this->lastOrder, .kind = kind, .subject = subject, .version = version });
    }

    bool empty() const { return this->events.empty(); }

    Event take()
    {
        const Event first = this->events.top();
        this->events.pop();
        return first;
    }

private:
    struct Later {
        bool operator()(const Event& a, const Event& b) const { return a.time != b.time ? a.time > b.time : a.order > b.order; }
    };

    std::priority_queue<Event, std::vector<Event>, Later> events;
    std::uint64_t lastOrder = 0;
};

// Simulates a backend server with slotsPerServer slots, an unbounded queue and a variable speed.
class SimulatedServer {
public:
    void add(std::uint64_t attempt, double serviceSeconds, core::TimePoint now);
    void setSpeed(double newSpeed, core::TimePoint now);
    void cancel(std::uint64_t attempt, core::TimePoint now);

    // Ends the attempt with the least remaining time and returns it. Returns nothing if the event is outdated, that is
    // if the version has changed since it was scheduled.
    std::optional<std::uint64_t> finish(std::uint64_t expectedVersion, core::TimePoint now);
    std::optional<core::TimePoint> nextFinish(core::TimePoint now) const;

    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(this->running.size() + this->waiting.size()); }
    bool hasFreeSlot() const { return this->running.size() < slotsPerServer; }
    bool isSlow() const { return this->speed < 1; }
    std::uint64_t version = 0; // incremented whenever the time of the next finish changes

private:
    struct Task {
        std::uint64_t attempt = 0;
        double remainingSeconds = 0;
    };

    void advance(core::TimePoint now);

    std::vector<Task> running;
    std::deque<Task> waiting;
    double speed = 1;
    core::TimePoint advancedAt {};
};

}
