#pragma once

#include "lookup/issue_key.h"
#include "request/engine.h"
#include "request/selected_chooser.h"
#include "wire/asio.h"
#include "wire/connection_limiter.h"
#include "wire/connection_pool.h"
#include "wire/exchange.h"
#include "wire/slot_notifier.h"
#include "wire/traffic_limits.h"
#include "wire/traffic_metrics.h"

#include <functional>
#include <thread>
#include <unordered_map>

namespace cranberryshed::wire {

using TrafficEngine = request::Engine<request::SelectedChooser>;

// One traffic thread: its io_context, its part of the caller connections, its request engine.
// Everything but `post`, `setTable` and `executor` is called on that thread only.
class Worker {
public:
    struct Options {
        std::uint32_t threadIndex = 0; // of the traffic threads of this process
        std::uint32_t threadCount = 1; // traffic threads of this process
        request::ChooserKind chooser = request::ChooserKind::HomeSubset;
        std::uint64_t seed = 0;
        TrafficLimits limits;
        TrafficEngine::Options engine;
        request::SharedState shared; // the same for all workers of a process
        std::shared_ptr<ConnectionLimiter> connectionLimiter; // likewise
        std::shared_ptr<SlotNotifier> slotNotifier; // likewise
        std::function<void(request::Observations)> reportObservations; // called on the worker's thread, in batches
        ConnectionPool::Options pool;
    };

    // Serves one connection that was accepted, until it ends.
    using ConnectionHandler = std::function<void(Worker&, Socket, const asio::ip::address& caller)>;

    explicit Worker(Options);
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    ~Worker();

    // Starts to accept callers. Several workers may listen on one endpoint; the kernel spreads connections.
    // Returns the bound endpoint, with the port that the kernel chose if it was 0. Call before `start`.
    tcp::endpoint listen(const tcp::endpoint&, ConnectionHandler);

    void start();

    // Closes the listening socket and completes once no request is in flight or the time is over.
    // Spawn it on this worker's executor.
    Task<void> drain(core::Duration limit);

    // Uses this table from the next event on. Safe from any thread.
    void setTable(core::SteeringTablePointer);

    template <typename Function>
    void post(Function function)
    {
        asio::post(*this->context, std::move(function));
    }

    asio::io_context& ioContext() { return *this->context; }
    Executor executor() { return this->context->get_executor(); }
    const TrafficLimits& limits() const { return this->options.limits; }
    const core::SteeringTablePointer& table() const { return this->currentTable; }
    ConnectionPool& connections() { return this->pool; }
    TrafficMetrics& metrics() { return this->trafficMetrics; }
    lookup::KeyedLookupPipe& lookupPipe() { return this->lookups; }
    // Whether this entry VM is shutting down, so that callers should go elsewhere.
    bool isShuttingDown() const { return this->closing || this->currentTable->leaving; }

    core::RequestId nextRequestId();

    // Hands an event to the engine and carries out its commands.
    void handle(const request::Event&);

    void addExchange(const std::shared_ptr<Exchange>& exchange) { this->exchanges.emplace(exchange->id, exchange); }
    void removeExchange(core::RequestId request);
    std::size_t inFlight() const { return this->exchanges.size(); }
    ConnectionLimiter& connectionLimiter() { return *this->options.connectionLimiter; }

private:
    Task<void> acceptLoop(std::shared_ptr<Acceptor>, ConnectionHandler);
    Task<void> closeIdleLoop();

    void execute(const request::SendAttempt&);
    void execute(const request::CancelAttempt&);
    void execute(const request::RelayAnswer&);
    void execute(const request::Reject&);
    void execute(const request::SetTimer&);
    std::shared_ptr<BackendAttempt> findAttempt(core::RequestId, core::AttemptId);
    void passObservations();
    void shareFreedSlot(const request::Event&);

    Options options;
    std::unique_ptr<asio::io_context> context = std::make_unique<asio::io_context>(1);
    asio::executor_work_guard<Executor> work;
    core::SteeringTablePointer currentTable;
    TrafficEngine engine;
    lookup::KeyedLookupPipe lookups;
    ConnectionPool pool;
    TrafficMetrics trafficMetrics;
    std::unordered_map<core::RequestId, std::shared_ptr<Exchange>> exchanges;
    std::vector<std::shared_ptr<Acceptor>> acceptors;
    std::unique_ptr<Timer> drainTimer; // set while `drain` waits for the requests in flight
    request::Observations observations; // not yet passed to control
    Timer observationTimer;
    std::uint64_t lastRequest = 0;
    bool closing = false;
    std::thread thread;
};

}
