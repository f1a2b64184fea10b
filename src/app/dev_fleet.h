#pragma once

#include "app/entry_vm.h"
#include "app/server_standin.h"
#include "platform/store_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryshed::app {

// A user whose system `dev` runs at a small size, with all users in one process: a platform stand-in, three entry VMs
// in two failure domains and some backend servers.
struct DevUser {
    std::string name; // also the folder of the declarations, such as "foundry"
    std::vector<std::string> domains; // failure domain of each entry VM
    std::vector<std::string> services;
};

// The system of one user in `dev`. Uses one thread for the stand-ins, besides the threads of each entry VM.
class DevFleet {
public:
    struct Options {
        DevUser user;
        std::string examplesFolder; // contains one folder of declarations per user
        std::uint32_t serversPerService = 4;
        std::uint32_t trafficThreads = 1;
        std::uint64_t seed = 1; // for random decisions
        request::ChooserKind chooser = request::ChooserKind::HomeSubset;
        double slowServerShare = 0; // share of each service's servers that are slow at any time
        double slowdown = 10; // factor on the service time of a slow server
        core::Duration slowPeriod = std::chrono::seconds(3); // how long the same servers are slow
    };

    explicit DevFleet(Options);
    ~DevFleet();
    DevFleet(const DevFleet&) = delete;
    DevFleet& operator=(const DevFleet&) = delete;

    void start();

    const std::string& name() const { return this->options.user.name; }
    std::string storeAddress() const { return this->store->endpoint(); }
    platform::StoreStandIn& standIn() { return *this->store; }
    const std::vector<std::unique_ptr<EntryVm>>& entryVms() const { return this->vms; }
    const std::vector<std::unique_ptr<ServerStandIn>>& servers() const { return this->serverStandIns; }
    const RunCounter& runs() const { return *this->runCounter; }

private:
    void declareObjects();
    wire::Task<void> rotateSlowServers();
    void publishServerList();

    Options options;
    std::unique_ptr<wire::asio::io_context> context;
    wire::asio::executor_work_guard<wire::Executor> workGuard;
    std::shared_ptr<RunCounter> runCounter = std::make_shared<RunCounter>();
    std::unique_ptr<platform::StoreStandIn> store;
    std::vector<std::unique_ptr<ServerStandIn>> serverStandIns;
    std::vector<std::unique_ptr<EntryVm>> vms;
    std::thread thread;
};

// Returns the users whose declarations are in examples/.
const std::vector<DevUser>& devUsers();

}
