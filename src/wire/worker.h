#pragma once

#include "lookup/issue_key.h"
#include "request/engine.h"
#include "request/selected_chooser.h"
#include "wire/asio.h"
#include "wire/connection_limiter.h"
#include "wire/connection_pool.h"
#include "wire/exchange.h"
#include "wire/hangup_watch.h"
#include "wire/slot_notifier.h"
#include "wire/traffic_limits.h"
#include "wire/traffic_metrics.h"

#include <functional>
#include <thread>
#include <unordered_map>

namespace cranberryshed::wire {

using TrafficEngine = request::Engine<request::SelectedChooser>;

// One traffic thread with its own io_context, request engine and share of the caller connections.
// Only post(), setTable() and executor() are thread-safe; call everything else on this thread, or before start().
class Worker {
public:
    struct Options {
        std::uint32_t threadIndex = 0; // among the traffic threads of this process, from 0
        std::uint32_t threadCount = 1; // traffic threads in this process
        request::ChooserKind chooser = request::ChooserKind::HomeSubset;
        std::uint64_t seed = 0;
        TrafficLimits limits;
        TrafficEngine::Options engine;
        request::SharedState shared; // shared by all workers of a process
        std::shared_ptr<ConnectionLimiter> connectionLimiter; // shared by all workers of a process
        std::shared_ptr<SlotNotifier> slotNotifier; // shared by all workers of a process
        std::function<void(request::Observations)> reportObservations; // passes a batch to control, on this thread
        ConnectionPool::Options pool;
    };

    // Serves one accepted connection until it ends.
    using ConnectionHandler = std::function<void(Worker&, Socket, const asio::ip::address& caller)>;

    explicit Worker(Options);
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    ~Worker();

    // Starts to accept caller connections. Several workers can listen on the same endpoint, because SO_REUSEPORT makes
    // the kernel distribute connections over them. Returns the bound endpoint; if the port was 0, the kernel chose one.
    // Call before start(). Throws boost::system::system_error if the endpoint cannot be bound.
    tcp::endpoint listen(const tcp::endpoint&, ConnectionHandler);

    void start();

    // Closes the listening sockets and completes once no request is arriving or in flight, or the timeout has passed.
    // Connections that the kernel has accepted by then are served. Must be spawned on this worker's executor.
    Task<void> drain(core::Duration timeout);

    // Replaces the steering table, effective from the next event. Thread-safe.
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
    HangupWatch& callerHangups() { return this->hangups; }
    TrafficMetrics& metrics() { return this->trafficMetrics; }
    lookup::KeyedLookupPipe& lookupPipe() { return this->lookups; }
    // Whether this entry VM is shutting down. Answers then close the connection, so that callers use another entry VM.
    bool isShuttingDown() const { return this->isDraining || this->currentTable->leaving; }

    core::RequestId nextRequestId();
    std::uint64_t nextConnectionNumber() { return ++this->lastConnectionNumber; }

    // Passes an event to the engine and executes the resulting commands.
    void handle(const request::Event&);

    void addExchange(const std::shared_ptr<Exchange>& exchange) { this->exchanges.emplace(exchange->id, exchange); }
    void removeExchange(core::RequestId request);
    std::size_t inFlight() const { return this->exchanges.size(); }

    // Counts a request of which a part has arrived, for drain(). Ends when the request has become an exchange or can't
    // be read.
    class IncomingRequest {
    public:
        explicit IncomingRequest(Worker& owner)
            : worker(owner)
        {
            ++this->worker.incomingRequests;
        }

        ~IncomingRequest()
        {
            --this->worker.incomingRequests;
            this->worker.endDrainIfIdle();
        }

        IncomingRequest(const IncomingRequest&) = delete;
        IncomingRequest& operator=(const IncomingRequest&) = delete;

    private:
        Worker& worker;
    };
    ConnectionLimiter& connectionLimiter() { return *this->options.connectionLimiter; }

private:
    // A listening socket with the handler of its connections.
    struct Listener {
        std::shared_ptr<Acceptor> acceptor;
        ConnectionHandler handler;
    };

    Task<void> acceptConnections(Listener);
    void acceptPending(const Listener&);
    void serve(const Listener&, Socket);
    bool isIdle() const { return this->exchanges.empty() && this->incomingRequests == 0; }
    void endDrainIfIdle();
    Task<void> closeIdleConnections();

    void execute(const request::SendAttempt&);
    void execute(const request::CancelAttempt&);
    void execute(const request::RelayAnswer&);
    void execute(const request::Reject&);
    void execute(const request::SetTimer&);
    void execute(const request::CheckServer&);
    Task<void> checkServer(request::CheckServer);
    std::shared_ptr<BackendAttempt> findAttempt(core::RequestId, core::AttemptId);
    void flushObservationsIfDue();
    void offerFreedSlot(const request::Event&);

    Options options;
    std::unique_ptr<asio::io_context> context = std::make_unique<asio::io_context>(1);
    asio::executor_work_guard<Executor> workGuard;
    core::SteeringTablePointer currentTable;
    TrafficEngine engine;
    lookup::KeyedLookupPipe lookups;
    ConnectionPool pool;
    HangupWatch hangups; // of callers
    TrafficMetrics trafficMetrics;
    std::unordered_map<core::RequestId, std::shared_ptr<Exchange>> exchanges;
    std::size_t incomingRequests = 0;
    std::vector<Listener> listeners;
    std::unique_ptr<Timer> drainTimer; // set while drain() waits for requests
    request::Observations observations; // not yet reported to control
    Timer observationTimer;
    std::uint64_t lastRequestNumber = 0;
    std::uint64_t lastConnectionNumber = 0; // of a connection to a backend server
    bool isDraining = false;
    std::thread thread;
};

}
