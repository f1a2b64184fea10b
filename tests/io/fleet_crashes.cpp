// A seeded soak of requests that crash the servers that run them. Real entry VMs get them in turn, beside other callers,
// while servers are killed, lose answers, refuse requests or are slow, and VMs are restarted and paused.
//
// CRANBERRYSHED_SEEDS, such as "1-50", replaces the seeds of the test.

#include "crash_record.h"
#include "seeds.h"
#include "vm_process.h"
#include "working_server.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <numeric>
#include <random>
#include <shared_mutex>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 4;
constexpr std::size_t serverCount = 24;
const std::string crashingObject = "7"; // of the requests that crash servers, and of a popular one beside them
const std::vector<std::string> domains { "north-1", "north-2" };
constexpr auto joinTime = 5s;
constexpr auto runTime = 48s;
constexpr auto repairTime = 18s; // from then on, no request crashes servers
constexpr auto requestInterval = 40ms; // of all ordinary callers together
constexpr double retrySlack = 400; // extra attempts, so that only the crashes limit them
constexpr auto serverDownTime = 1500ms;
constexpr auto entryLifetime = 4500ms; // of a server that has ended

enum class Disruption : std::uint8_t { KillServers, // some are killed
    KillDomain, // all servers of a failure domain are killed
    LoseAnswers, // servers lose some answers
    Refuse, // servers refuse some requests
    Stall, // servers work on some requests until their deadline
    Restart, // a VM is killed and started again
    Pause, // a VM is stopped and continued
    StoreReturn }; // the store is away for a second and comes back from a copy

struct Step {
    Milliseconds at {}; // from the start of the run
    Disruption disruption = Disruption::KillServers;
    std::size_t target = 0; // a VM, a server or a failure domain
};

// A request that crashes servers.
struct CrashingCaller {
    CrashingRequest request {};
    Milliseconds interval {}; // between two tries
};

struct Schedule {
    std::vector<Step> steps;
    std::vector<CrashingCaller> crashing;
};

Schedule makeSchedule(unsigned seed)
{
    std::mt19937 random(seed);
    const auto between = [&](int low, int high) { return Milliseconds(std::uniform_int_distribution<int>(low, high)(random)); };
    Schedule schedule;
    for (unsigned i = 0; i < 2; ++i) {
        const auto kind = static_cast<CrashKind>(i == 0 ? 0 : random() % 4);
        schedule.crashing.push_back({ .request = { .kind = kind, .target = (kind == CrashKind::Order ? "/write/crash-" : "/read/crash-") + std::to_string(i) }, .interval = between(400, 2000) });
    }
    for (unsigned i = 0; i < 5; ++i)
        schedule.steps.push_back({ .at = between(500, 22000), .disruption = static_cast<Disruption>(random() % 8), .target = random() });
    return schedule;
}

class Soak {
public:
    explicit Soak(unsigned soakSeed)
        : schedule(makeSchedule(soakSeed))
        , fixture(0)
    {
        for (std::size_t i = 0; i < serverCount; ++i)
            this->startServer(domains[i % domains.size()]);
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < vmCount; ++i)
            peers.push_back(this->fixture.freeAddress());
        const char* logs = std::getenv("CRANBERRYSHED_LOGS");
        for (std::size_t i = 0; i < vmCount; ++i) {
            const std::string name = "front-" + std::to_string(i + 1);
            this->vms.push_back(std::make_unique<VmProcess>(this->fixture, VmProcessOptions { .name = name, .peerAddress = peers[i], .peers = peers, .domains = domains, .logLevel = logs ? "info" : "error", .logFile = logs ? std::string(logs) + "/" + std::to_string(soakSeed) + "-" + name + ".log" : std::string(), .retrySlack = retrySlack }));
        }
        std::this_thread::sleep_for(joinTime);
        this->fixture.store.keepCopy();
    }

    // Runs the schedule. Returns a description of each promise that was broken.
    std::vector<std::string> run()
    {
        this->begin = Clock::now();
        std::vector<std::thread> threads;
        threads.emplace_back([this] { this->replaceServers(); });
        threads.emplace_back([this] { this->sendOrdinary(); });
        for (const CrashingCaller& caller : this->schedule.crashing)
            threads.emplace_back([this, caller] { this->sendCrashing(caller); });
        for (const Step& step : this->schedule.steps)
            threads.emplace_back([this, step] { std::this_thread::sleep_until(this->begin + step.at); this->carryOut(step); });
        for (std::thread& thread : threads)
            thread.join();
        for (std::thread& caller : this->callers)
            caller.join();
        for (const std::shared_ptr<WorkingServer>& server : this->servers)
            this->record.addServer(*server);
        return this->record.check(this->requests());
    }

    std::string summary() const { return this->record.summary(this->requests()); }

private:
    struct Place { // of one server, which starts again after its end
        WorkingServer* server = nullptr;
        std::string domain;
        std::optional<Clock::time_point> endedAt {};
        std::string expiring {}; // name of the entry of the one that has ended
    };

    std::vector<CrashingRequest> requests() const
    {
        std::vector<CrashingRequest> result(this->schedule.crashing.size());
        std::ranges::transform(this->schedule.crashing, result.begin(), &CrashingCaller::request);
        return result;
    }

    bool isOver() const { return Clock::now() >= this->begin + runTime; }

    Work plan(const WorkingServer::Request& request)
    {
        Work work { .time = 100ms };
        for (const CrashingCaller& caller : this->schedule.crashing) {
            const bool isCause = request.target() == caller.request.target && Clock::now() < this->begin + repairTime;
            work.crashes = work.crashes || (isCause && caller.request.kind != CrashKind::LateRead);
            work.crashesInAnswer = work.crashesInAnswer || (isCause && caller.request.kind == CrashKind::LateRead);
        }
        if (work.crashesInAnswer)
            work.answerBytes = 3'000'000; // more than a VM buffers
        work.losesAnswer = this->isHit(this->losing);
        work.refuses = this->isHit(this->refusing);
        if (this->isHit(this->stalling))
            work.time = 5s;
        return work;
    }

    // Whether a third of the requests is hit while the counter is above zero.
    bool isHit(const std::atomic<int>& active) { return active > 0 && this->serverRandom() % 3 == 0; }

    void startServer(const std::string& domain)
    {
        const std::scoped_lock lock(this->placesAccess);
        this->places.push_back({ .domain = domain });
        this->startAt(this->places.back());
    }

    void startAt(Place& place)
    {
        this->servers.push_back(WorkingServer::start(this->fixture.context, WorkingServer::Options { .name = "i-" + std::to_string(this->servers.size() + 1), .plan = [this](const WorkingServer::Request& request) { return this->plan(request); } }));
        place.server = this->servers.back().get();
        place.endedAt.reset();
        const std::shared_lock lock(this->storeAccess);
        this->fixture.writeServerEntry(place.server->name, place.server->address, "ready", {}, place.domain);
    }

    // Starts servers that have ended again, and removes the entries of those that have ended.
    void replaceServers()
    {
        for (; !this->isOver(); std::this_thread::sleep_for(20ms)) {
            const std::scoped_lock lock(this->placesAccess);
            for (Place& place : this->places) {
                const Clock::time_point now = Clock::now();
                if (place.server->hasEnded() && !place.endedAt) {
                    place.endedAt = now;
                    place.expiring = place.server->name;
                    this->expiries.emplace_back(now + entryLifetime, place.server->name);
                }
                if (place.endedAt && now >= *place.endedAt + serverDownTime)
                    this->startAt(place);
            }
            std::erase_if(this->expiries, [&](const auto& expiry) {
                if (Clock::now() < expiry.first)
                    return false;
                const std::shared_lock storeLock(this->storeAccess);
                this->fixture.removeServerEntry(expiry.second);
                return true;
            });
        }
    }

    void sendOrdinary()
    {
        for (unsigned number = 0; !this->isOver(); ++number) {
            const bool isOrder = number % 4 == 3;
            const bool isPopular = number % 4 == 0;
            const std::string target = isOrder ? "/write/" + std::to_string(number) : isPopular ? "/read/popular"
                                                                                                : "/read/" + std::to_string(number);
            this->send(number % vmCount, { .target = target, .method = isOrder ? "POST" : "GET", .object = isPopular ? crashingObject : std::to_string(number % 38) });
            std::this_thread::sleep_for(requestInterval);
        }
    }

    void sendCrashing(const CrashingCaller& caller)
    {
        const bool isUpload = caller.request.kind == CrashKind::Upload;
        for (std::size_t number = 0; !this->isOver(); ++number) {
            this->send(number % vmCount, { .target = caller.request.target, .method = caller.request.kind == CrashKind::Order ? "POST" : isUpload ? "PUT"
                                                                                                                                                  : "GET",
                                             .body = std::string(isUpload ? 100'000 : 0, 'b') });
            std::this_thread::sleep_for(caller.interval);
        }
    }

    struct Message {
        std::string target;
        std::string method;
        std::string object = crashingObject; // its server runs the request faster
        std::string body {};
    };

    // Sends a request on a connection and a thread of its own.
    void send(std::size_t vm, Message message)
    {
        const std::string id = "r-" + std::to_string(++this->lastRequest);
        const std::scoped_lock lock(this->callersAccess);
        this->callers.emplace_back([this, vm, message = std::move(message), id] {
            Try sent { .request = id, .target = message.target, .vm = vm, .sentAt = Clock::now() };
            try {
                const RawAnswer answer = RawClient(this->vms[vm]->callers).ask(message.method + " " + message.target + " HTTP/1.1\r\nHost: test\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\nAffinity-Key: " + message.object + "\r\nConnection: close\r\nContent-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body);
                sent.status = answer.isComplete ? answer.status() : 0;
                sent.isCalledCrashing = answer.body.find("quarantined") != std::string::npos;
            } catch (const boost::system::system_error&) {
                // The process is being restarted.
            }
            sent.endedAt = Clock::now();
            this->record.add(sent);
        });
    }

    void carryOut(const Step& step)
    {
        const std::size_t vm = step.target % vmCount;
        switch (step.disruption) {
        case Disruption::KillServers:
        case Disruption::KillDomain:
            this->killServers(step);
            break;
        case Disruption::LoseAnswers:
            this->holdFor(this->losing, 3s);
            break;
        case Disruption::Refuse:
            this->holdFor(this->refusing, 3s);
            break;
        case Disruption::Stall:
            this->holdFor(this->stalling, 3s);
            break;
        case Disruption::Restart: {
            const std::scoped_lock lock(this->processes);
            this->record.addDisturbance(vm, Clock::now());
            this->vms[vm]->restart();
            this->record.addDisturbance(vm, Clock::now());
            break;
        }
        case Disruption::Pause: {
            const std::scoped_lock lock(this->processes);
            this->record.addDisturbance(vm, Clock::now());
            this->vms[vm]->signal(SIGSTOP);
            std::this_thread::sleep_for(1500ms);
            this->vms[vm]->signal(SIGCONT);
            this->record.addDisturbance(vm, Clock::now());
            break;
        }
        case Disruption::StoreReturn:
            this->returnStore();
            break;
        }
    }

    void killServers(const Step& step)
    {
        const std::scoped_lock lock(this->placesAccess);
        for (std::size_t i = 0; i < this->places.size(); ++i) {
            const bool isHit = step.disruption == Disruption::KillDomain ? this->places[i].domain == domains[step.target % domains.size()] : (i + step.target) % 5 == 0;
            if (isHit)
                this->places[i].server->kill();
        }
    }

    static void holdFor(std::atomic<int>& active, Milliseconds duration)
    {
        ++active;
        std::this_thread::sleep_for(duration);
        --active;
    }

    void returnStore()
    {
        const std::unique_lock lock(this->storeAccess);
        const auto setRefusing = [&](bool refuses) { this->fixture.store.changeFaults([&](platform::StoreFaults& faults) { faults.refusesCalls = refuses; }); };
        setRefusing(true);
        this->fixture.store.cutWatches();
        std::this_thread::sleep_for(1s);
        this->fixture.store.restoreCopy();
        setRefusing(false);
        this->fixture.writeAgain();
    }

    Schedule schedule;
    CrashRecord record;
    std::shared_mutex storeAccess; // held exclusively while the store is away
    std::mutex placesAccess;
    std::vector<Place> places;
    std::vector<std::pair<Clock::time_point, std::string>> expiries; // of entries of servers that have ended
    std::mt19937 serverRandom { 1 }; // used on the servers' thread
    std::atomic<int> losing = 0;
    std::atomic<int> refusing = 0;
    std::atomic<int> stalling = 0;
    std::atomic<unsigned> lastRequest = 0;
    Clock::time_point begin {};
    PlatformFixture fixture;
    std::vector<std::shared_ptr<WorkingServer>> servers; // also those that have ended
    std::vector<std::unique_ptr<VmProcess>> vms;
    std::mutex processes; // protects the restart of the VMs' processes
    std::mutex callersAccess;
    std::list<std::thread> callers;
};

}

// Guards against requests that crash one server after another, and against others that are turned away or told something
// untrue because they ran beside them, or because servers fail in other ways.
TEST_CASE("requests that crash servers are not sent again through crashes, restarts and lost answers", "[fleet-crashes]")
{
    for (const unsigned seed : seedsOr({ 1 })) {
        Soak soak(seed);
        const std::vector<std::string> broken = soak.run();
        std::cout << "seed " << seed << ": " << soak.summary() << std::endl;
        for (const std::string& text : broken)
            std::cout << "seed " << seed << ": " << text << std::endl;
        INFO("seed " << seed);
        CHECK(broken.empty());
    }
}
