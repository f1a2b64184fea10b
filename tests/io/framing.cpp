// Relaying of answers with each kind of body framing, and uploads that their callers abort.

#include "raw_server.h"
#include "vm_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

// Makes this server the only backend server of the fixture's entry VMs.
void useOnly(VmFixture& fixture, const RawServer& server)
{
    fixture.store.setServers({ { .name = "raw", .address = server.address(), .service = "shop", .batch = "first", .domain = "north-1" } });
}

// Reads from the connection up to the last chunk of a chunked body.
std::string chunkedBody(RawClient& client)
{
    return client.readUntil("0\r\n\r\n");
}

}

// Guards against an answer with wrong framing: the caller then finds its end in the wrong place and reads every later
// answer on the connection from a wrong offset.
TEST_CASE("each kind of answer framing leaves the connection usable for the next request", "[framing]")
{
    VmFixture fixture(0);
    RawServer server({
        { "HEAD /stock/chunked", { .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" } },
        { "GET /stock/chunked", { .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" } },
        { "GET /stock/to-eof", { .bytes = "HTTP/1.1 200 OK\r\n\r\nuntil the end", .closeAfter = true } },
        { "GET /stock/none", { .bytes = "HTTP/1.1 204 No Content\r\n\r\n" } },
        { "GET /stock/interim", { .bytes = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" } },
        { "GET /stock/sized", { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbell" } },
    });
    fixture.declareClass("heads", "HEAD", "/stock/", "idempotent", "short");
    useOnly(fixture, server);
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address);
    RawClient client(address);
    const auto sized = [&] {
        const RawAnswer answer = client.ask(get("/stock/sized"));
        return answer.status() == 200 && answer.body == "bell";
    };
    REQUIRE(sized());
    CHECK(client.ask("HEAD /stock/chunked HTTP/1.1\r\nHost: t\r\n\r\n").status() == 200);
    CHECK(sized());
    CHECK(client.ask(get("/stock/chunked")).status() == 200);
    CHECK(chunkedBody(client) == "5\r\nhello\r\n0\r\n\r\n");
    CHECK(sized());
    CHECK(client.ask(get("/stock/to-eof")).status() == 200);
    CHECK_THAT(chunkedBody(client), Catch::Contains("until the end"));
    CHECK(sized());
    CHECK(client.ask(get("/stock/none")).status() == 204);
    CHECK(sized());
    CHECK(client.ask(get("/stock/interim")).body == "ok");
    CHECK(sized());
}

// Guards against an answer whose end its caller can't find: without a length and without chunks, an empty body on a
// connection that stays open looks unfinished.
TEST_CASE("the end of an answer with an empty body is marked", "[framing]")
{
    VmFixture fixture(0);
    RawServer server({
        { "GET /stock/failed", { .bytes = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" } },
        { "GET /stock/empty", { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } },
        { "GET /stock/none", { .bytes = "HTTP/1.1 204 No Content\r\n\r\n" } },
        { "HEAD /stock/sized", { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" } },
        { "GET /stock/listed", { .bytes = "HTTP/1.1 200 OK\r\nConnection: Content-Length\r\nContent-Length: 4\r\n\r\nbell" } },
    });
    fixture.declareClass("heads", "HEAD", "/stock/", "idempotent", "short");
    useOnly(fixture, server);
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address);
    RawClient client(address);
    const RawAnswer failed = client.ask(get("/stock/failed"));
    CHECK(failed.status() == 500);
    CHECK(failed.field("Content-Length") == "0");
    CHECK(client.ask(get("/stock/empty")).field("Content-Length") == "0");
    const RawAnswer none = client.ask(get("/stock/none"));
    CHECK(none.status() == 204);
    CHECK(none.field("Content-Length").empty());
    CHECK(client.ask(get("/stock/listed")).body == "bell");
    client.send("HEAD /stock/sized HTTP/1.1\r\nHost: t\r\n\r\n");
    CHECK_THAT(client.readUntil("\r\n\r\n"), Catch::Contains("Content-Length: 4"));
    CHECK(client.ask(get("/stock/empty")).status() == 200);
}

// Guards against passing a caller the answer to another request: a server sends an answer a second time, when the next
// request on the connection is already on its way.
TEST_CASE("a late second copy of an answer is not taken for the next answer", "[framing]")
{
    VmFixture fixture(0);
    const std::string first = "HTTP/1.1 200 OK\r\nX-Exchange-Id: 1\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nX-Exchange-Id: 2\r\nContent-Length: 6\r\n\r\nsecond";
    RawServer server({ { "GET /stock/1", { .bytes = first } }, { "GET /stock/2", { .bytes = first + second } } });
    useOnly(fixture, server);
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address);
    RawClient client(address);
    CHECK(client.ask(get("/stock/1")).body == "first");
    CHECK(client.ask(get("/stock/2")).body == "second");
}

// Guards against two faults when a caller aborts its upload: a slot that stays occupied because the attempt never ends,
// and a request that is suspected of having crashed the backend server because its attempt counts as broken.
TEST_CASE("an upload that its caller aborts frees its slot", "[framing]")
{
    VmFixture fixture(1);
    app::EntryVm& vm = fixture.startVm(fixture.vmOptions("vm-1"));
    VmFixture::waitForLookup(vm.callerAddress(), "upload");
    {
        RawClient client(vm.callerAddress());
        client.send("PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 1000000\r\n\r\n" + std::string(300'000, 'u'));
        std::this_thread::sleep_for(200ms);
    }
    const auto dump = [&] { return boost::json::parse(RawClient(vm.adminAddress()).ask(get("/v1/dump")).body); };
    const auto inFlight = [&] {
        const boost::json::value state = dump();
        return state.at("servers").at(0).at("inFlight").to_number<std::uint64_t>();
    };
    CHECK(timeUntil([&] { return inFlight() == 0; }, 3s) < 3s);
    const boost::json::value state = dump();
    CHECK(state.at("suspects").to_number<std::uint64_t>() == 0);
    CHECK(RawClient(vm.callerAddress()).ask(get("/stock/1", "X-Work-Id: s\r\n")).status() == 200);
}
