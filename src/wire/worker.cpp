#include "wire/worker.h"

#include "wire/clock.h"
#include "wire/connect.h"
#include "wire/log.h"
#include "wire/request_log.h"
#include "wire/session.h"

#include <algorithm>

namespace cranberryshed::wire {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr core::Duration firstBytesDelay = std::chrono::milliseconds(200); // of a request, after its connection was accepted
    constexpr core::Duration lastAnswersDelay = std::chrono::milliseconds(100); // for writing errors before the process ends
    constexpr core::Duration maxObservationDelay = std::chrono::milliseconds(100);
    constexpr std::size_t maxObservationBatch = 1000;

    // Request ids are unique in the process, because their upper bits hold the index of the thread.
    constexpr unsigned threadIndexShift = 48;

    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    void applyLimits(const core::CallerLimits& declared, TrafficLimits& limits)
    {
        limits.maxHeaderBytes = declared.maxHeaderBytes;
        limits.maxBodyBytes = declared.maxBodyBytes;
        limits.headerTimeout = declared.headerTimeout;
        limits.idleTimeout = declared.idleTimeout;
    }

    Worker::Options withThreadCount(Worker::Options options)
    {
        options.engine.headroom.threads = options.threadCount;
        options.engine.retryAllowance.threads = options.threadCount;
        return options;
    }

}

Worker::Worker(Options workerOptions)
    : options(withThreadCount(std::move(workerOptions)))
    , workGuard(asio::make_work_guard(*this->context))
    , currentTable(std::make_shared<core::SteeringTable>())
    , engine(this->options.engine, request::SelectedChooser(this->options.chooser, this->options.threadCount), this->options.shared, this->options.seed)
    , lookups(lookup::FindClass {}, lookup::LocateCaller {}, lookup::RankMembers {}, lookup::IssueKey { *this->options.shared.keys })
    , pool(this->options.pool)
    , hangups(this->executor())
    , observationTimer(this->executor())
{
    this->engine.setTable(this->currentTable);
    this->options.slotNotifier->setCallback(this->options.threadIndex, [this] { this->post([this] { this->handle(request::CapacityChanged {}); }); });
}

Worker::~Worker()
{
    this->workGuard.reset();
    this->context->stop();
    if (this->thread.joinable())
        this->thread.join();
    // Destroying the context destroys the coroutines of open connections, which still use the other members.
    this->exchanges.clear();
    this->observationTimer.cancel();
    this->pool.clear();
    this->hangups.close();
    this->listeners.clear();
    this->context.reset();
}

tcp::endpoint Worker::listen(const tcp::endpoint& endpoint, ConnectionHandler handler)
{
    const auto acceptor = std::make_shared<Acceptor>(this->executor());
    acceptor->open(endpoint.protocol());
    acceptor->set_option(asio::socket_base::reuse_address(true));
    acceptor->set_option(ReusePort(true));
    acceptor->bind(endpoint);
    acceptor->listen(listenBacklog);
    this->listeners.push_back({ .acceptor = acceptor, .handler = std::move(handler) });
    asio::co_spawn(*this->context, this->acceptConnections(this->listeners.back()), asio::detached);
    return acceptor->local_endpoint();
}

void Worker::start()
{
    asio::co_spawn(*this->context, this->closeIdleConnections(), asio::detached);
    this->thread = std::thread([this] { this->context->run(); });
}

Task<void> Worker::drain(core::Duration timeout)
{
    this->isDraining = true;
    const core::TimePoint end = steadyNow() + timeout;
    for (const Listener& listener : this->listeners) {
        this->acceptPending(listener);
        listener.acceptor->close();
    }
    // A request on a connection that has just been accepted is read only after its data has arrived.
    Timer firstBytes(this->executor());
    firstBytes.expires_after(std::min(firstBytesDelay, timeout));
    co_await firstBytes.async_wait(useResult);
    if (this->isIdle())
        co_return;
    this->drainTimer = std::make_unique<Timer>(this->executor());
    this->drainTimer->expires_at(end);
    co_await this->drainTimer->async_wait(useResult);
    this->drainTimer.reset();
    if (this->exchanges.empty())
        co_return;
    // An error that leaves open whether the request has run: it may be in flight, or be sent before the process ends.
    for (const auto& [id, exchange] : this->exchanges)
        exchange->decision.try_send(error_code(), EngineDecision(request::Reject { .request = id, .error = core::ErrorKind::DeadlinePassed, .key = {}, .retryAfter = {} }));
    Timer lastAnswers(this->executor());
    lastAnswers.expires_after(lastAnswersDelay);
    co_await lastAnswers.async_wait(useResult);
}

void Worker::setTable(core::SteeringTablePointer newTable)
{
    this->post([this, table = std::move(newTable)]() mutable {
        this->currentTable = table;
        if (table->callerLimits)
            applyLimits(*table->callerLimits, this->options.limits);
        this->engine.setTable(std::move(table));
        this->handle(request::CapacityChanged {});
    });
}

core::RequestId Worker::nextRequestId()
{
    return core::RequestId { (static_cast<std::uint64_t>(this->options.threadIndex) << threadIndexShift) | ++this->lastRequestNumber };
}

void Worker::handle(const request::Event& event)
{
    request::Commands commands;
    this->engine.handle(event, steadyNow(), commands, this->observations);
    for (const request::Command& command : commands)
        std::visit([this](const auto& typed) { this->execute(typed); }, command);
    this->flushObservationsIfDue();
    this->offerFreedSlot(event);
}

void Worker::offerFreedSlot(const request::Event& event)
{
    const std::size_t waiting = this->engine.waitingCount();
    this->options.slotNotifier->setWaitingCount(this->options.threadIndex, waiting);
    if (waiting == 0 && std::holds_alternative<request::AttemptEnded>(event))
        this->options.slotNotifier->notifySlotFreed(this->options.threadIndex);
}

// Reports observations to control in batches, because a message to another thread for each request costs more than the
// decision about the request. A crash is reported immediately.
void Worker::flushObservationsIfDue()
{
    if (this->observations.empty() || !this->options.reportObservations)
        return;
    const request::Observation& last = this->observations.back();
    const bool isCrash = std::holds_alternative<request::CrashObserved>(last) || std::holds_alternative<request::RequestCrashed>(last);
    if (isCrash || this->observations.size() >= maxObservationBatch) {
        this->options.reportObservations(std::exchange(this->observations, {}));
        return;
    }
    if (this->observationTimer.expiry() > steadyNow())
        return;
    this->observationTimer.expires_after(maxObservationDelay);
    this->observationTimer.async_wait([this](error_code error) {
        if (!error && !this->observations.empty())
            this->options.reportObservations(std::exchange(this->observations, {}));
    });
}

void Worker::removeExchange(core::RequestId request)
{
    this->exchanges.erase(request);
    this->endDrainIfIdle();
}

void Worker::endDrainIfIdle()
{
    if (this->drainTimer && this->isIdle())
        this->drainTimer->cancel();
}

std::shared_ptr<BackendAttempt> Worker::findAttempt(core::RequestId request, core::AttemptId id)
{
    const auto found = this->exchanges.find(request);
    if (found == this->exchanges.end())
        return nullptr;
    for (const std::shared_ptr<BackendAttempt>& attempt : found->second->attempts) {
        if (attempt->id == id)
            return attempt;
    }
    return nullptr;
}

void Worker::execute(const request::SendAttempt& command)
{
    const auto found = this->exchanges.find(command.request);
    if (found != this->exchanges.end())
        found->second->startAttempt(command);
}

void Worker::execute(const request::CancelAttempt& command)
{
    if (const std::shared_ptr<BackendAttempt> attempt = this->findAttempt(command.request, command.attempt))
        attempt->cancel();
}

void Worker::execute(const request::RelayAnswer& command)
{
    const std::shared_ptr<BackendAttempt> attempt = this->findAttempt(command.request, command.attempt);
    if (!attempt)
        return;
    attempt->isRelayed = true;
    this->exchanges[command.request]->decision.try_send(error_code(), EngineDecision(command));
}

void Worker::execute(const request::Reject& command)
{
    const auto found = this->exchanges.find(command.request);
    if (found != this->exchanges.end())
        found->second->decision.try_send(error_code(), EngineDecision(command));
}

void Worker::execute(const request::SetTimer& command)
{
    const auto found = this->exchanges.find(command.request);
    if (found == this->exchanges.end())
        return;
    found->second->timer.expires_at(command.time);
    found->second->timer.async_wait([this, request = command.request](error_code error) {
        if (!error)
            this->handle(request::TimerDue { .request = request });
    });
}

void Worker::execute(const request::CheckServer& command)
{
    asio::co_spawn(*this->context, this->checkServer(command), asio::detached);
}

// The pool keeps the connection for the next request to the server.
Task<void> Worker::checkServer(request::CheckServer command)
{
    const core::ServerEntry& server = command.table->at(command.server);
    auto connection = std::make_unique<BackendConnection>(this->executor(), this->nextConnectionNumber());
    const core::TimePoint begin = steadyNow();
    const error_code error = co_await connectTo(*connection, server.address, this->limits());
    const core::Reachability reachability = reachabilityOf(error);
    logServerChecked(server, reachability, steadyNow() - begin, steadyNow());
    if (!error) {
        connection->stream.expires_never();
        this->pool.put(server.address, std::move(connection), steadyNow());
    }
    this->handle(request::ServerChecked { .serverKey = server.key, .reachability = reachability });
}

Task<void> Worker::acceptConnections(Listener listener)
{
    for (;;) {
        Socket socket(this->executor());
        auto [error] = co_await listener.acceptor->async_accept(socket, useResult);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // For example, no file descriptors are left: waits, because retrying at once would spin.
            log(core::LogComponent::Wire, spdlog::level::warn, "cannot accept a caller connection: {}", error.message());
            Timer timer(this->executor());
            timer.expires_after(std::chrono::milliseconds(100));
            co_await timer.async_wait(useResult);
            continue;
        }
        this->serve(listener, std::move(socket));
    }
}

// Accepts the connections that wait in the kernel's queue. Closing the listening socket would reset them.
void Worker::acceptPending(const Listener& listener)
{
    error_code error;
    listener.acceptor->non_blocking(true, error);
    while (!error) {
        Socket socket(this->executor());
        listener.acceptor->accept(socket, error);
        if (!error)
            this->serve(listener, std::move(socket));
    }
}

void Worker::serve(const Listener& listener, Socket socket)
{
    error_code error;
    ++this->trafficMetrics.connections;
    const asio::ip::address caller = socket.remote_endpoint(error).address();
    if (!error)
        listener.handler(*this, std::move(socket), caller);
}

Task<void> Worker::closeIdleConnections()
{
    Timer timer(this->executor());
    for (;;) {
        timer.expires_after(this->options.pool.maxIdleTime);
        co_await timer.async_wait(useResult);
        this->pool.closeIdle(steadyNow());
    }
}

}
