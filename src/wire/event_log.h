#pragma once

#include "core/names.h"
#include "core/steering_table.h"
#include "core/types.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>
#include <variant>

namespace cranberryshed::wire {

// The event of a structured log line: a decision about a request, or a change of the process's state or of its view of
// the fleet.
enum class LogEvent : std::uint8_t {
    Start,
    Stop,
    Reload,
    DependencyLost,
    DependencyRegained,
    StoreReturned, // the store came back from an older copy of itself, which began a new era
    EraIgnored, // an answer of the store stated an era that can't be used
    ObjectIgnored, // an object that the store reported was turned down, because a newer state of it is known
    WatchReplaced, // a pending watch of the store was given up, because other members know more or nobody has news
    Configuration, // another configuration is in force
    ServerState, // a backend server was added, changed its state or was removed
    MemberState, // another entry VM changed its state
    Evacuation, // the servers of a failure domain stopped getting requests, or get them again
    Sent, // a request was sent to a backend server
    AttemptEnded, // an attempt at a backend server ended, with or without an answer
    Answered, // the answer of a backend server was relayed to the caller
    Refused, // the caller got an error answer of cranberryshed itself
    CallerGone, // the caller closed its connection before the answer
    RequestCrashed, // a request has crashed a backend server, and how many others before
    CrashesForgotten, // a request that has crashed backend servers was answered
    ServerChecked, // whether a backend server that broke a connection without an answer still accepts connections
};

// The fields of a log line.
enum class LogField : std::uint8_t {
    Request, // the request id that the caller stated
    Class,
    Object, // hash of the object that the request needs
    Server,
    Domain,
    Member,
    State,
    Result,
    Status,
    Error,
    Attempt, // number of the attempt, from 1
    ElapsedMs, // since the request arrived, or since the attempt was sent
    LeftMs, // until the deadline
    WaitedMs, // from the arrival of the request until this attempt was sent
    InFlight, // requests of this entry VM at the server
    Others, // estimated requests of other entry VMs at the server
    ExpectedMs, // expected time until the answer, estimated when the request was sent
    Warm, // 1 if the server is assumed to have the request's object cached from a recent run
    AgeMs, // age of the newest load report used for the decision
    RetryAfterMs,
    Version, // of the configuration in force
    Table, // generation of the steering table
    TableAgeMs, // since the steering table was built
    KnowledgeAgeMs, // since the store last confirmed that the configuration in force is the newest; -1: unknown
    Source, // of a new configuration
    Era, // of the store, in which `revision` was assigned
    KnownEra, // the same for the state that is known already
    Revision, // of an object in the store
    KnownRevision, // of the state of an object that is known already
    Kind, // of an object in the store
    Name, // of an object in the store
    Taken, // objects of a list that are newer than what was known
    Kept, // known states and removals that a list contradicts
    Fingerprint, // of a request that has crashed backend servers, in hexadecimal
    Crashes, // backend servers that it has crashed one after another
    Reason,
    Dropped, // lines of this event left out by the rate limit since its previous line, and lines of any event that the
             // output did not accept since the previous line
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::wire::LogEvent> {
    static constexpr std::array<std::string_view, 21> values = { "start", "stop", "reload", "dependency-lost", "dependency-regained", "store-returned", "era-ignored", "object-ignored", "watch-replaced", "configuration", "server-state", "member-state", "evacuation", "sent", "attempt-ended", "answered", "refused", "caller-gone", "request-crashed", "crashes-forgotten", "server-checked" };
};

template <>
struct cranberryshed::core::Names<cranberryshed::wire::LogField> {
    static constexpr std::array<std::string_view, 37> values = { "request", "class", "object", "server", "domain", "member", "state", "result", "status", "error", "attempt", "elapsedMs", "leftMs", "waitedMs", "inFlight", "others", "expectedMs", "warm", "ageMs", "retryAfterMs", "version", "table", "tableAgeMs", "knowledgeAgeMs", "source", "era", "knownEra", "revision", "knownRevision", "kind", "name", "taken", "kept", "fingerprint", "crashes", "reason", "dropped" };
};

namespace cranberryshed::wire {

// A field of a log line and its value.
struct LogFieldValue {
    LogField field {};
    std::variant<std::string_view, std::int64_t, double> value;
};

inline std::int64_t wholeMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// The time since the store last confirmed the configuration; -1 if it never did.
LogFieldValue knowledgeAge(const std::optional<core::ConfigurationOrigin>&, core::TimePoint now);

// Maximum number of lines written per second for one event. Lines that exceed it are left out, and the event's next
// line states their number in LogField::Dropped.
struct EventRateLimits {
    double maxRoutinePerSecond = 20; // lines about normal operation
    double maxFailuresPerSecond = 60; // lines about failures
};

// Writes one JSON line. Never blocks: a line that standard output can't accept immediately is dropped and counted.
// Thread-safe. Does nothing before startEventLog().
void logEvent(LogEvent, std::initializer_list<LogFieldValue>, std::span<const LogFieldValue> more = {});

// Returns whether the rate limit admits a line of this event now. Consumes a token of the limit, so call it once per
// line, before the line's fields are computed. Thread-safe.
bool tryAdmitEvent(LogEvent, bool failure, core::TimePoint now);

// Writes spdlog's lines and the events to standard output through a sink that never blocks.
void startEventLog();

}
