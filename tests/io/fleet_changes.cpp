// A seeded soak of changes: configurations and leaving servers come in series, while the store and each VM's way to it are
// disturbed and VMs are paused, killed and restarted. Callers and servers check that each change is in force in time on
// each VM that has been undisturbed for a while, and that no VM ever goes back.
//
// CRANBERRYSHED_SEEDS, such as "1-50", replaces the seeds of the test. CRANBERRYSHED_LOGS names a folder for the VMs' logs.

#include "seeds.h"
#include "tcp_proxy.h"
#include "vm_process.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t vmCount = 5;
constexpr unsigned serverCount = 3;
constexpr Milliseconds runTime = 24s;
constexpr Milliseconds changesWithin = 2s;
constexpr Milliseconds stableTime = 4s; // after a disturbance, until a VM must keep the bound again
constexpr Milliseconds downgradeSlack = 250ms; // for requests that were on their way when a change took effect
constexpr Milliseconds probeInterval = 80ms; // of each VM
constexpr Milliseconds joinTime = 5s; // until the VMs have found one another

enum class Disturbance : std::uint8_t { Silence, // a VM's connections to the store pass no more bytes; new ones work
    Hold, // bytes between a VM and the store wait
    HoldAnswers, // the same in one direction
    Reset, // a VM's connections to the store are reset
    Truncate, // the next answers of the store to a VM break off
    Pause, // a VM's process is stopped and continued
    Restart, // a VM's process is killed and started again
    StoreDown, // the store refuses all calls
    StoreSlow, // the store's answers are late
    StoreCompacted }; // the store drops its history and cuts all watches

struct Step {
    Milliseconds at {}; // from the start of the run
    Disturbance disturbance {};
    Milliseconds duration {};
    std::vector<std::size_t> vms {}; // empty: all
};

// The schedule of a seed.
std::vector<Step> makeSchedule(unsigned seed)
{
    std::mt19937 random(seed);
    const auto between = [&](int low, int high) { return Milliseconds(std::uniform_int_distribution<int>(low, high)(random)); };
    const auto someVms = [&] {
        std::vector<std::size_t> vms { 0, 1, 2, 3, 4 };
        std::ranges::shuffle(vms, random);
        vms.resize(1 + random() % vmCount);
        return vms;
    };
    std::vector<Step> steps;
    const int count = 3 + static_cast<int>(random() % 4);
    for (int i = 0; i < count; ++i) {
        Step step { .at = between(500, 17000), .disturbance = static_cast<Disturbance>(random() % 10), .duration = between(200, 5000) };
        if (step.disturbance < Disturbance::StoreDown)
            step.vms = someVms();
        steps.push_back(std::move(step));
    }
    return steps;
}

// A span of time that excuses a VM, or all.
struct Span {
    Clock::time_point begin {};
    Clock::time_point end {};
    std::optional<std::size_t> vm {}; // empty: all
};

struct Change {
    Clock::time_point sentAt {};
    Clock::time_point acknowledgedAt {};
    unsigned version = 0;
};

// What a caller saw: a request on a path that exists in one version only.
struct Probe {
    std::size_t vm = 0;
    unsigned incarnation = 0;
    Clock::time_point sentAt {};
    Clock::time_point answeredAt {};
    unsigned version = 0;
    int status = 0;
};

// A request that reached a server.
struct Arrival {
    std::size_t vm = 0;
    unsigned server = 0;
    Clock::time_point at {};
};

class Soak {
public:
    explicit Soak(unsigned soakSeed)
        : seed(soakSeed)
        , fixture(serverCount)
    {
        this->fixture.writeConfiguration(1, pathOf(1));
        this->changes.push_back({ .sentAt = Clock::now(), .acknowledgedAt = Clock::now(), .version = 1 });
        for (unsigned i = 0; i < serverCount; ++i)
            this->fixture.servers[i]->onArrival = [this, i](const std::string& request) { this->addArrival(i, request); };
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < vmCount; ++i)
            peers.push_back(this->fixture.freeAddress());
        for (std::size_t i = 0; i < vmCount; ++i) {
            this->proxies.push_back(std::make_unique<TcpProxy>(this->fixture.context, this->fixture.store.endpoint()));
            this->vms.push_back(std::make_unique<VmProcess>(this->fixture, VmProcessOptions { .name = "front-" + std::to_string(i + 1), .peerAddress = peers[i], .peers = peers, .storeAddress = this->proxies[i]->address(), .logLevel = this->logFile(i).empty() ? "error" : "debug", .logFile = this->logFile(i), .changesWithin = changesWithin }));
        }
        std::this_thread::sleep_for(joinTime);
    }

    // Runs the schedule. Returns a description of each promise that was broken.
    std::vector<std::string> run()
    {
        this->begin = Clock::now();
        this->beginUnixMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < vmCount; ++i)
            threads.emplace_back([this, i] { this->probe(i); });
        threads.emplace_back([this] { this->changeConfigurations(); });
        threads.emplace_back([this] { this->changeServers(); });
        for (const Step& step : makeSchedule(this->seed))
            threads.emplace_back([this, step] { this->carryOut(step); });
        std::this_thread::sleep_until(this->begin + runTime);
        this->isStopping = true;
        for (std::thread& thread : threads)
            thread.join();
        std::vector<std::string> broken;
        this->checkConfigurations(broken);
        this->checkDowngrades(broken);
        this->checkServers(broken);
        return broken;
    }

    // When the run began, to compare times with those of the logs.
    std::string startText() const { return "run began at " + std::to_string(this->beginUnixMs) + " ms (Unix)\n"; }

    std::size_t probeCount() const { return this->probes.size(); }

private:
    static std::string pathOf(unsigned version) { return "/v" + std::to_string(version) + "/"; }

    // Where CRANBERRYSHED_LOGS names a folder, the VM's log in it; else empty.
    std::string logFile(std::size_t vm) const
    {
        const char* folder = std::getenv("CRANBERRYSHED_LOGS");
        return folder ? std::string(folder) + "/seed-" + std::to_string(this->seed) + "-front-" + std::to_string(vm + 1) + ".log" : std::string();
    }

    Milliseconds sinceBegin(Clock::time_point time) const { return std::chrono::duration_cast<Milliseconds>(time - this->begin); }

    // Sends requests to one VM: on the paths of the newest version and of the one before it.
    void probe(std::size_t vm)
    {
        for (unsigned number = 0; !this->isStopping; ++number) {
            const unsigned newest = this->newestVersion;
            const unsigned version = number % 2 == 0 || newest == 1 ? newest : newest - 1;
            Probe sent { .vm = vm, .incarnation = this->incarnations[vm], .sentAt = Clock::now(), .version = version };
            const std::string id = std::to_string(vm) + "-" + std::to_string(number);
            try {
                sent.status = RawClient(this->vms[vm]->callers).ask(post(pathOf(version) + id, "bell", "Request-Id: " + id + "\r\nDeadline-Ms: 900\r\nAffinity-Key: " + std::to_string(number % 30) + "\r\nConnection: close\r\n")).status();
            } catch (const boost::system::system_error&) {
                // The process is being restarted.
            }
            sent.answeredAt = Clock::now();
            this->record(sent);
            std::this_thread::sleep_for(probeInterval);
        }
    }

    // A request during a restart shows nothing of either process.
    void record(const Probe& probe)
    {
        const std::scoped_lock lock(this->mutex);
        if (probe.incarnation == this->incarnations[probe.vm])
            this->probes.push_back(probe);
    }

    void addArrival(unsigned server, const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        this->arrivals.push_back({ .vm = static_cast<std::size_t>(std::stoul(request)), .server = server, .at = Clock::now() });
    }

    // Writes configurations at irregular intervals, some in quick succession.
    void changeConfigurations()
    {
        std::mt19937 random(this->seed + 1000);
        while (!this->isStopping) {
            std::this_thread::sleep_for(Milliseconds(random() % 3 == 0 ? 200 : 1000 + random() % 4000));
            const unsigned version = this->newestVersion + 1;
            const Clock::time_point sentAt = Clock::now();
            this->fixture.writeConfiguration(version, pathOf(version));
            const std::scoped_lock lock(this->mutex);
            this->changes.push_back({ .sentAt = sentAt, .acknowledgedAt = Clock::now(), .version = version });
            this->newestVersion = version;
        }
    }

    // Lets one server after the other leave, and come back some time after that.
    void changeServers()
    {
        std::mt19937 random(this->seed + 2000);
        for (unsigned i = 0; !this->isStopping; ++i) {
            std::this_thread::sleep_for(Milliseconds(500 + random() % 2000));
            const PlatformServer& server = *this->fixture.servers[i % serverCount];
            this->fixture.writeServerEntry(server, "draining");
            const Clock::time_point left = Clock::now();
            std::this_thread::sleep_for(Milliseconds(3000 + random() % 1500));
            {
                const std::scoped_lock lock(this->mutex);
                this->absences.push_back({ .begin = left, .end = Clock::now(), .vm = i % serverCount });
            }
            this->fixture.writeServerEntry(server, "ready");
        }
    }

    void carryOut(const Step& step)
    {
        std::this_thread::sleep_until(this->begin + step.at);
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
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
            this->fixture.store.cutWatches();
            std::this_thread::sleep_for(step.duration);
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
            break;
        case Disturbance::StoreSlow:
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.delay = 1200ms; });
            std::this_thread::sleep_for(step.duration);
            this->fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.delay = 0ms; });
            break;
        case Disturbance::StoreCompacted:
            this->fixture.store.compactHistory();
            this->fixture.store.cutWatches();
            break;
        }
        this->excuse(step, from);
    }

    template <typename Action>
    void forEach(const Step& step, Action action)
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
            {
                const std::scoped_lock probesLock(this->mutex);
                ++this->incarnations[vm];
            }
            this->vms[vm]->restart();
        }
    }

    void excuse(const Step& step, Clock::time_point from)
    {
        const std::scoped_lock lock(this->mutex);
        const Clock::time_point until = Clock::now() + stableTime;
        if (step.vms.empty())
            this->excuses.push_back({ .begin = from, .end = until });
        for (const std::size_t vm : step.vms)
            this->excuses.push_back({ .begin = from, .end = until, .vm = vm });
    }

    // Whether the VM was disturbed at some time between two times, or shortly before.
    bool isExcused(std::size_t vm, Clock::time_point from, Clock::time_point until) const
    {
        return std::ranges::any_of(this->excuses, [&](const Span& span) { return (!span.vm || span.vm == vm) && span.begin <= until && span.end >= from; });
    }

    std::string describe(const Probe& probe) const
    {
        return "VM " + std::to_string(probe.vm) + ", version " + std::to_string(probe.version) + ", sent at " + std::to_string(this->sinceBegin(probe.sentAt).count()) + " ms, status " + std::to_string(probe.status);
    }

    // Each version is in force within the bound: its path exists, and that of the version before it doesn't.
    void checkConfigurations(std::vector<std::string>& broken) const
    {
        for (const Probe& probe : this->probes) {
            for (const Change& change : this->changes) {
                if (probe.sentAt <= change.acknowledgedAt + changesWithin || this->isExcused(probe.vm, probe.sentAt, probe.answeredAt))
                    continue;
                const bool wasReplaced = std::ranges::any_of(this->changes, [&](const Change& later) { return later.version > change.version && later.sentAt <= probe.answeredAt; });
                const bool isMissing = probe.version == change.version && probe.status == 404 && !wasReplaced;
                const bool isStillServed = probe.version < change.version && probe.status == 200;
                if (isMissing || isStillServed)
                    broken.push_back("configuration " + std::to_string(change.version) + " of " + std::to_string(this->sinceBegin(change.acknowledgedAt).count()) + " ms is not in force: " + this->describe(probe));
            }
        }
    }

    // A VM that has shown a version never again shows an older one, as long as its process runs.
    void checkDowngrades(std::vector<std::string>& broken) const
    {
        for (const Probe& seen : this->probes) {
            if (seen.status != 200)
                continue;
            for (const Probe& later : this->probes) {
                const bool isLater = later.vm == seen.vm && later.incarnation == seen.incarnation && later.sentAt > seen.answeredAt + downgradeSlack;
                if (isLater && later.version < seen.version && later.status == 200)
                    broken.push_back("back from version " + std::to_string(seen.version) + ": " + this->describe(later));
            }
        }
    }

    // A server gets no requests from the bound after its announcement until it is back.
    void checkServers(std::vector<std::string>& broken) const
    {
        for (const Span& absence : this->absences) {
            for (const Arrival& arrival : this->arrivals) {
                const bool isLate = arrival.server == absence.vm && arrival.at > absence.begin + changesWithin && arrival.at < absence.end;
                if (isLate && !this->isExcused(arrival.vm, arrival.at, arrival.at))
                    broken.push_back("server " + std::to_string(arrival.server) + " left at " + std::to_string(this->sinceBegin(absence.begin).count()) + " ms and got a request of VM " + std::to_string(arrival.vm) + " at " + std::to_string(this->sinceBegin(arrival.at).count()) + " ms");
            }
        }
    }

    unsigned seed;
    std::mutex mutex; // of what follows up to `arrivals`
    std::vector<Change> changes;
    std::vector<Span> excuses;
    std::vector<Span> absences; // of servers
    std::array<unsigned, vmCount> incarnations {};
    std::vector<Probe> probes;
    std::vector<Arrival> arrivals;
    std::atomic<unsigned> newestVersion = 1;
    std::atomic<bool> isStopping = false;
    Clock::time_point begin {};
    Milliseconds::rep beginUnixMs = 0;
    PlatformFixture fixture;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    std::vector<std::unique_ptr<VmProcess>> vms;
    std::mutex processes; // protects the restart of the VMs' processes
};

std::string describe(const Step& step)
{
    constexpr std::array names = { "silence", "hold", "hold answers", "reset", "truncate", "pause", "restart", "store down", "store slow", "store compacted" };
    std::string text = std::to_string(step.at.count()) + " ms " + names.at(static_cast<std::size_t>(step.disturbance)) + " for " + std::to_string(step.duration.count()) + " ms, VMs";
    for (const std::size_t vm : step.vms)
        text += ' ' + std::to_string(vm);
    return text;
}

}

// Guards against a VM that decides by a configuration or a list of servers that is no longer in force, or goes back to an
// older one, after its way to the store, the store or its own process was disturbed. Seeds 2 and 15 showed it once.
TEST_CASE("changes are in force in time on all VMs that have been undisturbed for a while", "[fleet-changes]")
{
    for (const unsigned seed : seedsOr({ 2, 15 })) {
        Soak soak(seed);
        const std::vector<std::string> broken = soak.run();
        if (!broken.empty()) {
            std::cout << soak.startText();
            std::cout << "seed " << seed << ": " << broken.size() << " broken, first: " << broken.front() << std::endl;
            for (const Step& step : makeSchedule(seed))
                std::cout << "  " << describe(step) << std::endl;
        }
        INFO("seed " << seed << ", " << soak.probeCount() << " requests");
        CHECK(broken.empty());
        CHECK(soak.probeCount() > 500);
    }
}
