#pragma once

#include "core/errors.h"
#include "core/steering_table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberryshed::request {

// What happens to a request. A front end turns its wire format into these.

struct RequestArrived {
    core::RequestId request;
    std::string host;
    std::string method;
    std::string target; // path and query
    core::CallerAddress caller {};
    std::string key; // empty: none
    std::optional<core::Duration> deadline; // from now; none: the class's
    core::Fingerprint fingerprint {}; // of the content, see fingerprintOf()
    std::uint64_t affinity = 0; // hash of what the request is about; 0: unknown
    bool replayable = true; // the front end still holds the whole body and can send it again
};

// The load that a backend server states in an answer.
struct LoadSample {
    std::uint32_t running = 0; // requests of all entry VMs
    std::uint32_t waiting = 0; // in its own queue
    std::uint32_t slots = 0;
    double slowdown = 1; // how long work takes at this moment, relative to usual
};

// The head of a backend server's answer arrived.
struct AnswerStarted {
    core::RequestId request;
    core::AttemptId attempt;
    std::uint16_t status = 0;
    bool complete = false; // the front end holds the whole answer, so the server's slot is free
    std::optional<LoadSample> load {};
};

struct AttemptEnded {
    core::RequestId request;
    core::AttemptId attempt;
    core::AttemptResult result;
    std::uint16_t status = 0; // of the answer, 0 if none
    std::optional<core::Duration> retryAfter; // the backend server's hint
    std::optional<LoadSample> load {};
    std::uint64_t bytes = 0; // of the answer's body
    std::optional<core::Duration> connectTime {}; // of a new connection
};

// The caller closed its connection before the answer was complete. An attempt in flight goes on until the
// engine cancels it: the outcome of non-idempotent work is still recorded.
struct CallerDisconnected {
    core::RequestId request;
};

// A time asked for by SetTimer has come.
struct TimerDue {
    core::RequestId request;
};

// Another traffic thread freed a slot, or a new steering table is in force.
struct CapacityChanged { };

using Event = std::variant<RequestArrived, AnswerStarted, AttemptEnded, CallerDisconnected, TimerDue, CapacityChanged>;

// What the front end does next.

// What a chooser knew of the backend server that it chose.
struct ChoiceBasis {
    double others = 0; // requests of other entry VMs there, as estimated
    core::Duration reportAge {}; // of the newest load report behind the estimate; 0: none
    core::Duration expected {}; // until the answer
    core::Duration roundTrip {}; // to the server and back, of that
    core::Duration connect {}; // to open a connection, of that; 0: one is open
    bool slotFree = false; // the server was expected to run the request at once
    bool warm = false; // the server is taken to have run the request's object recently
};

struct SendAttempt {
    core::RequestId request;
    core::AttemptId attempt;
    core::ServerIndex server; // of `table`
    core::SteeringTablePointer table;
    core::TimePoint deadline;
    unsigned attemptNumber = 1; // of the request's attempts
    ChoiceBasis basis {};
};

struct CancelAttempt {
    core::RequestId request;
    core::AttemptId attempt;
};

// Passes this attempt's answer to the caller, from its head on. The request ends with this attempt's
// AttemptEnded; if that says anything but Answered, the caller's connection is broken visibly.
struct RelayAnswer {
    core::RequestId request;
    core::AttemptId attempt;
};

// Answers the caller with an error of the system's own. Ends the request. Each request gets exactly one
// RelayAnswer or Reject, also after CallerGone (error CallerGone, which nobody reads).
struct Reject {
    core::RequestId request;
    core::ErrorKind error;
    std::string key; // for KeyRequired: the key to use
    std::optional<core::Duration> retryAfter;
    std::uint16_t firstStatus = 0; // for KeyUsed: the status of the first answer, 0 if unknown
};

// Delivers TimerDue at this time; replaces an earlier wait of the same request.
struct SetTimer {
    core::RequestId request;
    core::TimePoint time;
};

using Command = std::variant<SendAttempt, CancelAttempt, RelayAnswer, Reject, SetTimer>;
using Commands = std::vector<Command>;

// What traffic tells control.

// One attempt that ended.
struct AttemptObserved {
    std::string server; // name
    core::AttemptResult result;
    core::Duration elapsed {}; // until the head of the answer, or until the end if there was none
    core::WorkLength length = core::WorkLength::Short;
    std::string className {};
    core::Duration slotTime {}; // how long the attempt held its slot
};

// A backend server broke a connection without an answer while it ran these requests.
struct CrashObserved {
    std::string server; // name
    std::vector<core::Fingerprint> inFlight;
    bool isolated = false; // its only request, as far as this entry VM can tell: the second crash of that request
};

// A request that was suspected of crashing a backend server was answered.
struct SuspectCleared {
    core::Fingerprint fingerprint;
};

// The requests of one class since the last such observation, about once a second.
struct DemandObserved {
    std::string className;
    std::uint32_t arrived = 0;
    std::uint32_t rejected = 0;
};

using Observation = std::variant<AttemptObserved, CrashObserved, SuspectCleared, DemandObserved>;
using Observations = std::vector<Observation>;

}
