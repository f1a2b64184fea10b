#include "wire/worker.h"

#include "wire/clock.h"
#include "wire/log.h"
#include "wire/session.h"

namespace cranberryshed::wire {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr core::Duration observationDelay = std::chrono::milliseconds(100);
    constexpr std::size_t largestBatch = 1000; // observations

    // Request ids are unique in the process: the thread's index is in the upper bits.
    constexpr unsigned threadIndexShift = 48;

    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    void applyLimits(const core::CallerLimits& declared, TrafficLimits& limits)
    {
        limits.maxHeaderBytes = declared.maxHeaderBytes;
        limits.maxBodyBytes = declared.maxBodyBytes;
        limits.headerTimeout = declared.headerTimeout;
        limits.idleTimeout = declared.idleTimeout;
    }

    Worker::Options withThreads(Worker::Options options)
    {
        options.engine.headroom.threads = options.threadCount;
        return options;
    }

}

Worker::Worker(Options workerOptions)
    : options(withThreads(std::move(workerOptions)))
    , work(asio::make_work_guard(*this->context))
    , currentTable(std::make_shared<core::SteeringTable>())
    , engine(this->options.engine, request::SelectedChooser(this->options.chooser, this->options.threadCount), this->options.shared, this->options.seed)
    , lookups(lookup::FindClass {}, lookup::LocateCaller {}, lookup::RankMembers {}, lookup::IssueKey { *this->options.shared.keys })
    , pool(this->options.pool)
    , observationTimer(this->executor())
{
    this->engine.setTable(this->currentTable);
    this->options.slotNotifier->setCallback(this->options.threadIndex, [this] { this->post([this] { this->handle(request::CapacityChanged {}); }); });
}

Worker::~Worker()
{
    this->work.reset();
    this->context->stop();
    if (this->thread.joinable())
        this->thread.join();
    // Destroying the context ends the coroutines of open connections, which still use the other members.
    this->exchanges.clear();
    this->observationTimer.cancel();
    this->pool.clear();
    this->acceptors.clear();
    this->context.reset();
}

tcp::endpoint Worker::listen(const tcp::endpoint& endpoint, ConnectionHandler serve)
{
    const auto acceptor = std::make_shared<Acceptor>(this->executor());
    acceptor->open(endpoint.protocol());
    acceptor->set_option(asio::socket_base::reuse_address(true));
    acceptor->set_option(ReusePort(true));
    acceptor->bind(endpoint);
    acceptor->listen(listenBacklog);
    this->acceptors.push_back(acceptor);
    asio::co_spawn(*this->context, this->acceptLoop(acceptor, std::move(serve)), asio::detached);
    return acceptor->local_endpoint();
}

void Worker::start()
{
    asio::co_spawn(*this->context, this->closeIdleLoop(), asio::detached);
    this->thread = std::thread([this] { this->context->run(); });
}

Task<void> Worker::drain(core::Duration limit)
{
    this->closing = true;
    for (const std::shared_ptr<Acceptor>& acceptor : this->acceptors)
        acceptor->close();
    if (this->exchanges.empty())
        co_return;
    this->drainTimer = std::make_unique<Timer>(this->executor());
    this->drainTimer->expires_after(limit);
    co_await this->drainTimer->async_wait(useResult);
    this->drainTimer.reset();
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
    return core::RequestId { (static_cast<std::uint64_t>(this->options.threadIndex) << threadIndexShift) | ++this->lastRequest };
}

void Worker::handle(const request::Event& event)
{
    request::Commands commands;
    this->engine.handle(event, steadyNow(), commands, this->observations);
    for (const request::Command& command : commands)
        std::visit([this](const auto& typed) { this->execute(typed); }, command);
    this->passObservations();
    this->shareFreedSlot(event);
}

void Worker::shareFreedSlot(const request::Event& event)
{
    const std::size_t waiting = this->engine.waiting();
    this->options.slotNotifier->setWaitingCount(this->options.threadIndex, waiting);
    if (waiting == 0 && std::holds_alternative<request::AttemptEnded>(event))
        this->options.slotNotifier->notifySlotFreed(this->options.threadIndex);
}

// Control gets observations in batches, because a message to another thread for each request costs more than
// the decision. A crash is passed on at once.
void Worker::passObservations()
{
    if (this->observations.empty() || !this->options.reportObservations)
        return;
    const bool urgent = std::holds_alternative<request::CrashObserved>(this->observations.back());
    if (urgent || this->observations.size() >= largestBatch) {
        this->options.reportObservations(std::exchange(this->observations, {}));
        return;
    }
    if (this->observationTimer.expiry() > steadyNow())
        return;
    this->observationTimer.expires_after(observationDelay);
    this->observationTimer.async_wait([this](error_code error) {
        if (!error && !this->observations.empty())
            this->options.reportObservations(std::exchange(this->observations, {}));
    });
}

void Worker::removeExchange(core::RequestId request)
{
    this->exchanges.erase(request);
    if (this->drainTimer && this->exchanges.empty())
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

Task<void> Worker::acceptLoop(std::shared_ptr<Acceptor> listener, ConnectionHandler serve)
{
    for (;;) {
        Socket socket(this->executor());
        auto [error] = co_await listener->async_accept(socket, useResult);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Out of file descriptors, for example: waits instead of accepting in a loop.
            log(core::LogComponent::Wire, spdlog::level::warn, "accept failed: {}", error.message());
            Timer timer(this->executor());
            timer.expires_after(std::chrono::milliseconds(100));
            co_await timer.async_wait(useResult);
            continue;
        }
        ++this->trafficMetrics.connections;
        const asio::ip::address caller = socket.remote_endpoint(error).address();
        if (!error)
            serve(*this, std::move(socket), caller);
    }
}

Task<void> Worker::closeIdleLoop()
{
    Timer timer(this->executor());
    for (;;) {
        timer.expires_after(this->options.pool.maxIdleTime);
        co_await timer.async_wait(useResult);
        this->pool.closeIdle(steadyNow());
    }
}

}
