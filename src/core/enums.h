#pragma once

#include "core/names.h"

#include <cstdint>

namespace cranberryshed::core {

// Whether running a request twice has the same effect as running it once.
enum class Idempotency : std::uint8_t { Idempotent,
    NonIdempotent };
template <>
struct Names<Idempotency> {
    static constexpr std::array<std::string_view, 2> values = { "idempotent", "non-idempotent" };
};

// Whether the requests of a class run for a short time (a stock look-up) or many times longer (creating an archive).
enum class WorkLength : std::uint8_t { Short,
    Long };
template <>
struct Names<WorkLength> {
    static constexpr std::array<std::string_view, 2> values = { "short", "long" };
};

// The state of a backend server, merged from its traffic, its health endpoint and the server list.
enum class ServerState : std::uint8_t {
    Active, // It gets its usual traffic.
    Warming, // It gets a part of its usual traffic: it started recently, or its ejection ends with a probe.
    Leaving, // It gets no new requests: it is shutting down, its batch is drained or its domain is evacuated.
    Ejected, // It gets no requests for a limited time, because its attempts or its health checks failed.
    Gone, // Never assigned: the entry of a server that left the list is removed. Kept because the name is written out.
};
template <>
struct Names<ServerState> {
    static constexpr std::array<std::string_view, 5> values = { "active", "warming", "leaving", "ejected", "gone" };
};

// The state of an entry VM in the membership protocol.
enum class MemberState : std::uint8_t { Alive,
    Suspect,
    Leaving,
    Left,
    Dead };
template <>
struct Names<MemberState> {
    static constexpr std::array<std::string_view, 5> values = { "alive", "suspect", "leaving", "left", "dead" };
};

// From where this entry VM learned of the configuration in force.
enum class ConfigurationSource : std::uint8_t {
    StoreList, // a list of the store's objects
    StoreWatch, // a watch of the store
    Peer, // another entry VM
};
template <>
struct Names<ConfigurationSource> {
    static constexpr std::array<std::string_view, 3> values = { "store-list", "store-watch", "peer" };
};

// Whether a backend server ran a request that ended with an error of this system. A backend server that refuses a
// request states NotRun in its answer.
enum class RunState : std::uint8_t { NotRun,
    WasRun,
    MayHaveRun };
template <>
struct Names<RunState> {
    static constexpr std::array<std::string_view, 3> values = { "not-run", "was-run", "may-have-run" };
};

// How one attempt to run a request on a backend server ended.
enum class AttemptResult : std::uint8_t {
    Answered, // The whole answer arrived.
    Refused, // The backend server stated that it did not run the request.
    ConnectFailed, // No connection could be opened, so no byte was sent.
    Broken, // The connection broke after a byte was sent and before the whole answer arrived.
    TimedOut, // The deadline passed after a byte was sent.
    Cancelled, // This entry VM cancelled the attempt.
    Misdirected, // The address belongs to another backend server, which did not run the request.
};
template <>
struct Names<AttemptResult> {
    static constexpr std::array<std::string_view, 7> values = { "answered", "refused", "connect-failed", "broken", "timed-out", "cancelled", "misdirected" };
};

// What the attempt to open a connection shows of a backend server.
enum class Reachability : std::uint8_t {
    Accepts, // It runs, or another server has its address.
    Refuses, // No process listens on its address, so it has ended.
    Unknown, // No reply in time, or another error.
};
template <>
struct Names<Reachability> {
    static constexpr std::array<std::string_view, 3> values = { "accepts", "refuses", "unknown" };
};

// The components that log. The name is the fixed prefix of the component's log lines.
enum class LogComponent : std::uint8_t { App,
    Lookup,
    Request,
    Control,
    Fleet,
    Store,
    Admin,
    Wire };
template <>
struct Names<LogComponent> {
    static constexpr std::array<std::string_view, 8> values = { "app", "lookup", "request", "control", "fleet", "store", "admin", "wire" };
};

}
