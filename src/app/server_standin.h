#pragma once

#include "core/types.h"
#include "wire/asio.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cranberryshed::app {

// Counts how often each piece of work was run, over all stand-ins of a process. Work is identified by its
// X-Work-Id field, so that a second run of non-idempotent work is seen whatever path it took.
class RunCounter {
public:
    void add(const std::string& workId);
    std::uint64_t runs(const std::string& workId) const;
    std::uint64_t duplicateCount() const; // pieces of work that were run more than once

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counts;
};

struct ServerStandInOptions {
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t maxQueuedRequests = 100; // requests that wait for a slot; more are refused as not run
    core::Duration restartDelay = std::chrono::milliseconds(300); // after a crash
    std::shared_ptr<RunCounter> runs;
};

// What a stand-in does wrong, on request.
struct ServerFaults {
    double slowdown = 1; // factor on each service time
    bool refusesRequests = false; // refuse all work as not run
    bool isLeaving = false; // the health endpoint says that the server leaves
    core::Duration reportLag {}; // age of what the health endpoint says
};

// A backend server for tests and for `dev`. A request states its own work in header fields:
//   X-Work-Id      identifies the work; echoed in the answer
//   X-Work-Us      service time in microseconds
//   X-Work-Bytes   size of the answer's body; its bytes repeat the work id
//   X-Work-Crash   the server breaks all its connections when this work starts
//   X-Work-Break-At  the connection is closed after so many bytes of the body
// The answer states the request body's length in X-Body-Length.
// `GET /health` states its load. All calls are made on the io_context's thread, or before it runs.
class ServerStandIn {
public:
    ServerStandIn(wire::asio::io_context&, ServerStandInOptions);
    ~ServerStandIn();
    ServerStandIn(const ServerStandIn&) = delete;
    ServerStandIn& operator=(const ServerStandIn&) = delete;

    const std::string& name() const;
    std::string address() const; // "IP:port"

    // Changes the faults. Safe from any thread.
    void setFaults(const ServerFaults&);

    struct State;

private:
    std::shared_ptr<State> state;
};

// The body that a stand-in answers with: `size` bytes that repeat the work id.
char answerByte(std::string_view workId, std::uint64_t position);

}
