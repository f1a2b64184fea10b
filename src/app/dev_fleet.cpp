#include "app/dev_fleet.h"

#include "core/errors.h"
#include "declare/files.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace cranberryshed::app {

namespace asio = wire::asio;

const std::vector<DevUser>& devUsers()
{
    static const std::vector<DevUser> users = {
        { .name = "foundry", .domains = { "jyl-1", "jyl-2", "jyl-1" }, .services = { "ledger", "mould" } },
        { .name = "schools", .domains = { "attiki-1", "attiki-2", "attiki-1" }, .services = { "repo-core", "archive-dl" } },
    };
    return users;
}

DevFleet::DevFleet(Options fleetOptions)
    : options(std::move(fleetOptions))
    , context(std::make_unique<asio::io_context>(1))
    , workGuard(asio::make_work_guard(*this->context))
    , store(std::make_unique<platform::StoreStandIn>(*this->context))
{
    for (const std::string& service : this->options.user.services) {
        for (std::uint32_t i = 0; i < this->options.serversPerService; ++i)
            this->serverStandIns.push_back(std::make_unique<ServerStandIn>(*this->context, ServerStandInOptions { .name = service + '-' + std::to_string(i + 1), .runs = this->runCounter }));
    }
    this->declareObjects();
    this->publishServerList();
    for (std::size_t i = 0; i < this->options.user.domains.size(); ++i) {
        EntryVmOptions vm;
        vm.fleet = this->options.user.name;
        vm.name = this->options.user.name + "-entry-" + std::to_string(i + 1);
        vm.domain = this->options.user.domains[i];
        vm.storeAddress = this->store->endpoint();
        vm.trafficThreads = this->options.trafficThreads;
        vm.randomSeed = this->options.seed * 100 + i;
        vm.chooser = this->options.chooser;
        vm.acceptTimeWhileLeaving = std::chrono::seconds(1);
        if (!this->vms.empty())
            vm.seeds = { this->vms.front()->peerAddress() };
        this->vms.push_back(std::make_unique<EntryVm>(std::move(vm)));
    }
}

DevFleet::~DevFleet()
{
    this->vms.clear();
    this->workGuard.reset();
    this->context->stop();
    if (this->thread.joinable())
        this->thread.join();
    this->store.reset();
    this->serverStandIns.clear();
    this->context.reset();
}

void DevFleet::start()
{
    if (this->options.slowServerShare > 0)
        asio::co_spawn(*this->context, this->rotateSlowServers(), asio::detached);
    this->thread = std::thread([this] { this->context->run(); });
    for (const std::unique_ptr<EntryVm>& vm : this->vms)
        vm->start();
}

// Slows down a different random set of each service's servers in every period, to simulate temporary stragglers.
wire::Task<void> DevFleet::rotateSlowServers()
{
    core::RandomEngine random(this->options.seed);
    wire::Timer timer(this->context->get_executor());
    for (;;) {
        std::vector<std::size_t> order(this->options.serversPerService);
        for (std::size_t first = 0; first < this->serverStandIns.size(); first += order.size()) {
            std::iota(order.begin(), order.end(), first);
            std::shuffle(order.begin(), order.end(), random);
            const auto slow = static_cast<std::size_t>(std::lround(this->options.slowServerShare * static_cast<double>(order.size())));
            for (std::size_t i = 0; i < order.size(); ++i)
                this->serverStandIns[order[i]]->setFaults({ .slowdown = i < slow ? this->options.slowdown : 1 });
        }
        timer.expires_after(this->options.slowPeriod);
        co_await timer.async_wait(wire::useResult);
    }
}

void DevFleet::declareObjects()
{
    const declare::FileObjects files = declare::readFiles({ this->options.examplesFolder + '/' + this->options.user.name });
    if (!files.problems.empty())
        throw core::Error(core::ErrorKind::BadDeclaration, files.problems.front().path + ": " + files.problems.front().text);
    std::uint64_t revision = 0;
    for (core::Object object : files.objects) {
        object.version.revision = ++revision;
        this->store->put(object, 0);
    }
}

// Puts the server list into the store. The servers of a service alternate between the first two failure domains.
void DevFleet::publishServerList()
{
    std::vector<core::ServerListing> rows;
    for (std::size_t i = 0; i < this->serverStandIns.size(); ++i) {
        const std::string& service = this->options.user.services[i / this->options.serversPerService];
        rows.push_back({
            .name = this->serverStandIns[i]->name(),
            .address = this->serverStandIns[i]->address(),
            .service = service,
            .batch = service + "-dev",
            .domain = this->options.user.domains[i % 2],
        });
    }
    this->store->setServers(std::move(rows));
}

}
