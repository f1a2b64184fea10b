#include "control/pipeline.h"
#include "core/hash.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;

namespace {

control::ControlInputs smallSources()
{
    auto declarations = std::make_shared<core::Declarations>();
    declarations->revision = 7;
    declarations->regions = { { .name = "jyl", .links = {} }, { .name = "sjl", .links = {} } };
    declarations->domains = { { .name = "jyl-1", .region = "jyl" }, { .name = "sjl-1", .region = "sjl" } };
    declarations->classes = { { .name = "stock", .host = {}, .methods = {}, .pathPrefix = "/stock", .service = "ledger", .deadline = std::chrono::seconds(1) } };
    control::ControlInputs inputs { .declarations = declarations, .self = "vm-1", .selfDomain = "jyl-1" };
    for (int i = 0; i < 4; ++i) {
        const std::string name = "ledger-" + std::to_string(i);
        inputs.serverList.servers.push_back({ .name = name, .address = "127.0.0.1:9000", .service = "ledger", .batch = "a", .domain = i % 2 ? "sjl-1" : "jyl-1" });
    }
    inputs.members = { { .name = "vm-1", .address = "127.0.0.1:8001", .domain = "jyl-1" }, { .name = "vm-2", .address = "127.0.0.1:8002", .domain = "sjl-1" } };
    return inputs;
}

}

// Guards against a table whose classes, shares or own member refer to servers or members that it does not contain.
TEST_CASE("one run makes a valid table", "[control]")
{
    control::ControlPipe pipe = control::makeControlPipe();
    const auto outcome = pipe(smallSources(), core::TimePoint {});
    REQUIRE_FALSE(outcome.ended());
    const core::SteeringTable& table = *outcome.output().table;
    CHECK(table.configurationRevision == 7);
    REQUIRE(table.classes.size() == 1);
    CHECK(table.classes[0].servers.size() == 4);
    CHECK(table.classes[0].regionShares == std::vector<double> { 1, 0 });
    CHECK(table.at(table.self).name == "vm-1");
    CHECK(table.servers[0].isHome);
    CHECK_FALSE(table.servers[1].isHome);
}

// Guards against a new table that starts with empty slot counts. Requests in flight would not count then, and a server
// would get more requests than it has slots.
TEST_CASE("slot counts outlive a table", "[control]")
{
    control::ControlPipe pipe = control::makeControlPipe();
    auto first = pipe(smallSources(), core::TimePoint {});
    REQUIRE(first.output().table->servers[0].slotCounter->tryAcquire(3));
    auto second = pipe(smallSources(), core::TimePoint {});
    CHECK(second.output().table->servers[0].slotCounter->inFlight() == 1);
}

// Guards against home subsets that overlap or differ in size, which load some servers more than others.
TEST_CASE("home subsets are disjoint and balanced", "[control]")
{
    for (std::size_t members = 1; members <= 30; ++members) {
        std::vector<std::uint64_t> serverKeys(25);
        std::vector<std::uint64_t> memberKeys(members);
        for (std::size_t i = 0; i < serverKeys.size(); ++i)
            serverKeys[i] = 100 + i;
        for (std::size_t i = 0; i < members; ++i)
            memberKeys[i] = 900 + i;
        std::vector<std::size_t> uses(serverKeys.size(), 0);
        std::set<std::size_t> sizes;
        for (const auto& part : control::assignHomeSubsets(serverKeys, memberKeys)) {
            sizes.insert(part.size());
            for (const std::size_t server : part)
                ++uses[server];
        }
        CHECK(*sizes.rbegin() - *sizes.begin() <= 1);
        const auto [least, most] = std::ranges::minmax(uses);
        CHECK(most - least <= (members > serverKeys.size() ? 1U : 0U));
    }
}

// Guards against one invalid caller block that keeps all other changes of the declarations from taking effect. Here a
// block names an undeclared site.
TEST_CASE("a bad caller block leaves the last blocks in force", "[control]")
{
    control::ControlPipe pipe = control::makeControlPipe();
    control::ControlInputs inputs = smallSources();
    auto declarations = std::make_shared<core::Declarations>(*inputs.declarations);
    declarations->sites = { { .name = "farm", .nearestDomains = { "sjl-1" } } };
    declarations->blocks = { { .firstAddress = 0x0A000000, .prefixLength = 8, .site = "farm" } };
    inputs.declarations = declarations;
    const auto first = pipe(inputs, core::TimePoint {});
    auto bad = std::make_shared<core::Declarations>(*declarations);
    bad->revision = 8;
    bad->blocks.push_back({ .firstAddress = 0, .prefixLength = 8, .site = "nowhere" });
    inputs.declarations = bad;
    const auto second = pipe(inputs, core::TimePoint {});
    REQUIRE_FALSE(second.ended());
    CHECK(second.output().table->configurationRevision == 8);
    CHECK(second.output().table->addressBlocks == first.output().table->addressBlocks);
    CHECK(second.output().warnings.size() == 1);
}

// Guards against a run without usable inputs that publishes an empty table and thereby replaces the table in force.
TEST_CASE("a run without declarations or in an undeclared failure domain publishes nothing", "[control]")
{
    control::ControlPipe pipe = control::makeControlPipe();
    control::ControlInputs inputs = smallSources();
    inputs.declarations.reset();
    CHECK(pipe(inputs, core::TimePoint {}).answer() == control::SkipReason::NoDeclarations);
    inputs = smallSources();
    inputs.selfDomain = "nowhere";
    CHECK(pipe(inputs, core::TimePoint {}).answer() == control::SkipReason::UnknownDomain);
}

// Guards against a member that joins or leaves and thereby changes most home servers of the other members.
TEST_CASE("a change of the membership moves few home servers", "[control]")
{
    std::vector<std::uint64_t> serverKeys;
    std::vector<std::uint64_t> memberKeys;
    for (std::uint64_t i = 0; i < 25; ++i)
        serverKeys.push_back(core::hashBytes("server-" + std::to_string(i)));
    for (std::uint64_t i = 0; i < 8; ++i)
        memberKeys.push_back(core::hashBytes("vm-" + std::to_string(i)));
    const auto before = control::assignHomeSubsets(serverKeys, memberKeys);
    memberKeys.pop_back();
    const auto after = control::assignHomeSubsets(serverKeys, memberKeys);
    std::size_t kept = 0;
    for (std::size_t member = 0; member < memberKeys.size(); ++member) {
        for (const std::size_t server : before[member])
            kept += static_cast<std::size_t>(std::ranges::count(after[member], server));
    }
    CHECK(kept >= 16);
}
