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

// A row of backend servers and the deciding parts of some entry VMs, which don't see each other's requests.
// Shared by the benchmarks of choice, head-of-line blocking and admission.
namespace cranberryshed::bench {

struct WorkClass {
    std::string name;
    core::WorkLength length = core::WorkLength::Short;
    double meanSeconds = 0.02; // of the time on a slot; log-normal
    double sigma = 0.5; // of the logarithm
    double load = 0; // share of all slots that it asks for
    core::Duration deadline = std::chrono::seconds(30);
};

struct Scenario {
    std::string name;
    std::uint32_t servers = 25;
    std::uint32_t entryVms = 9;
    std::vector<WorkClass> classes;
    double slowShare = 0; // share of time that a server is slow
    double slowFactor = 10;
    double slowSeconds = 1; // mean length of a slow moment
    core::Duration oneWay = std::chrono::milliseconds(1);
    core::Duration reportEvery = std::chrono::milliseconds(500);
    core::Duration reportLag = std::chrono::milliseconds(500);
    double hotFactor = 1; // arrivals at the first entry VM, in arrivals at each of the others
    double seconds = 60;
    std::uint32_t callers = 200;
    request::HedgeOptions hedge {}; // off unless enabled
    core::Duration queueLimit = std::chrono::seconds(20); // longest expected wait in an entry VM
};

struct Job {
    core::TimePoint arrival {};
    std::uint32_t entryVm = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t caller = 0;
    double work = 0; // seconds on a slot that is not slow
};

struct SlowMoment {
    std::uint32_t server = 0;
    core::TimePoint time {};
    bool slow = false;
};

// Everything random in a scenario, drawn before the run, so that every policy meets the same events.
struct Events {
    std::vector<Job> jobs;
    std::vector<SlowMoment> moments;
};

struct ClassResult {
    std::vector<double> latencies; // seconds, of answered requests after the warm-up
    std::uint64_t late = 0; // answered after the deadline
    std::uint64_t rejected = 0;
    double goodWork = 0; // seconds on a slot, of answers within the deadline
};

struct Result {
    std::vector<ClassResult> classes;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0; // second attempts
    double capacity = 0; // seconds on a slot in the measured time
};

inline constexpr std::uint32_t slotsPerServer = 3;

Events drawEvents(const Scenario&, std::uint64_t seed);

// One queue over all slots that knows which servers are slow at present; short work goes first.
Result runIdeal(const Scenario&, const Events&);

// The value below which this share of the values lies; sorts the values.
double quantile(std::vector<double>& values, double share);

// A table as entry VM `self` sees it: home parts are disjoint, the rest of the division goes to the first ones.
std::shared_ptr<core::SteeringTable> makeTable(const Scenario&, std::uint32_t self);

// What happens in a run, ordered by time.
struct Happening {
    enum class Kind : std::uint8_t { Arrival,
        AtServer,
        Finished,
        AtEntryVm,
        Cancelled,
        HedgeDue,
        Moment,
        ReportTaken,
        ReportArrived,
        Deadline };
    core::TimePoint time {};
    std::uint64_t order = 0;
    Kind kind = Kind::Arrival;
    std::uint64_t subject = 0; // job, attempt, server or entry VM
    std::uint64_t version = 0;
};

class Agenda {
public:
    void add(core::TimePoint time, Happening::Kind kind, std::uint64_t subject, std::uint64_t version = 0)
    {
        this->events.push({ .time = time, .order = ++this->lastOrder, .kind = kind, .subject = subject, .version = version });
    }

    bool empty() const { return this->events.empty(); }

    Happening take()
    {
        const Happening first = this->events.top();
        this->events.pop();
        return first;
    }

private:
    struct Later {
        bool operator()(const Happening& a, const Happening& b) const { return a.time != b.time ? a.time > b.time : a.order > b.order; }
    };

    std::priority_queue<Happening, std::vector<Happening>, Later> events;
    std::uint64_t lastOrder = 0;
};

// A backend server: three slots, a queue for what exceeds them, and a speed that changes.
class FakeServer {
public:
    void add(std::uint64_t attempt, double work, core::TimePoint now);
    void setSpeed(double newSpeed, core::TimePoint now);
    void cancel(std::uint64_t attempt, core::TimePoint now);
    std::optional<std::uint64_t> finish(std::uint64_t expectedVersion, core::TimePoint now); // the attempt that finished
    std::optional<core::TimePoint> nextFinish(core::TimePoint now) const;

    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(this->running.size() + this->waiting.size()); }
    bool hasFreeSlot() const { return this->running.size() < slotsPerServer; }
    bool isSlow() const { return this->speed < 1; }
    std::uint64_t version = 0; // changes with every change of the next finish

private:
    struct Task {
        std::uint64_t attempt = 0;
        double remaining = 0;
    };

    void advance(core::TimePoint now);

    std::vector<Task> running;
    std::deque<Task> waiting;
    double speed = 1;
    core::TimePoint advancedAt {};
};

}
