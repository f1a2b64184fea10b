// The store is away for a while and comes back, with all that it had or from an older copy of itself. What operators and
// backend servers write afterwards must be in force in time on all entry VMs.

#include "platform_fixture.h"

#include <catch2/catch.hpp>
#include <future>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds changesWithin = 2500ms;
constexpr Milliseconds joinTime = 1500ms; // until VMs have found one another
constexpr Milliseconds outageTime = 1s;
constexpr unsigned serverCount = 3;
constexpr unsigned requestCount = 120;

enum class StoreReturn : std::uint8_t { Complete, // with all objects and the history
    WithoutHistory, // with all objects
    FromCopy }; // with the objects of an older copy

// A fleet by how it has its VMs when the store comes back.
enum class Fleet : std::uint8_t { OneVm,
    TwoVms,
    LateVm, // one VM, and another one that is started after the return and joins it
    ReplacedVm }; // a VM that is started after the return and finds no other

}

template <>
struct cranberryshed::core::Names<Fleet> {
    static constexpr std::array<std::string_view, 4> values = { "one VM", "two VMs", "a late VM", "a replaced VM" };
};

namespace {

class ReturnCourse {
public:
    explicit ReturnCourse(unsigned vmCount = 1)
        : fixture(serverCount)
    {
        this->writeConfiguration(1);
        for (unsigned i = 0; i < vmCount; ++i)
            this->startVm();
        std::this_thread::sleep_for(joinTime);
    }

    void startVm()
    {
        const PlatformFixture::Addresses& vm = this->fixture.startVm("front-" + std::to_string(this->fixture.addresses.size() + 1));
        this->vms.push_back(vm.callers);
        timeUntil([&] { return PlatformFixture::isReady(vm); }, 5s);
    }

    void stopAllVms()
    {
        this->vms.clear();
        this->fixture.vms.clear();
    }

    void writeConfiguration(unsigned version) { this->fixture.writeConfiguration(version, pathOf(version)); }

    void writeServer(unsigned number, const std::string& state) { this->fixture.writeServerEntry(*this->fixture.servers[number], state); }

    void keepCopy() { this->fixture.store.keepCopy(); }

    // The store refuses all calls for a while.
    void passOutage(StoreReturn storeReturn)
    {
        platform::StoreStandIn& store = this->fixture.store;
        store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
        store.cutWatches();
        std::this_thread::sleep_for(outageTime);
        if (storeReturn == StoreReturn::FromCopy)
            store.restoreCopy();
        if (storeReturn == StoreReturn::WithoutHistory) {
            this->writeServer(1, "ready"); // so that watches go on from a revision before the history's end
            store.compactHistory();
        }
        store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
    }

    // Whether all VMs serve the path that only this version has.
    bool isInForce(unsigned version)
    {
        return std::ranges::all_of(this->vms, [&](const std::string& vm) { return this->statusOn(vm, version) == 200; });
    }

    // Whether some VM serves the path that only this version has.
    bool isServed(unsigned version)
    {
        return std::ranges::any_of(this->vms, [&](const std::string& vm) { return this->statusOn(vm, version) == 200; });
    }

    // The time until all VMs have the version in force.
    Milliseconds timeToForce(unsigned version, Milliseconds limit = changesWithin)
    {
        return timeUntil([&] { return this->isInForce(version); }, limit);
    }

    // Sends requests to all VMs in turn. Returns how many of them reached the server.
    unsigned requestsReaching(unsigned number)
    {
        const unsigned before = this->fixture.servers[number]->arrivalCount();
        for (unsigned i = 0; i < requestCount; ++i)
            RawClient(this->vms[i % this->vms.size()]).ask(get("/read/1", this->nextFields()));
        return this->fixture.servers[number]->arrivalCount() - before;
    }

    PlatformFixture fixture;

private:
    static std::string pathOf(unsigned version) { return "/v" + std::to_string(version) + "/"; }

    std::string nextFields()
    {
        const std::string number = std::to_string(++this->lastRequest);
        return "Request-Id: " + number + "\r\nDeadline-Ms: 2000\r\nAffinity-Key: " + number + "\r\n";
    }

    int statusOn(const std::string& vm, unsigned version)
    {
        return RawClient(vm).ask(post(pathOf(version) + "1", "bell", this->nextFields())).status();
    }

    std::vector<std::string> vms; // addresses for callers
    unsigned lastRequest = 0;
};

// What callers and servers saw of two changes after the store's return.
struct CourseResult {
    bool wasSecondInForce = false; // the configuration before the return
    Milliseconds configurationTime {}; // until the configuration after the return was in force
    unsigned lateRequests = 0; // that reached the leaving server after the bound
};

// Servers write their state 20 times and the operator writes a second configuration, which a copy from before doesn't hold.
// The store returns and the last states are written again. Then the operator writes a third configuration, and a server
// announces that it leaves.
CourseResult runCourse(StoreReturn storeReturn, Fleet fleet)
{
    constexpr unsigned leaving = 0;
    CourseResult result;
    ReturnCourse course(fleet == Fleet::TwoVms ? 2 : 1);
    course.keepCopy();
    for (unsigned i = 0; i < 20 * serverCount; ++i)
        course.writeServer(i % serverCount, "ready");
    course.writeConfiguration(2);
    result.wasSecondInForce = course.timeToForce(2) < changesWithin;
    course.passOutage(storeReturn);
    course.fixture.writeAgain();
    if (fleet == Fleet::ReplacedVm)
        course.stopAllVms();
    if (fleet == Fleet::LateVm || fleet == Fleet::ReplacedVm)
        course.startVm();
    std::this_thread::sleep_for(3s);
    course.writeConfiguration(3);
    course.writeServer(leaving, "draining");
    const Clock::time_point written = Clock::now();
    result.configurationTime = course.timeToForce(3);
    std::this_thread::sleep_until(written + changesWithin);
    result.lateRequests = course.requestsReaching(leaving);
    return result;
}

void checkCourses(StoreReturn storeReturn, const std::vector<Fleet>& fleets)
{
    std::vector<std::future<CourseResult>> courses;
    courses.reserve(fleets.size());
    for (const Fleet fleet : fleets)
        courses.push_back(std::async(std::launch::async, [storeReturn, fleet] { return runCourse(storeReturn, fleet); }));
    for (std::size_t i = 0; i < fleets.size(); ++i) {
        const CourseResult result = courses[i].get();
        INFO(core::nameOf(fleets[i]) << ": in force after " << result.configurationTime.count() << " ms, " << result.lateRequests << " of " << requestCount << " requests reached the leaving server");
        CHECK(result.wasSecondInForce);
        CHECK(result.configurationTime < changesWithin);
        CHECK(result.lateRequests == 0);
    }
}

}

// Guards against VMs that turn down what is written after the store came back from a copy, because revisions are reused,
// and against a VM that starts after the return and takes an old order of objects from its peers. One that starts alone
// shows whether the fault is in the VMs or in the store.
TEST_CASE("changes are in force in time after the store came back from a copy", "[store-return]")
{
    checkCourses(StoreReturn::FromCopy, { Fleet::OneVm, Fleet::TwoVms, Fleet::LateVm, Fleet::ReplacedVm });
}

// Guards against changes that are lost because of the store's outage alone.
TEST_CASE("changes are in force in time after the store came back with all that it had", "[store-return]")
{
    checkCourses(StoreReturn::Complete, { Fleet::OneVm, Fleet::TwoVms, Fleet::LateVm });
}

// Guards against changes that are lost when watches get status 410 and all objects are listed again.
TEST_CASE("changes are in force in time after the store came back without its history", "[store-return]")
{
    checkCourses(StoreReturn::WithoutHistory, { Fleet::OneVm, Fleet::TwoVms, Fleet::LateVm });
}

// Guards against new requests for a server whose departure the store has lost, before and after it announces it again.
TEST_CASE("a server whose departure is missing in the copy gets no requests after the store's return", "[store-return]")
{
    constexpr unsigned leaving = 0;
    ReturnCourse course(2);
    course.keepCopy();
    course.writeServer(leaving, "draining");
    std::this_thread::sleep_for(changesWithin);
    REQUIRE(course.requestsReaching(leaving) == 0);
    course.passOutage(StoreReturn::FromCopy);
    for (const Clock::time_point end = Clock::now() + changesWithin; Clock::now() < end;)
        CHECK(course.requestsReaching(leaving) == 0);
    course.fixture.writeAgain();
    for (const Clock::time_point end = Clock::now() + changesWithin; Clock::now() < end;)
        CHECK(course.requestsReaching(leaving) == 0);
}

// Guards against VMs that take an older configuration from the copy, before or after the operator writes again.
TEST_CASE("no VM goes back to an older configuration after the store's return", "[store-return]")
{
    ReturnCourse course(2);
    course.keepCopy();
    course.writeConfiguration(2);
    REQUIRE(course.timeToForce(2) < changesWithin);
    course.passOutage(StoreReturn::FromCopy);
    const auto checkUntil = [&](Clock::time_point end) {
        while (Clock::now() < end) {
            CHECK(course.isInForce(2));
            CHECK_FALSE(course.isServed(1));
            std::this_thread::sleep_for(20ms);
        }
    };
    checkUntil(Clock::now() + 4s);
    course.fixture.writeAgain();
    checkUntil(Clock::now() + 4s);
}

// Guards against an invalid configuration that counts as the newest one, so that the valid ones after it are turned down.
TEST_CASE("an invalid configuration doesn't hide the valid one after it", "[store-return]")
{
    ReturnCourse course;
    const std::string invalid = GENERATE(R"({"version":"r2","resources":"none"})", R"({"version":"next"})", "[]");
    INFO(invalid);
    course.fixture.store.createOrReplace("config", "main", invalid);
    std::this_thread::sleep_for(changesWithin);
    CHECK(course.isInForce(1));
    course.writeConfiguration(3);
    CHECK(course.timeToForce(3) < changesWithin);
}
