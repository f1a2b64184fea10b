#pragma once

#include "core/names.h"
#include "core/types.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace cranberryshed::wire {

// What a structured log line is about: one decision that touches a request or changes what the process believes.
enum class LogEvent : std::uint8_t {
    Start,
    Stop,
    Reload,
    DependencyLost,
    DependencyRegained,
    Configuration, // another configuration is in force
    ServerState, // a backend server appeared, changed its state or is gone
    MemberState, // another entry VM changed its state
    Evacuation, // a failure domain's servers get no more work, or get work again
    Sent, // a request went to a backend server
    AttemptEnded, // a backend server's answer, or why there is none
    Answered, // the caller got a backend server's answer
    Refused, // the caller got an answer of the system's own
    CallerGone,
};

// The fields of a log line.
enum class LogField : std::uint8_t {
    Request, // the caller's id of the request
    Class,
    Object, // hash of what the request is about
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
    Others, // requests of other entry VMs at the server, as estimated
    ExpectedMs, // until the answer, when it was sent
    Warm, // 1: the server is taken to have run the request's object recently
    AgeMs, // of the newest load report that went into the decision
    RetryAfterMs,
    Version, // of the configuration in force
    Table, // generation of the steering table
    Reason,
    Dropped, // lines of this event that were left out since the last one
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::wire::LogEvent> {
    static constexpr std::array<std::string_view, 14> values = { "start", "stop", "reload", "dependency-lost", "dependency-regained", "configuration", "server-state", "member-state", "evacuation", "sent", "attempt-ended", "answered", "refused", "caller-gone" };
};

template <>
struct cranberryshed::core::Names<cranberryshed::wire::LogField> {
    static constexpr std::array<std::string_view, 24> values = { "request", "class", "object", "server", "domain", "member", "state", "result", "status", "error", "attempt", "elapsedMs", "leftMs", "waitedMs", "inFlight", "others", "expectedMs", "warm", "ageMs", "retryAfterMs", "version", "table", "reason", "dropped" };
};

namespace cranberryshed::wire {

struct LogFieldValue {
    LogField field {};
    std::variant<std::string_view, std::int64_t, double> value;
};

inline std::int64_t wholeMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// How many lines of one event are written per second. What is left out is counted in the event's next line.
struct EventRateLimits {
    double maxRoutinePerSecond = 20; // lines about what went as it should
    double maxFailuresPerSecond = 60; // lines about what did not
};

// Writes one JSON line. Never blocks: a line that the output can't take at once is dropped and counted.
// Safe to call from any thread.
void logEvent(LogEvent, std::initializer_list<LogFieldValue>);

// Whether a line of this event would be written now. Takes the line's place in the limit, so call it once per line,
// before its fields are put together.
bool tryAdmitEvent(LogEvent, bool failure, core::TimePoint now);

// Sends spdlog's lines and the events to standard output through a sink that never blocks.
void startEventLog();

}
