#include "app/entry_vm.h"

#include "app/dump.h"
#include "app/metrics.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/log.h"

namespace cranberryshed::app {

namespace asio = wire::asio;
using wire::Task;
using wire::useResult;
using wire::useTask;

namespace {

    core::Incarnation newIncarnation()
    {
        return core::Incarnation { static_cast<std::uint64_t>(wire::wallNow().time_since_epoch().count()) };
    }

    ControlLoop::Options controlOptions(const EntryVmOptions& options, const std::string& callerAddress, core::Incarnation incarnation)
    {
        ControlLoop::Options result;
        result.node.fleet = options.fleet;
        result.node.name = options.name;
        result.node.peerAddress = options.peerAddress;
        result.node.callerAddress = callerAddress;
        result.node.domain = options.domain;
        result.node.incarnation = incarnation;
        result.node.seeds = options.seeds;
        result.node.randomSeed = options.seed;
        result.store.endpoint = options.storeAddress;
        result.store.writer = options.name + '/' + std::to_string(static_cast<std::uint64_t>(incarnation));
        result.store.seed = options.seed;
        return result;
    }

}

EntryVm::EntryVm(EntryVmOptions vmOptions)
    : options(std::move(vmOptions))
    , context(std::make_unique<asio::io_context>(1))
    , work(asio::make_work_guard(*this->context))
{
    this->callerEndpoint = wire::parseEndpoint(this->options.callerAddress);
    const core::Incarnation incarnation = newIncarnation();
    const request::Shared shared = request::makeShared(this->options.name, incarnation, std::random_device {}());
    const auto connectionLimit = std::make_shared<wire::ConnectionLimit>(this->options.limits.connectionsPerCaller);
    const auto siblings = std::make_shared<wire::Siblings>(this->options.trafficThreads);
    const auto observe = [this](request::Observations observations) {
        asio::post(*this->context, [this, observations = std::move(observations)]() mutable { this->control->observe(std::move(observations)); });
    };
    for (std::uint32_t i = 0; i < this->options.trafficThreads; ++i) {
        this->workers.push_back(std::make_unique<wire::Worker>(wire::Worker::Options { .index = i, .threads = this->options.trafficThreads, .chooser = this->options.chooser, .seed = this->options.seed + i, .limits = this->options.limits, .shared = shared, .connectionLimit = connectionLimit, .siblings = siblings, .observe = observe }));
        this->callerEndpoint = this->workers.back()->listen(this->callerEndpoint);
    }
    this->admin = std::make_unique<wire::AdminServer>(*this->context, wire::parseEndpoint(this->options.adminAddress));
    this->admin->addPage("/v1/dump", [this] { return this->dumpPage(); });
    this->admin->addPage("/v1/metrics", [this] { return this->metricsPage(); });
    this->control = std::make_unique<ControlLoop>(*this->context, controlOptions(this->options, this->callerAddress(), incarnation),
        [this](const core::SteeringTablePointer& table) { this->takeTable(table); });
}

EntryVm::~EntryVm()
{
    this->work.reset();
    this->context->stop();
    if (this->thread.joinable())
        this->thread.join();
    this->workers.clear();
    this->control.reset();
    this->admin.reset();
    this->context.reset();
}

void EntryVm::start()
{
    for (const std::unique_ptr<wire::Worker>& worker : this->workers)
        worker->start();
    asio::post(*this->context, [this] { this->control->start(); });
    this->thread = std::thread([this] { this->context->run(); });
    wire::log(core::LogPart::App, spdlog::level::info, "entry VM {} serves callers on {}, operators on {}, other entry VMs on {}", this->options.name, this->callerAddress(), this->adminAddress(), this->peerAddress());
}

void EntryVm::takeTable(const core::SteeringTablePointer& table)
{
    for (const std::unique_ptr<wire::Worker>& worker : this->workers)
        worker->setTable(table);
}

void EntryVm::shutDown(std::function<void()> done)
{
    asio::co_spawn(*this->context, this->drain(std::move(done)), asio::detached);
}

Task<void> EntryVm::drain(std::function<void()> done)
{
    wire::log(core::LogPart::App, spdlog::level::info, "entry VM {} leaves: look-ups no longer name it", this->options.name);
    this->control->leave();
    wire::Timer timer(this->context->get_executor());
    timer.expires_after(this->options.acceptWhileLeaving);
    co_await timer.async_wait(useResult);
    for (const std::unique_ptr<wire::Worker>& worker : this->workers)
        co_await asio::co_spawn(worker->executor(), worker->drain(this->options.drainLimit), useTask);
    this->control->stop();
    wire::log(core::LogPart::App, spdlog::level::info, "entry VM {} has stopped", this->options.name);
    done();
}

Task<wire::TrafficMetrics> EntryVm::collectMetrics()
{
    wire::TrafficMetrics sum;
    for (const std::unique_ptr<wire::Worker>& worker : this->workers) {
        wire::TrafficMetrics part = co_await asio::co_spawn(
            worker->executor(), [&worker]() -> Task<wire::TrafficMetrics> { co_return worker->metrics(); }, useTask);
        sum.add(part);
    }
    co_return sum;
}

Task<wire::TextResponse> EntryVm::dumpPage()
{
    const wire::TrafficMetrics traffic = co_await this->collectMetrics();
    co_return wire::jsonResponse(200, wire::json::serialize(dumpState(*this->control, traffic, wire::steadyNow())));
}

Task<wire::TextResponse> EntryVm::metricsPage()
{
    const wire::TrafficMetrics traffic = co_await this->collectMetrics();
    wire::TextResponse response = wire::jsonResponse(200, metricsText(*this->control, traffic));
    response.set(wire::http::field::content_type, "text/plain; version=0.0.4");
    co_return response;
}

std::string EntryVm::callerAddress() const
{
    return wire::formatEndpoint(this->callerEndpoint);
}

std::string EntryVm::adminAddress() const
{
    return wire::formatEndpoint(this->admin->endpoint());
}

std::string EntryVm::peerAddress() const
{
    return this->control->peer().address();
}

}
