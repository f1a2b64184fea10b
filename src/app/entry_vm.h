#pragma once

#include "app/control_loop.h"
#include "app/declared_feed.h"
#include "wire/admin_server.h"
#include "wire/worker.h"

#include <map>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberryshed::app {

// Options of one entry VM, read from its settings file.
struct EntryVmOptions {
    std::string fleet = "cranberryshed"; // name, the same on all entry VMs of a fleet
    std::string name;
    std::string domain; // failure domain
    std::string callerAddress = "127.0.0.1:0"; // "IP:port" to listen on for callers
    std::string adminAddress = "127.0.0.1:0"; // "IP:port" to listen on for requests of metrics and of the state dump
    std::string peerAddress = "127.0.0.1:0"; // "IP:port" to listen on for other entry VMs
    std::string storeAddress; // "IP:port" of the platform's object API
    std::vector<std::string> seeds; // addresses of entry VMs, to join the fleet through; see peerPort
    std::uint32_t trafficThreads = 1;
    std::uint64_t randomSeed = 0; // for random decisions
    request::ChooserKind chooser = request::ChooserKind::HomeSubset;
    wire::TrafficLimits limits;
    std::string lookupAddress; // "IP:port" to listen on for look-ups; empty: callerAddress serves them
    std::string readinessAddress; // "IP:port" to listen on for readiness checks; empty: none
    std::map<std::string, std::string> domains; // region by failure domain; empty: declared in the store
    std::uint16_t peerPort = 0; // replaces the ports in `seeds` if those are not peer addresses; 0: `seeds` are used unchanged
    double retryShare = 0; // max. extra attempts per request for a service, over all entry VMs; 0: limited by class
    double retrySlack = 0; // additional extra attempts per window, of all entry VMs; see request::RetryAllowance
    core::Duration leavingWithin = std::chrono::seconds(2); // after its announcement, a leaving backend server gets no more requests
    core::Duration configurationWithin = std::chrono::seconds(2); // after its acceptance, a configuration is in force
    core::Duration acceptTimeWhileLeaving = std::chrono::seconds(5); // callers can still hold a cached look-up answer
    core::Duration maxDrainTime = std::chrono::minutes(10); // for requests in flight at a shutdown
};

// A setup selects the feed of an entry VM, the options of its traffic threads and the protocols that they serve.
template <typename Candidate>
concept EntryVmSetup = requires(const EntryVmOptions& options, const std::string& writer, wire::Worker& worker, wire::Worker::Options& workerOptions, wire::tcp::endpoint& caller)
{
    requires InputFeed<typename Candidate::Feed>;
    {
        Candidate::feedOptions(options, writer)
        } -> std::same_as<typename Candidate::Feed::Options>;
    // Sets those options of a traffic thread that differ from the defaults.
    Candidate::adjustWorkerOptions(options, workerOptions);
    // Opens the thread's listeners; sets `caller` to the bound address for callers.
    Candidate::listen(options, worker, caller);
    {
        Candidate::crashOptions()
        } -> std::same_as<request::CrashOptions>;
};

// One entry VM: a control thread, which owns the control state, and the traffic threads, which serve callers.
template <EntryVmSetup SetupType>
class BasicEntryVm {
public:
    // Binds all sockets. Throws core::Error or boost::system::system_error on failure.
    explicit BasicEntryVm(EntryVmOptions);
    ~BasicEntryVm();
    BasicEntryVm(const BasicEntryVm&) = delete;
    BasicEntryVm& operator=(const BasicEntryVm&) = delete;

    void start();

    // Starts a graceful shutdown: announces that this VM is leaving, accepts requests for acceptTimeWhileLeaving, then
    // drains the requests in flight. Calls `done` on the control thread at the end. Thread-safe.
    void shutDown(std::function<void()> done);

    std::string callerAddress() const;
    std::string adminAddress() const;
    std::string peerAddress() const;
    const std::string& name() const { return this->options.name; }

private:
    using Loop = ControlLoop<typename SetupType::Feed>;

    typename Loop::Options controlOptions(core::Incarnation) const;
    wire::Task<void> drain(std::function<void()> done);
    wire::Task<void> drainWorkers();
    wire::Task<wire::TextResponse> dumpPage();
    wire::Task<wire::TextResponse> metricsPage();
    wire::Task<wire::TrafficMetrics> collectMetrics();
    ControlView controlView() const;
    void distributeTable(const core::SteeringTablePointer&);

    EntryVmOptions options;
    std::vector<std::unique_ptr<wire::Worker>> workers;
    wire::tcp::endpoint callerEndpoint;
    std::unique_ptr<wire::asio::io_context> context; // of the control thread
    wire::asio::executor_work_guard<wire::Executor> workGuard;
    std::unique_ptr<wire::AdminServer> admin;
    std::unique_ptr<Loop> controlLoop;
    std::thread thread;
};

// Setup for cranberryshed's own interface, as opposed to that of the platform (platform/setup.h).
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
