#pragma once

#include "request/context.h"
#include "request/crash.h"
#include "request/headroom.h"
#include "request/hedge.h"
#include "request/keys.h"
#include "request/recent_answers.h"
#include "request/recent_failures.h"
#include "request/retry.h"
#include "request/retry_allowance.h"
#include "request/selected_queue.h"
#include "request/server_pauses.h"
#include "request/slot_times.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace cranberryshed::request {

// Settings of the request engine of one traffic thread.
struct EngineOptions {
    SelectedQueue::Options queue {};
    RetryOptions retry {};
    RetryAllowance::Options retryAllowance {}; // if its share is above 0, it replaces the retry budgets of the classes
    HedgeOptions hedge {};
    RecentFailures::Options recentFailures {};
    Headroom::Options headroom {};
    // How long new requests on open connections are still served after the steering table marks this entry VM as
    // leaving. Callers can use a look-up answer for up to 6 s, and a table reaches a traffic thread within a fraction
    // of a second.
    core::Duration shutdownGrace = std::chrono::seconds(8);
    // The time from that mark until what is still in flight is broken off. A new request with a later deadline is
    // rejected, because its caller may be unable to repeat it once a server has begun to run it.
    core::Duration shutdownEnd = core::Duration::max();
    std::size_t maxIsolations = 2; // servers that one thread reserves for suspects at the same time
    // How long the error answer to a request that was in flight in a crash is delayed, at most until its deadline.
    // Otherwise its caller could resend it at once through an entry VM that has not yet learned of the suspect.
    core::Duration crashErrorDelay = std::chrono::seconds(1);
    // How long an answer shows that a request with the same fingerprint doesn't crash servers.
    core::Duration answerValidity = std::chrono::seconds(5);
    unsigned maxSends = 6; // attempts per request, including those that servers refused
    // Whether a request can be sent again to a server that refused it. An object is fast only at the server that has
    // it warm, and a server that refuses some requests can accept the next attempt.
    bool canRetryRefusingServer = false;
    core::Duration cancelGrace = std::chrono::seconds(2); // a cancelled attempt is ended if no AttemptEnded arrives within this time
    core::Duration sweepInterval = std::chrono::seconds(1);
};

// State that all traffic threads of a process share. Its members are thread-safe.
struct SharedState {
    std::shared_ptr<KeyRegistry> keys;
    std::shared_ptr<CrashRegistry> crashes;
    std::shared_ptr<ServerPauses> pauses;
    std::shared_ptr<CrashHistory> crashHistory;
};

// Creates the shared state for one incarnation of the entry VM `member`. The seed generates the nonces of request
// keys, so it must differ between incarnations.
SharedState makeSharedState(std::string_view member, core::Incarnation, std::uint64_t seed, KeyOptions = {}, CrashOptions = {});

// State of one class of work on one traffic thread. It survives changes of the steering table.
struct ClassState {
    std::uint64_t classKey = 0; // hash of the class's name
    std::uint64_t serviceKey = 0; // hash of the service's name
    core::WorkLength length = core::WorkLength::Short;
    TokenBudget retryBudget;
    TokenBudget hedgeBudget;
    QuantileTracker headLatency; // time from sending an attempt to the head of its answer
    std::uint32_t slotsHeld = 0; // by attempts of this class, including cancelled ones that have not ended
    DemandObserved demand;
    core::Duration maxStatedDeadline {}; // longest deadline that a caller has stated
    double splitCredit = 0; // credit for the weighted split of its route, see SplitRoute
};

// One attempt. It can outlive its request: a cancelled attempt holds its slot until it ends.
struct Attempt {
    core::RequestId request {};
    core::SteeringTablePointer table;
    core::ServerIndex server {}; // index in `table`
    core::Fingerprint fingerprint {};
    CrashKeys crashKeys {};
    CrashCounts earlierCrashes {}; // known when it was sent
    ClassState* classState = nullptr;
    core::TimePoint sentAt {};
    std::optional<core::TimePoint> headAt;
    bool isolated = false;
    ChoiceBasis basis {};
    bool slotReleased = false; // the slot is released once the whole answer has arrived, or when the attempt ends
    std::optional<core::TimePoint> cancelledAt;

    const core::ServerEntry& serverEntry() const { return this->table->at(this->server); }
};

enum class Phase : std::uint8_t { Starting, // about to be sent
    Queued, // waits for a slot in State::queue
    AwaitingIsolation, // waits for a server on which no other request runs
    Backoff, // waits until the next attempt is due
    DelayingError, // has failed; its error answer is delayed until the other entry VMs have learned of the suspect
    InFlight };

// One request that has not ended.
struct ActiveRequest {
    Context context;
    ClassState* classState = nullptr;
    Phase phase = Phase::Starting;
    std::vector<core::AttemptId> liveAttempts; // attempts in flight that have not been cancelled
    std::vector<std::uint64_t> triedServers; // ServerEntry::key per attempt; without refused ones if EngineOptions::canRetryRefusingServer
    unsigned sendCount = 0; // attempts sent, including refused ones
    unsigned deliveredCount = 0; // attempts that have reached their server, or may have
    std::optional<core::AttemptId> relayedAttempt; // the attempt whose answer is relayed to the caller
    std::optional<core::TimePoint> nextActionAt; // when a retry, a hedge or a delayed error answer is due
    core::TimePoint timerAt {}; // time of the last SetTimer; the epoch once it has fired
    bool mayHaveRun = false; // an attempt that ended or was cancelled may have run the request
    bool callerGone = false;
    std::optional<core::TimePoint> retryTakenAt; // when the next attempt was taken from the retry allowance
    // Slots of the server reserved for an isolated run. Once the attempt is sent, it owns the reservation.
    std::shared_ptr<core::SlotCounter> reservation;
    std::uint64_t reservedServerKey = 0; // ServerEntry::key
};

// State of one traffic thread's engine, and the operations that several filters share.
class State {
public:
    // Throws core::Error (BadSettings) if a member of `shared` is null.
    State(EngineOptions, SharedState, std::uint64_t seed);

    void setTable(core::SteeringTablePointer);

    // Starts the handling of one event. Commands and observations are appended to these vectors until the next call.
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

    // Sets the request's timer to its deadline or its next action, whichever is earlier, unless it is already set so.
    void armTimer(ActiveRequest&);

    // Cancels one attempt in flight. The attempt holds its slot until AttemptEnded.
    void cancelAttempt(ActiveRequest&, core::AttemptId, core::TimePoint now);

    // Cancels all attempts in flight, except the one whose answer is relayed.
    void cancelAttempts(ActiveRequest&, core::TimePoint now);

    // Ends the request with an error answer and cancels its attempts in flight. If an attempt may have run, a kind that
    // states "not run" is replaced by one that does not.
    void reject(ActiveRequest&, core::ErrorKind, core::TimePoint now, std::optional<core::Duration> retryAfter = {});

    // Ends the request: records the outcome for its key and removes it from queues and reservations.
    void finish(ActiveRequest&, core::TimePoint now);

    // The key of the request with the most crashes, as far as this entry VM knows; nothing if there are none.
    std::optional<KnownCrashes> crashesOf(const Context&) const;

    // Whether the crashes of the request allow that it is sent to a server, or to one more.
    bool allowsNextAttempt(const ActiveRequest&, core::TimePoint now) const;

    // The key of the request because of which it is sent only as a probe; nothing if there is none. An answer to the same
    // key here, a short time ago, shows that it was only beside the cause.
    std::optional<KnownCrashes> refusingCrashes(const Context&, core::TimePoint now) const;

    // Reports to control the crashes that are due for it.
    void reportCrashes(core::TimePoint now);

    // Releases the server that the request has reserved but not used.
    void endReservation(ActiveRequest&);

    // Takes one extra attempt from the retry budget of the class or from the retry allowance of its service. Returns
    // false if none is left.
    bool trySpendRetry(ClassState&, core::TimePoint now);

    // If the request's attempt was taken from the retry allowance, counts it there at `now` instead of when it was taken.
    void recordRetrySent(ActiveRequest&, core::TimePoint now);

    // Releases the slot of an attempt that has ended or whose whole answer has arrived. Does nothing the second time.
    void releaseSlot(Attempt&);

    // Number of slots that this thread's attempts hold in the lane of the class (same service, same length of work), at
    // least 1.
    double laneSlotsHeld(const ClassState&) const;

    // The servers that the request's next attempt must not use.
    Exclusions exclusionsFor(const ActiveRequest&, core::TimePoint now) const;

    const EngineOptions options;
    SharedState shared;
    core::RandomEngine random;
    core::SteeringTablePointer table;
    std::optional<core::TimePoint> leavingSince;
    std::unordered_map<core::RequestId, ActiveRequest> activeRequests;
    std::unordered_map<core::AttemptId, Attempt> attempts;
    std::map<std::string, ClassState, std::less<>> classes;
    SelectedQueue queue;
    std::deque<core::RequestId> waitingSuspects; // in phase AwaitingIsolation, oldest first
    std::size_t reservedServerCount = 0; // servers that this thread has reserved for suspects
    std::unordered_map<std::uint64_t, RetryAllowance> retryAllowances; // by serviceKey
    RecentFailures recentFailures;
    RecentAnswers recentAnswers;
    std::unordered_set<std::uint64_t> serversBeingChecked; // by ServerEntry::key
    SlotTimes slotTimes; // how long attempts hold a slot, by class
    Headroom headroom;
    std::uint64_t lastAttemptId = 0;
    core::TimePoint lastSweepAt {};
    std::optional<core::TimePoint> startedAt; // time of the first event

private:
    void settleKey(const ActiveRequest&);

    Commands* commands = nullptr;
    Observations* observations = nullptr;
};

}
