#pragma once

#include "request/context.h"
#include "request/crash.h"
#include "request/headroom.h"
#include "request/hedge.h"
#include "request/keys.h"
#include "request/recent_failures.h"
#include "request/retry.h"
#include "request/retry_allowance.h"
#include "request/selected_queue.h"
#include "request/service_times.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace cranberryshed::request {

struct EngineOptions {
    SelectedQueue::Options queue {};
    RetryOptions retry {};
    RetryAllowance::Options retryAllowance {}; // if it has a share, it stands in place of the classes' retry budgets
    HedgeOptions hedge {};
    RecentFailures::Options servers {};
    Headroom::Options headroom {};
    // How long after the table says leaving new requests on open connections are still served. Callers may use
    // a look-up answer for 5 s, and a table reaches a traffic thread within a fraction of a second.
    core::Duration shutdownGrace = std::chrono::seconds(8);
    std::size_t maxIsolations = 2; // suspects that run or wait for a reserved server at the same time
    // How long the error of a request that was in flight in a crash is held back, at most until its deadline. A
    // caller that gets it may send the request again at once, through an entry VM that does not know it yet.
    core::Duration crashErrorDelay = std::chrono::seconds(1);
    unsigned maxSends = 6; // attempts of one request, refused ones included
    // Whether a server that refused a request may get it again. Objects are fast at their own server only, and a server
    // that sheds a part of its requests takes the next one.
    bool canRetryRefusingServer = false;
    core::Duration cancelGrace = std::chrono::seconds(2); // a cancelled attempt whose end is not reported by then is over
    core::Duration sweepInterval = std::chrono::seconds(1);
};

// What all traffic threads of a process share.
struct SharedState {
    std::shared_ptr<KeyRegistry> keys;
    std::shared_ptr<CrashRegistry> crashes;
};

// For one start of the entry VM `member`. The seed must differ between starts: it makes the keys' nonces.
SharedState makeSharedState(std::string_view member, core::Incarnation, std::uint64_t seed, KeyOptions = {}, CrashOptions = {});

// What one traffic thread remembers about a class of work, across tables.
struct ClassState {
    std::uint64_t classKey = 0; // hash of the class's name
    std::uint64_t serviceKey = 0; // hash of the service's name
    core::WorkLength length = core::WorkLength::Short;
    TokenBudget retryBudget;
    TokenBudget hedgeBudget;
    QuantileTracker headLatency; // from sending to the head of the answer
    std::uint32_t inFlight = 0; // attempts
    DemandObserved demand;
    core::Duration maxStatedDeadline {}; // that a caller stated
    double splitCredit = 0; // what the class is behind its weight in its route, see SplitRoute
};

// One attempt that holds a slot. It may outlive its request: a cancelled attempt holds its slot until it ends.
struct Attempt {
    core::RequestId request {};
    core::SteeringTablePointer table;
    core::ServerIndex server {}; // of `table`
    core::Fingerprint fingerprint {};
    ClassState* classState = nullptr;
    core::TimePoint sentAt {};
    std::optional<core::TimePoint> headAt;
    bool isolated = false;
    ChoiceBasis basis {};
    bool slotReleased = false; // its slot was given back when the whole answer had arrived
    std::optional<core::TimePoint> cancelledAt;

    const core::ServerEntry& serverEntry() const { return this->table->at(this->server); }
};

enum class Phase : std::uint8_t { Starting, // is being sent
    Queued, // waits for a slot
    AwaitingIsolation, // waits for a server on which nothing else runs
    Backoff, // waits until the next attempt is due
    DelayingError, // has failed; its answer waits until the other entry VMs know the suspect
    InFlight };

// One request that has not ended.
struct ActiveRequest {
    Context context;
    ClassState* classState = nullptr;
    Phase phase = Phase::Starting;
    std::vector<core::AttemptId> liveAttempts; // attempts in flight that have not been cancelled
    std::vector<std::uint64_t> triedServers; // ServerEntry::key of each attempt that the server did not refuse
    unsigned sendCount = 0; // attempts, refused ones included
    std::optional<core::AttemptId> relayedAttempt; // whose answer the caller gets
    std::optional<core::TimePoint> nextActionAt; // when a retry or hedge is due
    core::TimePoint timerAt {}; // the last SetTimer
    bool mayHaveRun = false; // an attempt that ended may have run the request
    bool callerGone = false;
    // The server reserved for an isolated run, until the attempt is sent and takes the reservation over.
    std::shared_ptr<core::SlotCounter> reservation;
    std::uint64_t reservedServerKey = 0; // ServerEntry::key
};

// The state of one traffic thread's engine and the steps that several filters share.
class State {
public:
    // Throws core::Error (BadSettings) if a shared part is missing.
    State(EngineOptions, SharedState, std::uint64_t seed);

    void setTable(core::SteeringTablePointer);

    // Starts an event: where commands and observations go until the next one.
    void beginEvent(core::TimePoint now, Commands&, Observations&);
    template <typename CommandType>
    void emit(CommandType command)
    {
        this->commands->emplace_back(std::move(command));
    }
    template <typename ObservationType>
    void observe(ObservationType observation)
    {
        this->observations->emplace_back(std::move(observation));
    }

    ClassState& classStateOf(const core::ClassEntry&);
    ActiveRequest* find(core::RequestId);

    // Asks for a timer at the next time that matters to the request, unless it is already set.
    void armTimer(ActiveRequest&);

    // Cancels one attempt in flight. Its slot is held until its end is reported.
    void cancelAttempt(ActiveRequest&, core::AttemptId, core::TimePoint now);

    // Cancels the attempts in flight, except the one whose answer is relayed.
    void cancelAttempts(ActiveRequest&, core::TimePoint now);

    // Ends the request with an error and cancels what is in flight. A kind that says "not run" is replaced if an attempt may have run.
    void reject(ActiveRequest&, core::ErrorKind, core::TimePoint now, std::optional<core::Duration> retryAfter = {});

    // Ends the request: settles its key and leaves queues and reservations.
    void finish(ActiveRequest&, core::TimePoint now);

    // Gives back the server that the request reserved and did not use.
    void endReservation(ActiveRequest&);

    // Takes an extra attempt from the budget of the class or the allowance of its service.
    bool trySpendRetry(ClassState&, core::TimePoint now);

    // Gives back the slot of an attempt that ended.
    void releaseSlot(Attempt&);

    // Attempts of this thread in flight in the lane of the class: same service, same length of work.
    double laneInFlight(const ClassState&) const;

    const EngineOptions options;
    SharedState shared;
    core::RandomEngine random;
    core::SteeringTablePointer table;
    std::optional<core::TimePoint> leavingSince;
    std::unordered_map<core::RequestId, ActiveRequest> activeRequests;
    std::unordered_map<core::AttemptId, Attempt> attempts;
    std::map<std::string, ClassState, std::less<>> classes;
    SelectedQueue queue;
    std::deque<core::RequestId> waitingSuspects; // in phase AwaitingIsolation, in their order
    std::size_t reservedServerCount = 0; // servers that this thread has reserved
    std::unordered_map<std::uint64_t, RetryAllowance> retryAllowances; // by service
    RecentFailures servers;
    ServiceTimes serviceTimes; // that attempts hold a slot, by class
    Headroom headroom;
    std::uint64_t lastAttemptId = 0;
    core::TimePoint lastSweepAt {};

private:
    void settleKey(const ActiveRequest&);

    Commands* commands = nullptr;
    Observations* observations = nullptr;
};

}
