// End-to-end tests of the users' platform over loopback: store, backend servers, entry VMs and callers.

#include "platform_fixture.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

bool becomesReady(const PlatformFixture::Addresses& vm)
{
    return timeUntil([&] { return PlatformFixture::isReady(vm); }, 5s) < 5s;
}

}

// Guards against components that pass their own tests but don't work together: look-up, a safe and an unsafe request,
// and a request that matches no route.
TEST_CASE("a request on the platform runs once and gets its server's answer", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    const RawAnswer lookup = RawClient(vm.lookups).ask(get("/api/resolve?name=test&region=north&zone=north-1"));
    CHECK(lookup.status() == 200);
    CHECK(lookup.body.find(vm.callers) != std::string::npos);
    RawClient client(vm.callers);
    const RawAnswer read = client.ask(get("/read/1", PlatformFixture::requestFields("a")));
    CHECK(read.status() == 200);
    CHECK(read.field("Server-Stamp").starts_with("stamp of i-"));
    CHECK(read.body.ends_with("to /read/1"));
    CHECK(client.ask(post("/write/1", "bell", PlatformFixture::requestFields("b"))).status() == 200);
    CHECK(client.ask(get("/nowhere/1", PlatformFixture::requestFields("c"))).status() == 404);
    CHECK(fixture.runCount("a") == 1);
    CHECK(fixture.runCount("b") == 1);
    CHECK(fixture.runCount("c") == 0);
}

// Guards against running an unsafe request twice, and against failing a safe one, when one of two backend servers runs
// requests but closes the connection before the answer.
TEST_CASE("after a lost answer only idempotent requests are sent again", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    fixture.servers[0]->dropsAnswers = true;
    unsigned lost = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string order = "order-" + std::to_string(i);
        const std::string orderFields = "Affinity-Key: " + std::to_string(i) + "\r\nRequest-Id: " + order + "\r\nDeadline-Ms: 2000\r\n";
        const int status = RawClient(vm.callers).ask(post("/write/1", "bell", orderFields)).status();
        CHECK((status == 200 || status == 502));
        lost += status == 502 ? 1 : 0;
        CHECK(fixture.runCount(order) == 1);
        const std::string readFields = "Affinity-Key: " + std::to_string(i) + "\r\nRequest-Id: lookup-" + std::to_string(i) + "\r\nDeadline-Ms: 2000\r\n";
        CHECK(RawClient(vm.callers).ask(get("/read/1", readFields)).status() == 200);
    }
    CHECK(lost > 0);
}

// Guards against an entry VM that misses a new configuration when its watches are cut, the store's history is compacted
// or the store is unavailable, and against one that goes back to an older version which is written again.
TEST_CASE("a new configuration takes effect despite cut watches, compacted history and an outage", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    unsigned version = 1;
    const auto takesEffect = [&](const std::string& path) {
        fixture.writeConfiguration(++version, path);
        return [&vm, path] {
            return RawClient(vm.callers).ask(post(path + "1", "bell", PlatformFixture::requestFields("probe"))).status() == 200;
        };
    };
    CHECK(timeUntil(takesEffect("/second/"), 2s) < 2s);
    fixture.store.cutWatches();
    CHECK(timeUntil(takesEffect("/third/"), 2s) < 2s);
    fixture.store.cutWatches();
    const auto fourth = takesEffect("/fourth/");
    fixture.store.compactHistory();
    CHECK(timeUntil(fourth, 2s) < 2s);
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
    fixture.store.cutWatches();
    const auto fifth = takesEffect("/fifth/");
    std::this_thread::sleep_for(500ms);
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
    CHECK(timeUntil(fifth, 3s) < 3s);
    fixture.writeConfiguration(2, "/second/"); // an older version is written again
    std::this_thread::sleep_for(400ms);
    CHECK(fifth());
}

// Guards against an entry VM that answers 404, or not at all, while it has no configuration yet, and against one that
// loses its configuration during a store outage.
TEST_CASE("a VM that starts without the store answers 503 and becomes ready later", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses first = fixture.startVm("front-1");
    REQUIRE(becomesReady(first));
    const PlatformFixture::Addresses second = fixture.startVm("front-2");
    REQUIRE(becomesReady(second));
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
    const PlatformFixture::Addresses alone = fixture.startVm("front-3");
    CHECK(RawClient(alone.callers).ask(get("/read/1", PlatformFixture::requestFields("a"))).status() == 503);
    CHECK_FALSE(PlatformFixture::isReady(alone));
    // The first two VMs found each other by their registrations in the store. During the outage, the second one keeps
    // serving from the configuration that it has.
    CHECK(RawClient(second.callers).ask(get("/read/1", PlatformFixture::requestFields("b"))).status() == 200);
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
    CHECK(becomesReady(alone));
}

// Guards against sending requests to servers that are draining, whose failure domain is evacuated or whose entry was
// removed from the store, and against not using them again afterwards.
TEST_CASE("draining, evacuated and removed servers get no more requests", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    unsigned next = 0;
    const auto ask = [&] {
        const std::string object = std::to_string(++next);
        return RawClient(vm.callers).ask(get("/read/1", "Affinity-Key: " + object + "\r\nRequest-Id: r" + object + "\r\nDeadline-Ms: 500\r\n")).status();
    };
    const auto isIdle = [&](PlatformServer& server) {
        const unsigned before = server.totalRunCount();
        for (int i = 0; i < 12; ++i)
            ask();
        return server.totalRunCount() == before;
    };
    CHECK_FALSE(isIdle(*fixture.servers[0]));
    fixture.writeServerEntry(*fixture.servers[0], "draining");
    CHECK(timeUntil([&] { return isIdle(*fixture.servers[0]); }, 2s) < 2s);
    fixture.writeServerEntry(*fixture.servers[0], "ready");
    CHECK(timeUntil([&] { return !isIdle(*fixture.servers[0]); }, 2s) < 2s);
    fixture.store.remove("servers", fixture.servers[0]->name);
    CHECK(timeUntil([&] { return isIdle(*fixture.servers[0]); }, 2s) < 2s);
    CHECK_FALSE(isIdle(*fixture.servers[1]));
    fixture.store.createOrReplace("evacuations", "north-1", "{}");
    CHECK(timeUntil([&] { return isIdle(*fixture.servers[1]); }, 2s) < 2s);
    fixture.store.remove("evacuations", "north-1");
    CHECK(timeUntil([&] { return ask() == 200; }, 2s) < 2s);
}

// Guards against new work for a server that announces its end in its answers while the store, which lists it as ready,
// can't be reached. A refusal announces it as well as an answer.
TEST_CASE("a server that announces its end gets no more requests without the store", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
    fixture.store.cutWatches();
    PlatformServer& leaving = *fixture.servers[0];
    leaving.refusesRequests = GENERATE(false, true);
    leaving.announcesLeaving = true;
    unsigned next = 0;
    const auto ask = [&] {
        const std::string object = std::to_string(++next);
        return RawClient(vm.callers).ask(get("/read/1", "Affinity-Key: " + object + "\r\nRequest-Id: r" + object + "\r\nDeadline-Ms: 500\r\n")).status();
    };
    for (int i = 0; i < 12; ++i)
        ask();
    CHECK(leaving.arrivalCount() > 0);
    std::this_thread::sleep_for(2s); // less than the shortest time for which a leaving server still accepts work
    const unsigned before = leaving.arrivalCount();
    for (int i = 0; i < 12; ++i)
        CHECK(ask() == 200);
    CHECK(leaving.arrivalCount() == before);
    fixture.writeServerEntry(leaving, "ready");
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
    std::this_thread::sleep_for(1500ms); // the entry has been read again by then
    for (int i = 0; i < 12; ++i)
        ask();
    CHECK(leaving.arrivalCount() == before);
}

// Guards against a server that is asked again during the pause for which it has asked, by retries or new requests.
TEST_CASE("a server that asks for a pause gets at most two requests during it", "[platform-path]")
{
    PlatformFixture fixture;
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    PlatformServer& pausing = *fixture.servers[0];
    pausing.refusesRequests = true;
    pausing.asksForPause = true;
    unsigned next = 0;
    const auto ask = [&] {
        const std::string object = std::to_string(++next);
        return RawClient(vm.callers).ask(get("/read/1", "Affinity-Key: " + object + "\r\nRequest-Id: p" + object + "\r\nDeadline-Ms: 2000\r\n")).status();
    };
    while (pausing.arrivalCount() == 0 && next < 100)
        CHECK(ask() == 200);
    const unsigned before = pausing.arrivalCount();
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 800ms)
        CHECK(ask() == 200);
    CHECK(next > 20);
    CHECK(pausing.arrivalCount() <= before + 2);
}

// Guards against an entry VM that ends, or no longer follows the servers, because another program wrote an object that
// it can't decode. The odd objects come first, alone, and beside a removal.
TEST_CASE("odd entries in the store stop nothing", "[platform-path]")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string valid = R"("info":{"service":"ledger","version":"v1","zone":"north-1","slots":3},"status":{"state":"ready","sequence":1,"cold_left":"0ms"}})";
    const std::vector<std::string> oddSpecs = {
        deep,
        R"({"address":"127.0.0.1:80","extra":)" + deep + "," + valid,
        R"({"address":"127.0.0.1:70000",)" + valid,
        R"({"address":"127.0.0.1:0",)" + valid,
        R"({"address":"127.0.0.1:80","born":1e99999999999,)" + valid,
        R"({"address":"127.0.0.1:80","born":-1,)" + valid,
        R"({"address":"127.0.0.1:80","born":18446744073709551616,)" + valid,
        R"([1,2,3])",
        R"("text")",
        "{\"address\":\"\xff\xfe\"," + valid,
        R"({"address":")" + std::string(200'000, 'a') + R"(",)" + valid,
    };
    PlatformFixture fixture(1);
    const bool isBeforeStart = GENERATE(true, false);
    const auto writeOddObjects = [&] {
        for (std::size_t i = 0; i < oddSpecs.size(); ++i) {
            for (const std::string kind : { "servers", "entry-vms", "evacuations" })
                fixture.store.createOrReplace(kind, "0-odd " + std::to_string(i), oddSpecs[i]);
        }
    };
    if (isBeforeStart)
        writeOddObjects();
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    if (!isBeforeStart)
        writeOddObjects();
    unsigned next = 0;
    const auto ask = [&] {
        const std::string request = "odd-" + std::to_string(++next);
        return RawClient(vm.callers).ask(get("/read/1", "Affinity-Key: " + std::to_string(next) + "\r\nRequest-Id: " + request + "\r\nDeadline-Ms: 500\r\n")).status();
    };
    CHECK(timeUntil([&] { return ask() == 200; }, 3s) < 3s);
    // Later changes are still followed: a new server, and the removal of the first one.
    fixture.servers.push_back(std::make_unique<PlatformServer>(fixture.context, "i-new"));
    fixture.writeServerEntry(*fixture.servers[1], "ready");
    CHECK(timeUntil([&] { return ask() == 200 && fixture.servers[1]->totalRunCount() > 0; }, 3s) < 3s);
    fixture.store.remove("servers", fixture.servers[0]->name);
    fixture.store.remove("servers", "0-odd 0");
    const auto isIdle = [&] {
        const unsigned before = fixture.servers[0]->arrivalCount();
        for (int i = 0; i < 6; ++i)
            ask();
        return fixture.servers[0]->arrivalCount() == before;
    };
    CHECK(timeUntil(isIdle, 3s) < 3s);
    CHECK(PlatformFixture::isReady(vm));
    fixture.writeConfiguration(2, "/other/");
    CHECK(timeUntil([&] { return RawClient(vm.callers).ask(post("/other/1", "bell", PlatformFixture::requestFields("late"))).status() == 200; }, 2s) < 2s);
}

// Guards against running an unsafe request twice, or answering 503 for one that has run: its server writes an earlier
// refusal once more, on the connection on which the same request has been sent again.
TEST_CASE("a late copy of a refusal is not taken for the answer to the next attempt", "[platform-path]")
{
    PlatformFixture fixture(1);
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    for (int i = 0; i < 20; ++i) // their number allows for the extra attempts below
        CHECK(RawClient(vm.callers).ask(get("/read/1", PlatformFixture::requestFields("earlier-" + std::to_string(i)))).status() == 200);
    const unsigned before = fixture.servers[0]->arrivalCount();
    fixture.servers[0]->repeatedRefusals = 2;
    CHECK(RawClient(vm.callers).ask(post("/write/1", "bell", PlatformFixture::requestFields("order"))).status() == 200);
    CHECK(fixture.runCount("order") == 1);
    CHECK(fixture.servers[0]->arrivalCount() == before + 3);
}

// Guards against a body that reaches a server as a request of its own: the caller's Connection field lists the fields
// that frame the body, and a proxy that removes them sends the body without its length.
TEST_CASE("a request can't remove its framing or its id by listing them in Connection", "[platform-path]")
{
    PlatformFixture fixture(1);
    const PlatformFixture::Addresses vm = fixture.startVm("front-1");
    REQUIRE(becomesReady(vm));
    const std::string hidden = post("/write/hidden", "bell", "Request-Id: hidden\r\nExpect-Instance: i-1\r\nDeadline-Ms: 2000\r\n");
    const std::string options = "Connection: Content-Length, transfer-encoding\r\nConnection: Request-Id, Host, Deadline-Ms, X-Private\r\nX-Private: 1\r\n";
    CHECK(RawClient(vm.callers).ask(post("/write/1", hidden, options + PlatformFixture::requestFields("sized"))).status() == 200);
    const std::string chunked = "POST /write/1 HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n" + options + PlatformFixture::requestFields("chunked") + "\r\n4\r\nbell\r\n0\r\n\r\n";
    CHECK(RawClient(vm.callers).ask(chunked).status() == 200);
    std::this_thread::sleep_for(200ms); // a hidden request would arrive later than the answer
    CHECK(fixture.runCount("hidden") == 0);
    CHECK(fixture.servers[0]->totalRunCount() == 2);
    CHECK(fixture.servers[0]->receivedBody("sized") == hidden);
    CHECK(fixture.servers[0]->receivedBody("chunked") == "bell");
}
