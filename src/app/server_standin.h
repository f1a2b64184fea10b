#pragma once

#include "core/types.h"
#include "wire/asio.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cranberryshed::app {

// Counts how often each request was run, over all stand-ins of a process. Requests are identified by their X-Work-Id
// field, so a second run of a non-idempotent request is detected, whichever entry VM and server it went through.
class RunCounter {
public:
    void add(const std::string& workId);
    std::uint64_t runs(const std::string& workId) const;
    std::uint64_t duplicateCount() const; // number of ids that were run more than once

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counts;
};

struct ServerStandInOptions {
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t maxQueuedRequests = 100; // that wait for a slot; further requests are rejected as not run
    core::Duration restartDelay = std::chrono::milliseconds(300); // after a crash
    std::shared_ptr<RunCounter> runs;
};

// Faults that a stand-in simulates.
struct ServerFaults {
    double slowdown = 1; // factor on each service time
    bool refusesRequests = false; // rejects all requests as not run
    bool isLeaving = false; // the health endpoint reports that the server is leaving
    core::Duration reportLag {}; // age of the load that the health endpoint reports
};

// A simulated backend server for tests and for `dev`. Header fields of a request control how it is served:
//   X-Work-Id        identifies the request; echoed in the answer
//   X-Work-Us        service time in microseconds
//   X-Work-Bytes     size of the answer's body; its bytes repeat the work id
//   X-Work-Crash     1: the server closes all its connections when it starts to run the request
//   X-Work-Break-At  the connection is closed after this number of bytes of the body
// X-Body-Length in the answer is the length of the request's body. `GET /health` returns the load.
// Call all functions on the io_context's thread or before it runs, except for setFaults().
class ServerStandIn {
public:
    ServerStandIn(wire::asio::io_context&, ServerStandInOptions);
    ~ServerStandIn();
    ServerStandIn(const ServerStandIn&) = delete;
    ServerStandIn& operator=(const ServerStandIn&) = delete;

    const std::string& name() const;
    std::string address() const; // "IP:port"

    // Replaces the faults. Thread-safe.
    void setFaults(const ServerFaults&);

    struct State;

private:
    std::shared_ptr<State> state;
};

// Returns the byte at `position` of a stand-in's answer body, which repeats the work id.
char answerByte(std::string_view workId, std::uint64_t position);

}
