#pragma once

#include "core/errors.h"
#include "core/steering_table.h"
#include "request/crash_history.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberryshed::request {

// Events: a front end translates its wire format into these.

// A caller's request has arrived.
struct RequestArrived {
    core::RequestId request;
    std::string host;
    std::string method;
    std::string target; // path and query
    core::CallerAddress caller {};
    std::string key; // request key; empty: none
    std::optional<core::Duration> deadline; // stated by the caller, from now; none: the class's deadline applies
    core::Fingerprint fingerprint {}; // of the content without its class, see fingerprintOf()
    std::uint64_t affinity = 0; // hash of the object that the request needs; 0: unknown
    bool replayable = true; // the front end holds the whole body and can resend it
};

// The load that a backend server reports in an answer.
struct LoadSample {
    std::uint32_t running = 0; // requests of all entry VMs
    std::uint32_t waiting = 0; // requests in the server's queue
    std::uint32_t slots = 0;
    double slowdown = 1; // current duration of work relative to the usual one
};

// The head of a backend server's answer arrived.
struct AnswerStarted {
    core::RequestId request;
    core::AttemptId attempt;
    std::uint16_t status = 0;
    bool isComplete = false; // the front end has received the whole answer, so the server's slot is free
    std::optional<LoadSample> load {};
    std::optional<core::Duration> retryAfter {}; // the time for which the server wants no more requests from this VM
};

// An attempt has ended, with or without an answer.
struct AttemptEnded {
    core::RequestId request;
    core::AttemptId attempt;
    core::AttemptResult result;
    std::uint16_t status = 0; // of the answer; 0: no answer
    std::optional<core::Duration> retryAfter; // the time for which the server wants no more requests from this VM
    std::optional<LoadSample> load {};
    std::uint64_t bytes = 0; // of the answer's body
    std::optional<core::Duration> connectTime {}; // time to open a new connection; none: no new one was opened
    bool isServerLeaving = false; // the answer states that the server is leaving
    bool isConnectionRefused = false; // no process listens on the server's address
};

// The caller closed its connection before the answer was complete. The front end keeps the attempts in flight until
// the engine cancels them, because the outcome of non-idempotent work is still recorded.
struct CallerDisconnected {
    core::RequestId request;
};

// A timer set by SetTimer has expired.
struct TimerDue {
    core::RequestId request;
};

// Another traffic thread has released a slot, or a new steering table has been set.
struct CapacityChanged { };

// The result of a CheckServer.
struct ServerChecked {
    std::uint64_t serverKey = 0; // ServerEntry::key
    core::Reachability reachability = core::Reachability::Unknown;
};

using Event = std::variant<RequestArrived, AnswerStarted, AttemptEnded, CallerDisconnected, TimerDue, CapacityChanged, ServerChecked>;

// Commands: the front end executes these in order.

// The estimates on which a chooser based its choice of a backend server.
struct ChoiceBasis {
    double others = 0; // estimated requests of other entry VMs at the server
    core::Duration reportAge {}; // age of the newest load report used for the estimate; 0: none
    core::Duration expected {}; // expected time until the answer
    core::Duration roundTrip {}; // network round trip to the server, included in `expected`
    core::Duration connect {}; // time to open a connection, included in `expected`; 0: one is open
    bool hasFreeSlot = false; // the server was expected to run the request without queueing
    bool isWarm = false; // the server is assumed to have the request's object cached from a recent run
};

// Sends the request to a backend server.
struct SendAttempt {
    core::RequestId request;
    core::AttemptId attempt;
    core::ServerIndex server; // index in `table`
    core::SteeringTablePointer table;
    core::TimePoint deadline;
    unsigned attemptNumber = 1; // 1 for the first attempt of the request
    ChoiceBasis basis {};
};

// Aborts an attempt. The attempt holds its slot until AttemptEnded.
struct CancelAttempt {
    core::RequestId request;
    core::AttemptId attempt;
};

// Relays this attempt's answer to the caller, from its head on. The request ends with this attempt's AttemptEnded; if
// its result is not Answered, the front end aborts the caller's connection so that the caller notices.
struct RelayAnswer {
    core::RequestId request;
    core::AttemptId attempt;
};

// Answers the caller with an error of this system and ends the request. Each request gets exactly one RelayAnswer or
// Reject, also after CallerDisconnected (then with error CallerGone, which reaches no caller).
struct Reject {
    core::RequestId request;
    core::ErrorKind error;
    std::string key; // for KeyRequired: the key to use
    std::optional<core::Duration> retryAfter;
    std::uint16_t firstStatus = 0; // for KeyUsed: the status of the first answer, 0 if unknown
    std::optional<KnownCrashes> crashes {}; // of backend servers by this request, for logs
};

// Delivers TimerDue at this time. Replaces the earlier timer of the same request.
struct SetTimer {
    core::RequestId request;
    core::TimePoint time;
};

// Opens a connection to a backend server that broke one, to learn whether it still runs. ServerChecked reports the result.
struct CheckServer {
    core::ServerIndex server; // index in `table`
    core::SteeringTablePointer table;
};

using Command = std::variant<SendAttempt, CancelAttempt, RelayAnswer, Reject, SetTimer, CheckServer>;
using Commands = std::vector<Command>;

// Observations: traffic threads report these to control.

// The result of one attempt.
struct AttemptObserved {
    std::string server; // name
    core::AttemptResult result;
    core::Duration elapsed {}; // until the head of the answer, or until the end if there was none
    core::WorkLength length = core::WorkLength::Short;
    std::string className {};
    core::Duration slotTime {}; // time from sending the attempt to its end
    std::uint64_t serverKey = 0; // ServerEntry::key
    bool isServerLeaving = false; // the answer states that the server is leaving
};

// A backend server broke a connection without an answer while it ran these requests.
struct CrashObserved {
    std::string server; // name
    std::vector<core::Fingerprint> inFlight;
    bool isolated = false; // a suspect ran there alone, as far as this entry VM can tell, and has now crashed a second server
};

// A request that was suspected of crashing backend servers was answered, so it is no longer a suspect.
struct SuspectCleared {
    core::Fingerprint fingerprint;
};

// A request has crashed `count` backend servers one after another.
struct RequestCrashed {
    core::Fingerprint fingerprint; // of CrashKeys
    unsigned count = 0;
    std::string server; // name of the last one
};

// A request that has crashed servers was answered, so its crashes no longer count.
struct CrashesForgotten {
    core::Fingerprint fingerprint; // of CrashKeys
};

// The number of requests of one class since the previous observation, sent about once per second.
struct DemandObserved {
    std::string className;
    std::uint32_t arrived = 0;
    std::uint32_t rejected = 0;
};

using Observation = std::variant<AttemptObserved, CrashObserved, SuspectCleared, RequestCrashed, CrashesForgotten, DemandObserved>;
using Observations = std::vector<Observation>;

}
