#pragma once

#include "seeds.h"
#include "soak_record.h"
#include "soak_schedule.h"
#include "tcp_proxy.h"
#include "vm_process.h"

#include <iostream>
#include <random>
#include <set>
#include <shared_mutex>

namespace cranberryshed::test {

struct SoakOptions {
    unsigned seed = 0;
    std::vector<Step> schedule {};
    std::vector<std::string> serverDomains { "north-1", "north-1", "north-1" }; // by server
    bool evacuates = false; // evacuates one failure domain after the other
    bool keepsConnections = false; // callers send requests on one connection until it ends
};

// Real entry VMs as processes, with callers, servers and an operator, that run a schedule of disturbances.
class FleetSoak {
public:
    static constexpr Milliseconds runTime { 24000 };
    static constexpr Milliseconds joinTime { 5000 }; // until the VMs have found one another

    explicit FleetSoak(SoakOptions soakOptions)
        : options(std::move(soakOptions))
        , fixture(static_cast<unsigned>(this->options.serverDomains.size()))
    {
        this->writeConfiguration(1);
        for (std::size_t i = 0; i < this->fixture.servers.size(); ++i) {
            PlatformServer& server = *this->fixture.servers[i];
            server.domain = this->options.serverDomains[i];
            this->serverStates.emplace_back("ready");
            server.onArrival = [this, i](const std::string& request) { this->record.add(Arrival { .vm = std::stoul(request), .server = i, .at = Clock::now() }); };
        }
        this->repeatServerStates(1);
        this->startVms();
    }

    // Runs the schedule. Returns a description of each promise that was broken.
    std::vector<std::string> run()
    {
        this->fixture.store.keepCopy();
        const Clock::time_point begin = Clock::now();
        this->beginUnixMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        this->record.start(begin);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < soakVmCount; ++i)
            threads.emplace_back([this, i] { this->probe(i); });
        threads.emplace_back([this] { this->changeConfigurations(); });
        threads.emplace_back([this] { this->changeServers(); });
        if (this->options.evacuates)
            threads.emplace_back([this] { this->changeEvacuations(); });
        for (const Step& step : this->options.schedule)
            threads.emplace_back([this, step, begin] { std::this_thread::sleep_until(begin + step.at); this->carryOut(step); });
        std::this_thread::sleep_until(begin + runTime);
        this->isStopping = true;
        for (std::thread& thread : threads)
            thread.join();
        return this->record.check();
    }

    // Prints what is needed to trace a run that broke promises.
    void print(const std::vector<std::string>& broken) const
    {
        std::cout << "run began at " << this->beginUnixMs << " ms (Unix)\n"
                  << "seed " << this->options.seed << ": " << broken.size() << " broken, the first of them:" << std::endl;
        for (std::size_t i = 0; i < std::min(broken.size(), maxPrinted); ++i)
            std::cout << "  " << broken[i] << std::endl;
        for (const Step& step : this->options.schedule)
            std::cout << "  " << describe(step) << std::endl;
    }

    std::size_t probeCount() const { return this->record.probeCount(); }

private:
    static constexpr std::size_t maxPrinted = 5; // broken promises
    static constexpr Milliseconds probeInterval { 80 }; // of each VM
    static constexpr Milliseconds evacuatedWithin { 5000 };

    static std::string pathOf(unsigned version) { return "/v" + std::to_string(version) + "/"; }

    // Where CRANBERRYSHED_LOGS names a folder, the VM's log in it; else empty.
    std::string logFile(std::size_t vm) const
    {
        const char* folder = std::getenv("CRANBERRYSHED_LOGS");
        return folder ? std::string(folder) + "/seed-" + std::to_string(this->options.seed) + "-front-" + std::to_string(vm + 1) + ".log" : std::string();
    }

    void startVms()
    {
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < soakVmCount; ++i)
            peers.push_back(this->fixture.freeAddress());
        const std::set<std::string> domains(this->options.serverDomains.begin(), this->options.serverDomains.end());
        for (std::size_t i = 0; i < soakVmCount; ++i) {
            this->proxies.push_back(std::make_unique<TcpProxy>(this->fixture.context, this->fixture.store.endpoint()));
            this->vms.push_back(std::make_unique<VmProcess>(this->fixture, VmProcessOptions { .name = "front-" + std::to_string(i + 1), .peerAddress = peers[i], .peers = peers, .domains = { domains.begin(), domains.end() }, .storeAddress = this->proxies[i]->address(), .logLevel = this->logFile(i).empty() ? "error" : "debug", .logFile = this->logFile(i), .changesWithin = SoakRecord::changesWithin }));
        }
    }

    // Sends requests to one VM: on the paths of the newest version and of the one before it.
    void probe(std::size_t vm)
    {
        std::unique_ptr<RawClient> client;
        for (unsigned number = 0; !this->isStopping; ++number) {
            const unsigned newest = this->newestVersion;
            const unsigned version = number % 2 == 0 || newest == 1 ? newest : newest - 1;
            Probe sent { .vm = vm, .incarnation = this->record.incarnation(vm), .sentAt = Clock::now(), .version = version };
            const std::string id = std::to_string(vm) + "-" + std::to_string(number);
            const std::string fields = "Request-Id: " + id + "\r\nDeadline-Ms: 900\r\nAffinity-Key: " + std::to_string(number % 30) + "\r\n" + (this->options.keepsConnections ? "" : "Connection: close\r\n");
            try {
                if (!client)
                    client = std::make_unique<RawClient>(this->vms[vm]->callers);
                sent.status = client->ask(post(pathOf(version) + id, "bell", fields)).status();
            } catch (const boost::system::system_error&) {
                // The process is being restarted.
            }
            sent.answeredAt = Clock::now();
            this->record.add(sent);
            if (!this->options.keepsConnections || sent.status == 0)
                client.reset();
            std::this_thread::sleep_for(probeInterval);
        }
    }

    void writeConfiguration(unsigned version)
    {
        const Clock::time_point sentAt = Clock::now();
        this->write([&] { this->fixture.writeConfiguration(version, pathOf(version)); });
        this->record.add(Change { .sentAt = sentAt, .acknowledgedAt = Clock::now(), .version = version });
    }

    // Makes a write as soon as the store isn't away.
    template <typename Write>
    void write(const Write& makeWrite)
    {
        const std::shared_lock lock(this->storeAccess);
        makeWrite();
    }

    // Writes configurations at irregular intervals, some in quick succession.
    void changeConfigurations()
    {
        std::mt19937 random(this->options.seed + 1000);
        while (!this->isStopping) {
            std::this_thread::sleep_for(Milliseconds(random() % 3 == 0 ? 200 : 1000 + random() % 4000));
            this->writeConfiguration(this->newestVersion + 1);
            ++this->newestVersion;
        }
    }

    void writeServerState(std::size_t server, const std::string& state)
    {
        const std::scoped_lock lock(this->serverWrites);
        this->serverStates[server] = state;
        this->fixture.writeServerEntry(*this->fixture.servers[server], state);
    }

    // All servers write the states that they are in, each as a new one.
    void repeatServerStates(unsigned times)
    {
        const std::scoped_lock lock(this->serverWrites);
        for (std::size_t i = 0; i < times * this->serverStates.size(); ++i) {
            const std::size_t server = i % this->serverStates.size();
            this->fixture.writeServerEntry(*this->fixture.servers[server], this->serverStates[server]);
        }
    }

    // Lets one server after the other leave, and come back some time after that.
    void changeServers()
    {
        std::mt19937 random(this->options.seed + 2000);
        for (std::size_t i = 0; !this->isStopping; ++i) {
            std::this_thread::sleep_for(Milliseconds(500 + random() % 2000));
            const std::size_t number = i % this->fixture.servers.size();
            this->write([&] { this->writeServerState(number, "draining"); });
            const Clock::time_point left = Clock::now();
            std::this_thread::sleep_for(Milliseconds(3000 + random() % 1500));
            this->record.add(Absence { .reason = "leaving", .servers = { number }, .begin = left, .end = Clock::now(), .bound = SoakRecord::changesWithin });
            this->write([&] { this->writeServerState(number, "ready"); });
        }
    }

    // Evacuates the failure domains of the servers in turn, and takes it back some time after that.
    void changeEvacuations()
    {
        std::mt19937 random(this->options.seed + 3000);
        for (std::size_t i = 0; !this->isStopping; ++i) {
            std::this_thread::sleep_for(Milliseconds(500 + random() % 1500));
            const std::string& domain = this->options.serverDomains[i % this->options.serverDomains.size()];
            Absence absence { .reason = "evacuated", .bound = evacuatedWithin };
            for (std::size_t server = 0; server < this->options.serverDomains.size(); ++server) {
                if (this->options.serverDomains[server] == domain)
                    absence.servers.push_back(server);
            }
            this->write([&] { this->fixture.setEvacuated(domain, true); });
            absence.begin = Clock::now();
            std::this_thread::sleep_for(Milliseconds(6000 + random() % 2500));
            absence.end = Clock::now();
            this->record.add(absence);
            this->write([&] { this->fixture.setEvacuated(domain, false); });
        }
    }

    void carryOut(const Step& step)
    {
        const Clock::time_point from = Clock::now();
        switch (step.disturbance) {
        case Disturbance::Silence:
            this->forEach(step, [](TcpProxy& proxy) { proxy.silence(); });
            break;
        case Disturbance::Hold:
        case Disturbance::HoldAnswers:
            this->forEach(step, [&](TcpProxy& proxy) { proxy.hold(true, step.disturbance == Disturbance::Hold); });
            std::this_thread::sleep_for(step.duration);
            this->forEach(step, [](TcpProxy& proxy) { proxy.hold(false); });
            break;
        case Disturbance::Reset:
            this->forEach(step, [](TcpProxy& proxy) { proxy.reset(); });
            break;
        case Disturbance::Truncate:
            this->forEach(step, [](TcpProxy& proxy) { proxy.truncateAnswers(true); });
            std::this_thread::sleep_for(step.duration);
            this->forEach(step, [](TcpProxy& proxy) { proxy.truncateAnswers(false); });
            break;
        case Disturbance::Pause:
            this->signal(step.vms, SIGSTOP);
            std::this_thread::sleep_for(step.duration);
            this->signal(step.vms, SIGCONT);
            break;
        case Disturbance::Restart:
            this->restart(step.vms);
            break;
        case Disturbance::StoreDown:
            this->setRefusing(true);
            std::this_thread::sleep_for(step.duration);
            this->setRefusing(false);
            break;
        case Disturbance::StoreSlow:
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.delay = Milliseconds(1200); });
            std::this_thread::sleep_for(step.duration);
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.delay = {}; });
            break;
        case Disturbance::StoreCompacted:
            this->fixture.store.compactHistory();
            this->fixture.store.cutWatches();
            break;
        case Disturbance::StoreReturn:
            this->returnFromCopy(step);
            return;
        }
        this->addDisturbance(step, from);
    }

    void setRefusing(bool refuses)
    {
        this->fixture.store.changeFaults([&](platform::StoreFaults& faults) { faults.refusesCalls = refuses; });
        if (refuses)
            this->fixture.store.cutWatches();
    }

    void returnFromCopy(const Step& step)
    {
        if (step.copyAge)
            this->write([&] { this->fixture.store.keepCopy(); });
        this->write([&] { this->repeatServerStates(step.lostStates); });
        std::this_thread::sleep_for(step.copyAge.value_or(Milliseconds {}));
        ReturnedStore storeReturn;
        {
            const std::unique_lock lock(this->storeAccess);
            storeReturn.awaySince = Clock::now();
            this->setRefusing(true);
            std::this_thread::sleep_for(step.duration);
            this->fixture.store.restoreCopy();
            this->setRefusing(false);
            storeReturn.backAt = Clock::now();
        }
        std::this_thread::sleep_for(step.rewriteDelay);
        this->write([&] { this->fixture.writeAgain(); });
        storeReturn.rewrittenAt = Clock::now();
        this->record.add(storeReturn);
    }

    template <typename Action>
    void forEach(const Step& step, const Action& action)
    {
        for (const std::size_t vm : step.vms)
            action(*this->proxies[vm]);
    }

    void signal(const std::vector<std::size_t>& which, int number)
    {
        const std::scoped_lock lock(this->processes);
        for (const std::size_t vm : which)
            this->vms[vm]->signal(number);
    }

    void restart(const std::vector<std::size_t>& which)
    {
        const std::scoped_lock lock(this->processes);
        for (const std::size_t vm : which) {
            this->record.addRestart(vm);
            this->vms[vm]->restart();
        }
    }

    void addDisturbance(const Step& step, Clock::time_point from)
    {
        const Clock::time_point until = Clock::now() + SoakRecord::stableTime;
        if (step.vms.empty())
            this->record.add(Disturbed { .begin = from, .end = until });
        for (const std::size_t vm : step.vms)
            this->record.add(Disturbed { .begin = from, .end = until, .vm = vm });
    }

    SoakOptions options;
    SoakRecord record;
    std::atomic<unsigned> newestVersion = 1;
    std::atomic<bool> isStopping = false;
    Milliseconds::rep beginUnixMs = 0;
    std::shared_mutex storeAccess; // held exclusively while the store is away before a return
    std::mutex serverWrites; // keeps `serverStates` and the store in step
    std::vector<std::string> serverStates;
    PlatformFixture fixture;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    std::vector<std::unique_ptr<VmProcess>> vms;
    std::mutex processes; // protects the restart of the VMs' processes
};

}
