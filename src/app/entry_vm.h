#pragma once

#include "app/control_loop.h"
#include "app/declared_feed.h"
#include "wire/admin.h"
#include "wire/worker.h"

#include <map>

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
    std::uint64_t randomSeed = 0; // of random decisions
    request::ChooserKind chooser = request::ChooserKind::HomeSubset;
    wire::Limits limits;
    std::string lookupAddress; // "IP:port" where callers ask which entry VM to use; empty: at callerAddress
    std::string readinessAddress; // "IP:port" of the readiness check; empty: none
    std::map<std::string, std::string> domains; // region by failure domain; empty: declared in the store
    std::uint16_t peerPort = 0; // of all entry VMs, for peers that are known by another of their addresses; 0: as stated
    double retryShare = 0; // of a service's requests that may be sent again, over all entry VMs; 0: by class
    double retrySlack = 0; // that may be sent again besides
    core::Duration acceptTimeWhileLeaving = std::chrono::seconds(5); // callers may still hold a look-up answer
    core::Duration maxDrainTime = std::chrono::minutes(10); // for requests in flight at a shutdown
};

// What the parts of an entry VM are made of: its feed, and what its traffic threads serve and do.
template <typename Candidate>
concept EntryVmSetup = requires(const EntryVmOptions& options, const std::string& writer, wire::Worker& worker, wire::Worker::Options& workerOptions, wire::tcp::endpoint& caller)
{
    requires InputFeed<typename Candidate::Feed>;
    {
        Candidate::feedOptions(options, writer)
        } -> std::same_as<typename Candidate::Feed::Options>;
    // Changes the options of a traffic thread from their defaults.
    Candidate::adjustWorkerOptions(options, workerOptions);
    // Opens the thread's listeners; sets `caller` to the bound address for callers.
    Candidate::listen(options, worker, caller);
    {
        Candidate::crashOptions()
        } -> std::same_as<request::CrashOptions>;
};

// One entry VM: a control thread and some traffic threads.
template <EntryVmSetup SetupType>
class BasicEntryVm {
public:
    // Binds all sockets. Throws core::Error or boost::system::system_error if that fails.
    explicit BasicEntryVm(EntryVmOptions);
    ~BasicEntryVm();
    BasicEntryVm(const BasicEntryVm&) = delete;
    BasicEntryVm& operator=(const BasicEntryVm&) = delete;

    void start();

    // Starts a graceful shutdown: announces that this VM leaves, goes on accepting for a while, then serves
    // what is in flight. Calls `done` on the control thread. Safe from any thread.
    void shutDown(std::function<void()> done);

    std::string callerAddress() const;
    std::string adminAddress() const;
    std::string peerAddress() const;
    const std::string& name() const { return this->options.name; }

private:
    using Control = ControlLoop<typename SetupType::Feed>;

    typename Control::Options controlOptions(core::Incarnation) const;
    wire::Task<void> drain(std::function<void()> done);
    wire::Task<wire::TextResponse> dumpPage();
    wire::Task<wire::TextResponse> metricsPage();
    wire::Task<wire::TrafficMetrics> collectMetrics();
    ControlView view() const;
    void distributeTable(const core::SteeringTablePointer&);

    EntryVmOptions options;
    std::vector<std::unique_ptr<wire::Worker>> workers;
    wire::tcp::endpoint callerEndpoint;
    std::unique_ptr<wire::asio::io_context> context; // of the control thread
    wire::asio::executor_work_guard<wire::Executor> work;
    std::unique_ptr<wire::AdminServer> admin;
    std::unique_ptr<Control> control;
    std::thread thread;
};

// The parts for cranberryshed's own interface.
struct NativeSetup {
    using Feed = DeclaredFeed;

    static Feed::Options feedOptions(const EntryVmOptions&, const std::string& writer);
    static void adjustWorkerOptions(const EntryVmOptions&, wire::Worker::Options&) { }
    static void listen(const EntryVmOptions&, wire::Worker&, wire::tcp::endpoint& caller);
    static request::CrashOptions crashOptions() { return {}; }
};

using EntryVm = BasicEntryVm<NativeSetup>;

// Compiled once, in entry_vm.cpp.
extern template class BasicEntryVm<NativeSetup>;

}
