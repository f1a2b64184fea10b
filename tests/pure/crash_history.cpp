// Requests that crash backend servers, counted by the servers that end (CrashPolicy::Count).

#include "rig/engine_harness.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace request = cranberryshed::request;
namespace rig = cranberryshed::rig;
using core::AttemptResult;
using core::ErrorKind;
using core::Reachability;
using rig::findCommand;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t poison = 666; // content of the request that crashes servers
constexpr std::uint32_t crashingCaller = 1;
constexpr std::uint32_t otherCaller = 2;

// One engine as on the users' platform. A request may be sent to any number of servers, so that only crashes end it.
struct Rig : rig::EngineHarness {
    explicit Rig(std::uint32_t servers = 12)
        : EngineHarness({ .servers = servers, .domains = 2, .deadline = 3s }, engineOptions(), { .policy = request::CrashPolicy::Count })
    {
    }

    static request::EngineOptions engineOptions()
    {
        request::EngineOptions options;
        options.retry.maxAttempts = 20;
        options.retry.budget = { .tokensPerSuccess = 1, .refillThreshold = 100, .refillPerSecond = 100, .maxTokens = 100 };
        options.maxSends = 20;
        options.crashErrorDelay = {};
        return options;
    }

    request::Commands arrivePoison(bool isNonIdempotent = false, std::uint32_t caller = crashingCaller)
    {
        return this->arrive(++this->lastId, isNonIdempotent, isNonIdempotent ? this->shared.keys->issue(this->now) : std::string(), poison, caller);
    }

    // The attempt breaks, and its server refuses connections. Returns the retry, if there is one.
    std::optional<request::SendAttempt> crash(const request::SendAttempt& sent, Reachability reachability = Reachability::Refuses)
    {
        this->now += 20ms;
        const request::Commands broken = this->endAttempt(sent, AttemptResult::Broken);
        this->now += 1ms;
        this->endCheck(sent, reachability);
        const auto retry = findCommand<request::SetTimer>(broken);
        return retry ? findCommand<request::SendAttempt>(this->fireTimer(static_cast<std::uint64_t>(sent.request), std::max(core::Duration(1), retry->time - this->now))) : std::nullopt;
    }

    // A caller's try of the poison request: returns how many servers it has crashed.
    unsigned tryPoison(bool isNonIdempotent = false)
    {
        unsigned crashes = 0;
        std::optional<request::SendAttempt> sent = findCommand<request::SendAttempt>(this->arrivePoison(isNonIdempotent));
        for (; sent; sent = this->crash(*sent))
            ++crashes;
        return crashes;
    }

    // Publishes the reports since the last call in a table, as control does. Returns the highest count among them.
    unsigned publishReports()
    {
        unsigned count = 0;
        auto next = std::make_shared<core::SteeringTable>(*this->table);
        for (const request::RequestCrashed& crash : rig::observationsOf<request::RequestCrashed>(this->observations)) {
            next->crashRecords[static_cast<std::uint64_t>(crash.fingerprint)] = { .count = crash.count, .lastAt = this->now };
            count = std::max(count, crash.count);
        }
        for (const request::CrashesForgotten& answered : rig::observationsOf<request::CrashesForgotten>(this->observations))
            next->crashRecords.erase(static_cast<std::uint64_t>(answered.fingerprint));
        this->observations.clear();
        this->publish(std::move(next));
        return count;
    }

    void sweep(core::Duration elapsed)
    {
        this->now += elapsed;
        this->handle(request::CapacityChanged {});
    }

    // Publishes a table in which the poison request has crashed so many servers.
    void publishCrashes(unsigned count, core::TimePoint lastAt)
    {
        auto next = std::make_shared<core::SteeringTable>(*this->table);
        next->crashRecords.clear();
        for (const core::Fingerprint key : request::crashKeysOf(core::Fingerprint { poison }, core::CallerAddress { crashingCaller })) {
            if (count > 0)
                next->crashRecords[static_cast<std::uint64_t>(key)] = { .count = count, .lastAt = lastAt };
        }
        this->publish(std::move(next));
    }

    void publish(std::shared_ptr<core::SteeringTable> next)
    {
        this->table = std::move(next);
        this->engine.setTable(this->table);
        this->handle(request::CapacityChanged {});
    }

    std::uint64_t lastId = 0;
};

std::optional<request::Reject> rejection(const request::Commands& commands)
{
    return findCommand<request::Reject>(commands);
}

}

// Guards against a request that crashes one server after another, because each of its tries is sent to a second one.
TEST_CASE("a request that has crashed two servers gets one attempt, and none after the third crash", "[crash-history]")
{
    Rig rig;
    CHECK(rig.tryPoison() == 2); // the second crash was counted before a third attempt was due
    CHECK(rig.publishReports() == 2);
    rig.now += 5s;
    CHECK(rig.tryPoison() == 1);
    CHECK(rig.publishReports() == 3);
    const auto refused = rejection(rig.arrivePoison());
    REQUIRE(refused);
    CHECK(refused->error == ErrorKind::Quarantined);
    REQUIRE(refused->crashes);
    CHECK(refused->crashes->record.count == 3);
    CHECK(refused->retryAfter.value_or(0s) >= 1s);
}

// Guards against a request that is taken for the cause of crashes because its answers get lost: the server that lost
// one goes on.
TEST_CASE("a lost answer doesn't count as a crash", "[crash-history]")
{
    for (const Reachability reachability : { Reachability::Accepts, Reachability::Unknown }) {
        CAPTURE(core::nameOf(reachability));
        Rig rig;
        unsigned attempts = 0;
        for (auto sent = findCommand<request::SendAttempt>(rig.arrivePoison()); sent && attempts < 10; sent = rig.crash(*sent, reachability))
            ++attempts;
        CHECK(attempts == 10);
        rig.sweep(1s);
        CHECK(rig.publishReports() == 0);
    }
}

// Guards against a missed crash: a server that restarts at once accepts connections, and one whose host fell silent
// never refuses any. Each of these signs shows its end.
TEST_CASE("a server's end is known by each of its signs", "[crash-history]")
{
    Rig rig;
    const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
    const std::uint64_t server = sent->table->at(sent->server).key;
    const auto retry = rig.crash(*sent, Reachability::Accepts);
    REQUIRE(retry);

    SECTION("it replied to a later request, so it goes on")
    {
        rig.shared.crashHistory->recordReply(server, rig.now);
        rig.shared.crashHistory->recordServerEnd(server, rig.now);
        rig.sweep(2s);
        CHECK(rig.publishReports() == 0);
    }
    SECTION("another server has its address")
    {
        rig.now += 1s; // a server that has just failed is not chosen
        std::optional<request::SendAttempt> later;
        for (std::uint64_t id = 100; id < 200 && (!later || later->table->at(later->server).key != server); ++id) {
            if (later)
                rig.answer(*later);
            later = findCommand<request::SendAttempt>(rig.arrive(id));
        }
        REQUIRE(later);
        rig.endAttempt(*later, AttemptResult::Misdirected);
        rig.sweep(2s);
        CHECK(rig.publishReports() == 1);
    }
    SECTION("it is no longer listed, or has another start")
    {
        auto next = std::make_shared<core::SteeringTable>(*rig.table);
        next->servers[sent->server.value].key += 1;
        rig.engine.setTable(next);
        rig.sweep(2s);
        rig.sweep(2s);
        CHECK(rig.publishReports() == 1);
    }
    SECTION("there is none within the time allowed")
    {
        rig.sweep(11s);
        rig.shared.crashHistory->recordServerEnd(server, rig.now);
        rig.sweep(2s);
        CHECK(rig.publishReports() == 0);
    }
}

// Guards against a server's planned end that counts as a crash.
TEST_CASE("the end of a leaving server doesn't count as a crash", "[crash-history]")
{
    Rig rig;
    const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
    auto next = std::make_shared<core::SteeringTable>(*rig.table);
    next->servers[sent->server.value].state = core::ServerState::Leaving;
    rig.engine.setTable(next);
    rig.crash(*sent);
    rig.sweep(2s);
    CHECK(rig.publishReports() == 0);
}

// Guards against the refusal of a popular request after the end of many servers at once, as of a failure domain.
TEST_CASE("servers that end at the same time count as one crash", "[crash-history]")
{
    Rig rig;
    std::vector<request::SendAttempt> inFlight;
    for (std::uint64_t id = 100; id < 110; ++id)
        inFlight.push_back(*findCommand<request::SendAttempt>(rig.arrive(id, false, {}, poison)));
    rig.now += 100ms;
    for (const request::SendAttempt& sent : inFlight)
        rig.endAttempt(sent, AttemptResult::Broken);
    for (const request::SendAttempt& sent : inFlight)
        rig.endCheck(sent, Reachability::Refuses);
    rig.sweep(2s);
    CHECK(rig.publishReports() == 1);
    CHECK(findCommand<request::SendAttempt>(rig.arrivePoison()));
}

// Guards against a popular request that is refused because it is in flight in one crash after another.
TEST_CASE("an answer ends the count of a request", "[crash-history]")
{
    Rig rig;
    for (int i = 0; i < 10; ++i) {
        const auto first = findCommand<request::SendAttempt>(rig.arrivePoison());
        REQUIRE(first);
        const auto retry = rig.crash(*first);
        REQUIRE(retry);
        CHECK(findCommand<request::RelayAnswer>(rig.answer(*retry)));
        rig.sweep(2s);
        CHECK(rig.publishReports() == 0); // answered before its only crash was due to be reported
    }
}

// Guards against a request that crashes servers for one caller and goes unnoticed, because others get answers to the
// same content.
TEST_CASE("the answers of other callers don't end the count of a caller's request", "[crash-history]")
{
    Rig rig;
    unsigned crashes = 0;
    for (int i = 0; i < 4; ++i) {
        crashes += rig.tryPoison();
        const auto other = findCommand<request::SendAttempt>(rig.arrivePoison(false, otherCaller));
        REQUIRE(other);
        CHECK(findCommand<request::RelayAnswer>(rig.answer(*other)));
        rig.now += 200ms;
        rig.publishReports();
    }
    CHECK(crashes == 3);
}

// Guards against a popular request that is refused because each VM sees it beside crashes, until a probe is answered.
TEST_CASE("a request that was answered here a moment ago is not refused", "[crash-history]")
{
    Rig rig;
    const auto first = findCommand<request::SendAttempt>(rig.arrivePoison());
    rig.answer(*first);
    rig.publishCrashes(3, rig.now);
    const auto second = findCommand<request::SendAttempt>(rig.arrivePoison());
    REQUIRE(second);
    CHECK_FALSE(rig.crash(*second)); // but it is sent to one server only
    rig.now += 5s;
    rig.publishCrashes(3, rig.now);
    CHECK(rejection(rig.arrivePoison()));
}

// Guards against a request that goes on to crash servers at each entry VM that it reaches.
TEST_CASE("crashes that other entry VMs have counted are added to", "[crash-history]")
{
    Rig rig;
    rig.publishCrashes(1, rig.now);
    CHECK(rig.tryPoison() == 1);
    CHECK(rig.publishReports() == 2);
    Rig late;
    late.publishCrashes(2, late.now);
    CHECK(late.tryPoison() == 1);
    CHECK(late.publishReports() == 3);
}

// Guards against an answer that states "not run" for work that a server began, and against an error that waits for the
// deadline although no server will be tried.
TEST_CASE("the caller of a request that isn't sent again is told the truth at once", "[crash-history]")
{
    Rig rig;
    rig.publishCrashes(2, rig.now);
    SECTION("a server has begun to run it")
    {
        const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
        const auto told = rejection(rig.endAttempt(*sent, AttemptResult::Broken));
        REQUIRE(told);
        CHECK(core::errorInfo(told->error).runState == core::RunState::MayHaveRun);
    }
    SECTION("a server has refused it")
    {
        const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
        const auto told = rejection(rig.endAttempt(*sent, AttemptResult::Refused));
        REQUIRE(told);
        CHECK(core::errorInfo(told->error).runState == core::RunState::NotRun);
    }
    SECTION("no server has got it, so it is sent to the next one")
    {
        for (const AttemptResult result : { AttemptResult::ConnectFailed, AttemptResult::Misdirected }) {
            const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
            const auto wait = findCommand<request::SetTimer>(rig.endAttempt(*sent, result));
            REQUIRE(wait);
            CHECK(findCommand<request::SendAttempt>(rig.fireTimer(rig.lastId, wait->time - rig.now)));
        }
    }
    SECTION("the news arrives while its next attempt waits")
    {
        rig.publishCrashes(0, {});
        const auto sent = findCommand<request::SendAttempt>(rig.arrivePoison());
        const request::Commands commands = rig.endAttempt(*sent, AttemptResult::Broken);
        const auto wait = findCommand<request::SetTimer>(commands);
        REQUIRE(wait);
        rig.publishCrashes(2, rig.now);
        const auto told = rejection(rig.fireTimer(rig.lastId, wait->time - rig.now));
        REQUIRE(told);
        CHECK(core::errorInfo(told->error).runState == core::RunState::MayHaveRun);
    }
}

// Guards against a non-idempotent request that runs twice, and against one that crashes servers without end.
TEST_CASE("a non-idempotent request crashes one server a try, and none after the third", "[crash-history]")
{
    Rig rig;
    for (const unsigned expected : { 1U, 1U, 1U, 0U, 0U }) {
        CHECK(rig.tryPoison(true) == expected);
        rig.sweep(1s);
        rig.publishReports();
    }
}

// Guards against a request that is refused for ever, although a new version of its service no longer crashes.
TEST_CASE("a refused request is sent as a probe and served again once it is answered", "[crash-history]")
{
    Rig rig;
    core::TimePoint lastCrash = rig.now;
    rig.publishCrashes(3, lastCrash);
    for (const core::Duration delay : { 1s, 2s, 10s, 30s, 90s, 300s, 300s }) {
        rig.now = lastCrash + delay - 1ms;
        CHECK(rejection(rig.arrivePoison()));
        rig.now = lastCrash + delay * 3 / 2;
        const auto probe = findCommand<request::SendAttempt>(rig.arrivePoison());
        REQUIRE(probe);
        CHECK(rejection(rig.arrivePoison())); // one at a time
        CHECK_FALSE(rig.crash(*probe));
        lastCrash = rig.now - 1ms; // the time of the break
        rig.publishCrashes(rig.publishReports(), lastCrash);
    }
    rig.now = lastCrash + 450s;
    const auto probe = findCommand<request::SendAttempt>(rig.arrivePoison());
    REQUIRE(probe);
    CHECK(findCommand<request::RelayAnswer>(rig.answer(*probe)));
    CHECK(rig::observationsOf<request::CrashesForgotten>(rig.observations).size() == 2);
    rig.publishCrashes(0, {});
    const auto served = findCommand<request::SendAttempt>(rig.arrivePoison());
    REQUIRE(served);
    CHECK(rig.crash(*served)); // it is sent again as any other
}

// Guards against a probe by each entry VM at the same moment.
TEST_CASE("entry VMs may send a probe one after the other", "[crash-history]")
{
    constexpr std::uint32_t members = 9;
    std::set<core::TimePoint> dueTimes;
    for (std::uint32_t self = 0; self < members; ++self) {
        rig::EngineHarness vm({ .members = members, .self = self }, {}, { .policy = request::CrashPolicy::Count });
        auto next = std::make_shared<core::SteeringTable>(*vm.table);
        next->crashRecords[poison] = { .count = 3, .lastAt = vm.now };
        vm.engine.setTable(next);
        const core::TimePoint begin = vm.now;
        for (std::uint64_t id = 1; !findCommand<request::SendAttempt>(vm.arrive(id, false, {}, poison)); ++id) {
            REQUIRE(vm.now < begin + 60s);
            vm.now += 100ms;
        }
        dueTimes.insert(vm.now);
    }
    CHECK(dueTimes.size() == members);
    CHECK(*dueTimes.rbegin() - *dueTimes.begin() == (members - 1) * 1s);
}

// Guards against memory that grows with each request that is in flight in a crash.
TEST_CASE("the crash history is bounded and forgets", "[crash-history]")
{
    const request::CrashHistory::Options options { .isEnabled = true };
    request::CrashHistory history(options);
    core::TimePoint now { 1h };
    const core::SteeringTable table;
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        history.recordBroken({ .keys = request::crashKeysOf(core::Fingerprint { i }, core::CallerAddress { 1 }), .serverKey = i, .sentAt = now, .brokenAt = now + 1ms });
        if (i % 2 == 0)
            history.recordServerEnd(i, now + 2ms);
        now += 1ms;
    }
    CHECK(history.takeReports(now + 1s).size() <= options.maxEntries);
    now += options.evidenceTime + options.publicationTime;
    history.forgetExpired(now);
    CHECK_FALSE(history.hasPending());
    for (std::uint64_t i = 0; i < 10'000; ++i)
        CHECK(history.find(request::crashKeysOf(core::Fingerprint { i }, core::CallerAddress { 1 }), table).empty());
}
