#include "declare/files.h"
#include "declare/load.h"
#include "declare/print.h"
#include "io/store_fixture.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace declare = cranberryshed::declare;
namespace platform = cranberryshed::platform;
using cranberryshed::tests::StoreFixture;

namespace {

core::Object site(const std::string& name, std::uint64_t revision, const std::string& domain = "jyl-1")
{
    return { .kind = "site", .name = name, .version = { .revision = revision, .version = 0 }, .deleted = false, .content = R"({"nearestDomains":[")" + domain + R"("]})" };
}

}

// Guards against a client and a stand-in that disagree about the protocol.
TEST_CASE("objects are written, read, listed and deleted over HTTP", "[standin]")
{
    StoreFixture fixture;
    platform::WriteResult first = fixture.run(fixture.client.put(site("randers", 4), 0));
    REQUIRE(first.written);
    CHECK(first.current.object.version == core::ObjectVersion { .revision = 4, .version = 1 });
    platform::StoredObject read = fixture.run(fixture.client.get("site", "randers"));
    CHECK(read.object.content == site("randers", 4).content);
    CHECK(read.mark.writer == "test");
    CHECK(fixture.run(fixture.client.list("site")).objects.size() == 1);
    CHECK_FALSE(fixture.run(fixture.client.put(site("randers", 5), 9)).written);
    CHECK(fixture.run(fixture.client.remove(site("randers", 6), 1)).written);
    CHECK(fixture.run(fixture.client.get("site", "randers")).object.deleted);
    CHECK(fixture.run(fixture.client.list("site")).objects.at(0).object.deleted);
    CHECK(fixture.run(fixture.client.get("site", "roskilde")).object.deleted);
}

// Guards against a list of VMs that loses keys on its way.
TEST_CASE("the list of VMs reaches the client", "[standin]")
{
    StoreFixture fixture;
    core::ServerListing server { .name = "ledger-1", .address = "127.0.0.1:8080", .service = "ledger", .batch = "ledger-2024", .domain = "jyl-1", .leaving = true, .slots = 4, .connectionLimit = 100 };
    fixture.standIn.setServers({ server });
    core::ServerList list = fixture.run(fixture.client.vms());
    REQUIRE(list.servers.size() == 1);
    CHECK(list.servers[0].address == server.address);
    CHECK(list.servers[0].leaving);
    CHECK(list.servers[0].slots == 4);
}

// Guards against examples that do not load.
TEST_CASE("the examples of both users load completely", "[declare]")
{
    for (std::string user : { "foundry", "schools" }) {
        declare::FileObjects files = declare::readFiles({ std::string(SOURCE_DIR) + "/examples/" + user });
        CHECK(files.problems.empty());
        std::vector<declare::Problem> problems;
        core::Declarations loaded = declare::load(files.objects, &problems);
        for (const declare::Problem& problem : problems)
            FAIL_CHECK(problem.path << ": " << problem.text);
        CHECK(loaded.domains.size() == 6);
        CHECK(loaded.targets.size() == loaded.classes.size());
        core::Declarations again = declare::load(declare::objectsOf(loaded));
        CHECK(again.classes.size() == loaded.classes.size());
        CHECK(again.blocks.size() == loaded.blocks.size());
        CHECK(again.batches.at(0).contractEnd == loaded.batches.at(0).contractEnd);
    }
}
