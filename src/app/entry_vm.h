#pragma once

#include "app/control_loop.h"
#include "wire/admin.h"
#include "wire/worker.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberryshed::app {

// What one entry VM is told by its settings.
struct EntryVmOptions {
    std::string fleet = "cranberryshed"; // the same for all entry VMs of one user
    std::string name;
    std::string domain; // failure domain
    std::string callerAddress = "127.0.0.1:0"; // "IP:port" where callers connect
    std::string adminAddress = "127.0.0.1:0"; // metrics and state dump
    std::string peerAddress = "127.0.0.1:0"; // other entry VMs
    std::string storeAddress; // the platform's object API
    std::vector<std::string> seeds; // peer addresses of some entry VMs
    std::uint32_t trafficThreads = 1;
    std::uint64_t seed = 0; // of random decisions
    request::ChooserKind chooser = request::ChooserKind::HomeSubset;
    wire::Limits limits;
    core::Duration acceptWhileLeaving = std::chrono::seconds(5); // callers may still hold a look-up answer
    core::Duration drainLimit = std::chrono::minutes(10); // for requests in flight at a shutdown
};

// One entry VM: a control thread and some traffic threads.
class EntryVm {
public:
    // Binds all sockets. Throws core::Error or boost::system::system_error if that fails.
    explicit EntryVm(EntryVmOptions);
    ~EntryVm();
    EntryVm(const EntryVm&) = delete;
    EntryVm& operator=(const EntryVm&) = delete;

    void start();

    // Starts a graceful shutdown: announces that this VM leaves, goes on accepting for a while, then serves
    // what is in flight. Calls `done` on the control thread. Safe from any thread.
    void shutDown(std::function<void()> done);

    std::string callerAddress() const;
    std::string adminAddress() const;
    std::string peerAddress() const;
    const std::string& name() const { return this->options.name; }

private:
    wire::Task<void> drain(std::function<void()> done);
    wire::Task<wire::TextResponse> dumpPage();
    wire::Task<wire::TextResponse> metricsPage();
    wire::Task<wire::TrafficMetrics> collectMetrics();
    void takeTable(const core::SteeringTablePointer&);

    EntryVmOptions options;
    std::vector<std::unique_ptr<wire::Worker>> workers;
    wire::tcp::endpoint callerEndpoint;
    std::unique_ptr<wire::asio::io_context> context; // of the control thread
    wire::asio::executor_work_guard<wire::Executor> work;
    std::unique_ptr<wire::AdminServer> admin;
    std::unique_ptr<ControlLoop> control;
    std::thread thread;
};

}
