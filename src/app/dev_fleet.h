#pragma once

#include "app/entry_vm.h"
#include "app/server_standin.h"
#include "platform/standin.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryshed::app {

// Both users' systems at a small size in one process: for each a platform stand-in, three entry VMs in two
// failure domains and some backend servers.
struct DevUser {
    std::string name; // folder of its declarations, such as "foundry"
    std::vector<std::string> domains; // of the entry VMs, one each
    std::vector<std::string> services;
};

// One user's part of `dev`. Threads: one for stand-ins, and those of each entry VM.
class DevFleet {
public:
    struct Options {
        DevUser user;
        std::string examplesFolder; // folder that holds the declarations of the users
        std::uint32_t serversPerService = 4;
        std::uint32_t trafficThreads = 1;
        std::uint64_t seed = 1;
        request::ChooserKind chooser = request::ChooserKind::HomeSubset;
        double slowServerShare = 0; // share of the servers that is slow at any moment
        double slowdown = 10; // factor on the service time of a slow server
        core::Duration slowPeriod = std::chrono::seconds(3); // after which other servers are slow
    };

    explicit DevFleet(Options);
    ~DevFleet();
    DevFleet(const DevFleet&) = delete;
    DevFleet& operator=(const DevFleet&) = delete;

    void start();

    const std::string& name() const { return this->options.user.name; }
    std::string storeAddress() const { return this->store->endpoint(); }
    platform::StandIn& standIn() { return *this->store; }
    const std::vector<std::unique_ptr<EntryVm>>& entryVms() const { return this->vms; }
    const std::vector<std::unique_ptr<ServerStandIn>>& servers() const { return this->backends; }
    const RunCounter& runs() const { return *this->runCounter; }

private:
    void declareObjects();
    wire::Task<void> rotateSlowServers();
    void publishServerList();

    Options options;
    std::unique_ptr<wire::asio::io_context> context;
    wire::asio::executor_work_guard<wire::Executor> work;
    std::shared_ptr<RunCounter> runCounter = std::make_shared<RunCounter>();
    std::unique_ptr<platform::StandIn> store;
    std::vector<std::unique_ptr<ServerStandIn>> backends;
    std::vector<std::unique_ptr<EntryVm>> vms;
    std::thread thread;
};

// The users whose declarations are in examples/.
const std::vector<DevUser>& devUsers();

}
