// Tests how a change of a declaration spreads from the store to all entry VMs, over loopback.

#include "vm_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memberCount = 30;

boost::json::value dumpOf(const app::EntryVm& vm)
{
    return boost::json::parse(RawClient(vm.adminAddress()).ask(get("/v1/dump")).body);
}

bool allHave(const VmFixture& fixture, std::uint64_t revision)
{
    return std::ranges::all_of(fixture.vms, [&](const std::unique_ptr<app::EntryVm>& vm) {
        const boost::json::value dump = dumpOf(*vm);
        return dump.at("configurationRevision").to_number<std::uint64_t>() == revision;
    });
}

std::size_t watchers(const VmFixture& fixture)
{
    return static_cast<std::size_t>(std::ranges::count_if(fixture.vms, [](const std::unique_ptr<app::EntryVm>& vm) { return dumpOf(*vm).at("watchesStore").as_bool(); }));
}

}

// Guards against a change that takes more than 2 s to be in force on 30 entry VMs, and against a load on the store that
// grows with the fleet: only two entry VMs per failure domain watch it.
TEST_CASE("a change is in force on 30 entry VMs within 2 s", "[spread]")
{
    VmFixture fixture;
    for (std::size_t i = 0; i < memberCount; ++i)
        fixture.startVm(fixture.vmOptions("vm-" + std::to_string(i + 1)));
    const std::uint64_t before = fixture.revision;
    REQUIRE(timeUntil([&] { return allHave(fixture, before); }, 20s) < 20s);
    CHECK(timeUntil([&] { return watchers(fixture) == 2; }, 20s) < 20s);

    fixture.declare("target", "changed", R"({"class":"stock","latencyMs":90,"headroomPercent":0,"shiftCapPercentPerMinute":100})");
    const std::chrono::milliseconds taken = timeUntil([&] { return allHave(fixture, fixture.revision); }, 10s);
    CHECK(taken < 2s);
    WARN("in force on 30 entry VMs after " << taken.count() << " ms");
}
