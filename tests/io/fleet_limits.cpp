// A seeded soak of the limits that all entry VMs share: the rate of a cold server and the extra attempts at a service.
// Real processes are killed, restarted and paused, in series that overlap, while callers go on.
//
// CRANBERRYSHED_SEEDS, such as "1-50", replaces the seeds of the test.

#include "seeds.h"
#include "vm_process.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <random>
#include <set>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t vmCount = 6; // more than servers, so that several VMs share one server
constexpr unsigned serverCount = 2;
constexpr auto runTime = 22s;
constexpr auto requestInterval = 100ms; // of each caller; one caller per VM

constexpr double retryShare = 0.2; // extra attempts per request, over all VMs
constexpr double retrySlack = 50; // further extra attempts per window, over all VMs
constexpr auto retryWindow = 10s;

constexpr double coldRate = 6.3; // requests a second, as in the fixture's configuration
constexpr double coldOvershoot = 1.5;
constexpr double coldSlack = 5; // requests
constexpr auto coldTime = 4000ms;
constexpr auto coldNoticeTime = 1000ms; // until all VMs have read that a server is cold

enum class Disruption : std::uint8_t { Refuse, // all servers refuse requests
    RestartAll, // all VMs are killed and started again; the servers refuse meanwhile
    RestartSome, // the same for some
    Pause, // some VMs are stopped and continued
    Cold }; // a server becomes cold

struct Step {
    std::chrono::milliseconds at {}; // from the start of the run
    Disruption disruption = Disruption::Refuse;
    std::chrono::milliseconds duration {};
    std::vector<std::size_t> vms {};
};

// The schedule of a seed, ordered by time.
std::vector<Step> makeSchedule(unsigned seed)
{
    std::mt19937 random(seed);
    const auto between = [&](int low, int high) { return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(random)); };
    const auto someVms = [&](std::size_t count) {
        std::vector<std::size_t> vms(vmCount);
        for (std::size_t i = 0; i < vmCount; ++i)
            vms[i] = i;
        std::ranges::shuffle(vms, random);
        vms.resize(count);
        return vms;
    };
    std::vector<Step> steps;
    const auto firstRefusal = between(500, 4000);
    steps.push_back({ .at = firstRefusal, .disruption = Disruption::Refuse, .duration = between(600, 1500) });
    steps.push_back({ .at = firstRefusal + between(8800, 9600), .disruption = Disruption::Refuse, .duration = between(600, 1500) });
    steps.push_back({ .at = between(3000, 17000), .disruption = random() % 2 == 0 ? Disruption::RestartAll : Disruption::RestartSome, .duration = between(1000, 3000), .vms = someVms(1 + random() % 4) });
    steps.push_back({ .at = between(1000, 14000), .disruption = Disruption::Pause, .duration = between(1000, 7000), .vms = someVms(1 + random() % 3) });
    for (int i = 0; i < 3; ++i)
        steps.push_back({ .at = 1000ms + i * 6500ms + between(0, 2000), .disruption = Disruption::Cold });
    std::ranges::sort(steps, {}, &Step::at);
    return steps;
}

// What callers sent and what reached the servers.
class Record {
public:
    void addRequest()
    {
        const std::scoped_lock lock(this->mutex);
        this->requests.push_back(Clock::now());
    }

    void addArrival(unsigned server, const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        this->arrivals[server].push_back(Clock::now());
        if (!this->arrived.insert(request).second)
            this->extraAttempts.push_back(Clock::now());
    }

    // The largest number of extra attempts in a window beyond what is allowed there; negative if all are allowed.
    double worstRetryExcess() const
    {
        const std::scoped_lock lock(this->mutex);
        double worst = -retrySlack;
        for (const Clock::time_point end : this->extraAttempts) {
            const double sent = count(this->requests, end - retryWindow, end);
            const double before = count(this->requests, end - 2 * retryWindow, end - retryWindow);
            const double halfBefore = count(this->requests, end - retryWindow * 3 / 2, end - retryWindow / 2);
            const double allowed = retryShare * std::max({ sent, before, halfBefore }) + retrySlack;
            worst = std::max(worst, count(this->extraAttempts, end - retryWindow, end) - allowed);
        }
        return worst;
    }

    // The largest number of requests in one second at a server between two times.
    double worstSecond(unsigned server, Clock::time_point begin, Clock::time_point end) const
    {
        const std::scoped_lock lock(this->mutex);
        double worst = 0;
        for (const Clock::time_point at : this->arrivals.at(server)) {
            if (at - 1s >= begin && at <= end)
                worst = std::max(worst, count(this->arrivals.at(server), at - 1s, at));
        }
        return worst;
    }

private:
    static double count(const std::vector<Clock::time_point>& times, Clock::time_point after, Clock::time_point until)
    {
        return static_cast<double>(std::ranges::upper_bound(times, until) - std::ranges::upper_bound(times, after));
    }

    mutable std::mutex mutex;
    std::vector<Clock::time_point> requests;
    std::vector<Clock::time_point> extraAttempts;
    std::map<unsigned, std::vector<Clock::time_point>> arrivals { { 0, {} }, { 1, {} } };
    std::set<std::string> arrived;
};

class Soak {
public:
    explicit Soak(unsigned soakSeed)
        : seed(soakSeed)
        , fixture(serverCount)
    {
        for (unsigned i = 0; i < serverCount; ++i)
            this->fixture.servers[i]->onArrival = [this, i](const std::string& request) { this->record.addArrival(i, request); };
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < vmCount; ++i)
            peers.push_back(this->fixture.freeAddress());
        for (std::size_t i = 0; i < vmCount; ++i)
            this->vms.push_back(std::make_unique<VmProcess>(this->fixture, VmProcessOptions { .name = "front-" + std::to_string(i + 1), .peerAddress = peers[i], .peers = peers, .logLevel = "error", .retryShare = retryShare, .retrySlack = retrySlack }));
        std::this_thread::sleep_for(8s); // the VMs have found one another
    }

    ~Soak()
    {
        this->isStopping = true;
        for (std::thread& caller : this->callers)
            caller.join();
    }

    // Runs the schedule. Returns a description of each limit that was broken.
    std::vector<std::string> run()
    {
        this->begin = Clock::now();
        for (std::size_t i = 0; i < vmCount; ++i)
            this->callers.emplace_back([this, i] { this->call(i); });
        std::vector<std::thread> disruptions;
        for (const Step& step : makeSchedule(this->seed))
            disruptions.emplace_back([this, step] { this->carryOut(step); });
        for (std::thread& disruption : disruptions)
            disruption.join();
        std::this_thread::sleep_until(this->begin + runTime);
        this->isStopping = true;
        for (std::thread& caller : this->callers)
            caller.join();
        this->callers.clear();
        return this->findBroken();
    }

    int served() const { return this->answered; }

private:
    static std::string requestText(const std::string& object, const std::string& id)
    {
        return get("/read/" + object, "Affinity-Key: " + object + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 900\r\nConnection: close\r\n");
    }

    void call(std::size_t vm)
    {
        for (unsigned i = 0; !this->isStopping; ++i) {
            const std::string object = std::to_string(i % 40);
            this->record.addRequest();
            try {
                const std::string id = std::to_string(this->seed) + "-" + std::to_string(vm) + "-" + std::to_string(i);
                this->answered += RawClient(this->vms[vm]->callers).ask(requestText(object, id)).status() == 200 ? 1 : 0;
            } catch (const boost::system::system_error&) {
                // The process is being restarted.
            }
            std::this_thread::sleep_for(requestInterval);
        }
    }

    void carryOut(const Step& step)
    {
        std::this_thread::sleep_until(this->begin + step.at);
        switch (step.disruption) {
        case Disruption::RestartAll:
        case Disruption::RestartSome: {
            const std::scoped_lock lock(this->processes);
            for (std::size_t i = 0; i < vmCount; ++i) {
                if (step.disruption == Disruption::RestartAll || std::ranges::find(step.vms, i) != step.vms.end())
                    this->vms[i]->restart();
            }
        }
            [[fallthrough]];
        case Disruption::Refuse:
            this->refuse(true);
            std::this_thread::sleep_for(step.duration);
            this->refuse(false);
            break;
        case Disruption::Pause:
            this->signal(step.vms, SIGSTOP);
            std::this_thread::sleep_for(step.duration);
            this->signal(step.vms, SIGCONT);
            break;
        case Disruption::Cold:
            this->makeCold();
            break;
        }
    }

    void makeCold()
    {
        const std::scoped_lock lock(this->coldServers);
        this->fixture.writeServerEntry(this->fixture.servers[0]->name, this->fixture.servers[0]->address(), "ready", coldTime);
        this->coldSince.push_back(Clock::now());
    }

    void refuse(bool refuses)
    {
        this->refusals += refuses ? 1 : -1;
        for (const std::unique_ptr<PlatformServer>& server : this->fixture.servers)
            server->refusesRequests = this->refusals > 0;
    }

    void signal(const std::vector<std::size_t>& which, int number)
    {
        const std::scoped_lock lock(this->processes);
        for (const std::size_t i : which)
            this->vms[i]->signal(number);
    }

    std::vector<std::string> findBroken() const
    {
        std::vector<std::string> broken;
        if (const double excess = this->record.worstRetryExcess(); excess > 0)
            broken.push_back("extra attempts: " + std::to_string(excess) + " more than allowed");
        for (const Clock::time_point since : this->coldSince) {
            const double worst = this->record.worstSecond(0, since + coldNoticeTime, since + coldTime);
            if (worst > coldRate * coldOvershoot + coldSlack)
                broken.push_back("cold server: " + std::to_string(worst) + " requests in one second");
        }
        return broken;
    }

    unsigned seed;
    Record record;
    PlatformFixture fixture;
    std::vector<std::unique_ptr<VmProcess>> vms;
    std::mutex processes; // protects the restart of the VMs' processes
    std::atomic<int> refusals = 0;
    std::mutex coldServers;
    std::vector<Clock::time_point> coldSince; // when the first server became cold
    std::atomic<bool> isStopping = false;
    std::atomic<int> answered = 0;
    Clock::time_point begin {};
    std::vector<std::thread> callers;
};

}

// Guards against limits that hold for each entry VM but not for their sum, because VMs that were just started, restarted
// or paused know too few of the others.
TEST_CASE("the limits that all entry VMs share hold through restarts and pauses", "[fleet-limits]")
{
    for (const unsigned seed : seedsOr({ 8, 9 })) {
        Soak soak(seed);
        const std::vector<std::string> broken = soak.run();
        for (const std::string& text : broken)
            std::cout << "seed " << seed << ": " << text << std::endl;
        INFO("seed " << seed);
        CHECK(broken.empty());
        CHECK(soak.served() > 100);
    }
}
