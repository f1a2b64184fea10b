#pragma once

// Definitions of the member functions of BasicEntryVm. Only for files that instantiate it with a setup.

#include "app/control_loop_impl.h"
#include "app/dump.h"
#include "app/entry_vm.h"
#include "app/metrics.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/event_log.h"

namespace cranberryshed::app {

namespace asio = wire::asio;
using wire::Task;
using wire::useResult;
using wire::useTask;

inline core::Incarnation newIncarnation()
{
    return core::Incarnation { static_cast<std::uint64_t>(wire::wallNow().time_since_epoch().count()) };
}

// Returns the peer addresses to join through. If peerPort is set, the seeds are other addresses of the entry VMs: their
// port is replaced by the common peer port, and the address of this VM is removed.
inline std::vector<std::string> peerAddresses(const EntryVmOptions& options)
{
    std::vector<std::string> addresses = options.seeds;
    if (options.peerPort == 0)
        return addresses;
    for (std::string& address : addresses) {
        wire::tcp::endpoint endpoint = wire::parseEndpoint(address);
        endpoint.port(options.peerPort);
        address = wire::formatEndpoint(endpoint);
    }
    std::erase(addresses, options.peerAddress);
    return addresses;
}

template <EntryVmSetup SetupType>
auto BasicEntryVm<SetupType>::controlOptions(core::Incarnation incarnation) const -> typename Loop::Options
{
    const std::string writer = this->options.name + '/' + std::to_string(static_cast<std::uint64_t>(incarnation));
    return {
        .node = { .fleet = this->options.fleet, .name = this->options.name, .peerAddress = this->options.peerAddress, .callerAddress = this->callerAddress(), .region = {}, .domain = this->options.domain, .incarnation = incarnation, .seeds = peerAddresses(this->options), .randomSeed = this->options.randomSeed },
        .feed = SetupType::feedOptions(this->options, writer),
    };
}

template <EntryVmSetup SetupType>
ControlView BasicEntryVm<SetupType>::controlView() const
{
    return { .state = this->controlLoop->controlState(), .peer = this->controlLoop->peer(), .store = this->controlLoop->storeState(wire::steadyNow()) };
}

template <EntryVmSetup SetupType>
BasicEntryVm<SetupType>::BasicEntryVm(EntryVmOptions vmOptions)
    : options(std::move(vmOptions))
    , context(std::make_unique<asio::io_context>(1))
    , workGuard(asio::make_work_guard(*this->context))
{
    this->callerEndpoint = wire::parseEndpoint(this->options.callerAddress);
    const core::Incarnation incarnation = newIncarnation();
    const request::SharedState shared = request::makeSharedState(this->options.name, incarnation, std::random_device {}(), {}, SetupType::crashOptions());
    const auto connectionLimiter = std::make_shared<wire::ConnectionLimiter>(this->options.limits.maxConnectionsPerCaller);
    const auto slotNotifier = std::make_shared<wire::SlotNotifier>(this->options.trafficThreads);
    const auto reportObservations = [this](request::Observations observations) {
        asio::post(*this->context, [this, observations = std::move(observations)]() mutable { this->controlLoop->observe(std::move(observations)); });
    };
    for (std::uint32_t i = 0; i < this->options.trafficThreads; ++i) {
        wire::Worker::Options worker { .threadIndex = i, .threadCount = this->options.trafficThreads, .chooser = this->options.chooser, .seed = this->options.randomSeed + i, .limits = this->options.limits, .shared = shared, .connectionLimiter = connectionLimiter, .slotNotifier = slotNotifier, .reportObservations = reportObservations };
        worker.engine.shutdownEnd = this->options.acceptTimeWhileLeaving + this->options.maxDrainTime;
        SetupType::adjustWorkerOptions(this->options, worker);
        this->workers.push_back(std::make_unique<wire::Worker>(std::move(worker)));
        SetupType::listen(this->options, *this->workers.back(), this->callerEndpoint);
    }
    this->admin = std::make_unique<wire::AdminServer>(*this->context, wire::parseEndpoint(this->options.adminAddress));
    this->admin->addPage("/v1/dump", [this] { return this->dumpPage(); });
    this->admin->addPage("/v1/metrics", [this] { return this->metricsPage(); });
    this->controlLoop = std::make_unique<Loop>(*this->context, this->controlOptions(incarnation),
        [this](const core::SteeringTablePointer& table) { this->distributeTable(table); });
}

template <EntryVmSetup SetupType>
BasicEntryVm<SetupType>::~BasicEntryVm()
{
    this->workGuard.reset();
    this->context->stop();
    if (this->thread.joinable())
        this->thread.join();
    this->workers.clear();
    this->controlLoop.reset();
    this->admin.reset();
    this->context.reset();
}

template <EntryVmSetup SetupType>
void BasicEntryVm<SetupType>::start()
{
    for (const std::unique_ptr<wire::Worker>& worker : this->workers)
        worker->start();
    asio::post(*this->context, [this] { this->controlLoop->start(); });
    this->thread = std::thread([this] { this->context->run(); });
    wire::logEvent(wire::LogEvent::Start, { { wire::LogField::Member, this->options.name }, { wire::LogField::Domain, this->options.domain } });
    wire::log(core::LogComponent::App, spdlog::level::info, "entry VM {} serves callers on {}, operators on {}, other entry VMs on {}", this->options.name, this->callerAddress(), this->adminAddress(), this->peerAddress());
}

template <EntryVmSetup SetupType>
void BasicEntryVm<SetupType>::distributeTable(const core::SteeringTablePointer& table)
{
    for (const std::unique_ptr<wire::Worker>& worker : this->workers)
        worker->setTable(table);
}

template <EntryVmSetup SetupType>
void BasicEntryVm<SetupType>::shutDown(std::function<void()> done)
{
    asio::co_spawn(*this->context, this->drain(std::move(done)), asio::detached);
}

template <EntryVmSetup SetupType>
Task<void> BasicEntryVm<SetupType>::drain(std::function<void()> done)
{
    wire::logEvent(wire::LogEvent::Stop, { { wire::LogField::Member, this->options.name }, { wire::LogField::State, "leaving" } });
    this->controlLoop->leave();
    wire::Timer timer(this->context->get_executor());
    timer.expires_after(this->options.acceptTimeWhileLeaving);
    co_await timer.async_wait(useResult);
    co_await this->drainWorkers();
    this->controlLoop->stop();
    wire::logEvent(wire::LogEvent::Stop, { { wire::LogField::Member, this->options.name }, { wire::LogField::State, "stopped" } });
    done();
}

// Drains all traffic threads at the same time, so that the last one also ends within maxDrainTime.
template <EntryVmSetup SetupType>
Task<void> BasicEntryVm<SetupType>::drainWorkers()
{
    wire::Timer allDrained(this->context->get_executor(), wire::Timer::time_point::max());
    std::size_t draining = this->workers.size();
    for (const std::unique_ptr<wire::Worker>& worker : this->workers) {
        asio::co_spawn(worker->executor(), worker->drain(this->options.maxDrainTime), asio::bind_executor(this->context->get_executor(), [&](const std::exception_ptr&) {
            if (--draining == 0)
                allDrained.cancel();
        }));
    }
    co_await allDrained.async_wait(useResult);
}

template <EntryVmSetup SetupType>
Task<wire::TrafficMetrics> BasicEntryVm<SetupType>::collectMetrics()
{
    wire::TrafficMetrics sum;
    for (const std::unique_ptr<wire::Worker>& worker : this->workers) {
        wire::TrafficMetrics workerMetrics = co_await asio::co_spawn(
            worker->executor(), [&worker]() -> Task<wire::TrafficMetrics> { co_return worker->metrics(); }, useTask);
        sum.add(workerMetrics);
    }
    co_return sum;
}

template <EntryVmSetup SetupType>
Task<wire::TextResponse> BasicEntryVm<SetupType>::dumpPage()
{
    const wire::TrafficMetrics traffic = co_await this->collectMetrics();
    co_return wire::jsonResponse(200, wire::json::serialize(dumpState(this->controlView(), traffic, wire::steadyNow())));
}

template <EntryVmSetup SetupType>
Task<wire::TextResponse> BasicEntryVm<SetupType>::metricsPage()
{
    const wire::TrafficMetrics traffic = co_await this->collectMetrics();
    wire::TextResponse response = wire::jsonResponse(200, metricsText(this->controlView(), traffic));
    response.set(wire::http::field::content_type, "text/plain; version=0.0.4");
    co_return response;
}

template <EntryVmSetup SetupType>
std::string BasicEntryVm<SetupType>::callerAddress() const
{
    return wire::formatEndpoint(this->callerEndpoint);
}

template <EntryVmSetup SetupType>
std::string BasicEntryVm<SetupType>::adminAddress() const
{
    return wire::formatEndpoint(this->admin->endpoint());
}

template <EntryVmSetup SetupType>
std::string BasicEntryVm<SetupType>::peerAddress() const
{
    return this->controlLoop->peer().address();
}

}
