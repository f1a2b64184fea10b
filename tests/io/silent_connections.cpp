// Real entry VMs whose connections to the store pass no more bytes, but are not closed: changes must still be in force
// in time.

#include "tcp_proxy.h"
#include "vm_process.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

constexpr auto changesWithin = 2s;
constexpr auto calmTime = 5s; // between the fault and the change; a VM must have noticed the fault by then

// Entry VMs that reach the store through one proxy.
class ProxiedFleet {
public:
    explicit ProxiedFleet(std::size_t vmCount)
        : store(this->fixture.context, this->fixture.store.endpoint())
    {
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < vmCount; ++i)
            peers.push_back(this->fixture.freeAddress());
        for (std::size_t i = 0; i < vmCount; ++i)
            this->vms.push_back(std::make_unique<VmProcess>(this->fixture, VmProcessOptions { .name = "front-" + std::to_string(i + 1), .peerAddress = peers[i], .peers = peers, .storeAddress = this->store.address(), .changesWithin = changesWithin }));
        REQUIRE(timeUntil([&] { return this->all([](VmProcess& vm) { return vm.isReady(); }); }, 8s) < 8s);
        std::this_thread::sleep_for(3s); // the VMs have found one another, and their watches are pending
    }

    template <typename Condition>
    bool all(Condition condition)
    {
        return std::ranges::all_of(this->vms, [&](const std::unique_ptr<VmProcess>& vm) { return condition(*vm); });
    }

    PlatformFixture fixture;
    TcpProxy store;
    std::vector<std::unique_ptr<VmProcess>> vms;
};

bool serves(const VmProcess& vm, const std::string& path)
{
    return RawClient(vm.callers).ask(post(path + "1", "bell", PlatformFixture::requestFields("probe"))).status() == 200;
}

}

// Guards against a VM that takes a watch without news for the absence of news: its connections to the store are dead
// without being closed, and it waits for the end of the watch.
TEST_CASE("a VM whose store connections are silent learns of a new configuration in time", "[silent-connections]")
{
    ProxiedFleet fleet(1);
    fleet.store.silence();
    std::this_thread::sleep_for(calmTime);
    fleet.fixture.writeConfiguration(2, "/second/");
    CHECK(timeUntil([&] { return serves(*fleet.vms[0], "/second/"); }, 20s) < changesWithin);
}

// Guards against the same where all VMs lose their connections at the same moment, so that no peer has the news either.
TEST_CASE("a fleet whose store connections are all silent learns of a new configuration in time", "[silent-connections]")
{
    ProxiedFleet fleet(4);
    fleet.store.silence();
    std::this_thread::sleep_for(calmTime);
    fleet.fixture.writeConfiguration(2, "/second/");
    CHECK(timeUntil([&] { return fleet.all([](const VmProcess& vm) { return serves(vm, "/second/"); }); }, 20s) < changesWithin);
}

// Guards against new work for a server that is leaving, because the watch of servers is dead without being closed.
TEST_CASE("a fleet whose store connections are all silent stops using a leaving server in time", "[silent-connections]")
{
    ProxiedFleet fleet(4);
    fleet.store.silence();
    std::this_thread::sleep_for(calmTime);
    PlatformServer& leaving = *fleet.fixture.servers[0];
    fleet.fixture.writeServerEntry(leaving, "draining");
    std::this_thread::sleep_for(changesWithin);
    const unsigned before = leaving.arrivalCount();
    for (unsigned i = 0; i < 40; ++i) {
        for (const std::unique_ptr<VmProcess>& vm : fleet.vms) {
            const std::string id = vm->callers + "-" + std::to_string(i);
            RawClient(vm->callers).ask(get("/read/" + std::to_string(i), "Affinity-Key: " + std::to_string(i) + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 900\r\n"));
        }
    }
    CHECK(leaving.arrivalCount() == before);
}

// Guards against new work for an evacuated failure domain, because the watch of evacuations is dead without being closed.
TEST_CASE("a VM whose store connections are silent learns of an evacuation in time", "[silent-connections]")
{
    ProxiedFleet fleet(1);
    fleet.store.silence();
    std::this_thread::sleep_for(calmTime);
    fleet.fixture.store.createOrReplace("evacuations", "north-1", "{}");
    CHECK(timeUntil([&] { return RawClient(fleet.vms[0]->callers).ask(get("/read/1", PlatformFixture::requestFields("probe"))).status() == 503; }, 20s) < changesWithin);
}
