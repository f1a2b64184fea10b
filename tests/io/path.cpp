// Tests entry VMs end to end over loopback: look-up, forwarding, request keys, bodies, malformed requests, shutdown.

#include "vm_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

std::string keyOf(const RawAnswer& lookup)
{
    return std::string(boost::json::parse(lookup.body).at("requestKey").as_string());
}

std::string workBody(const std::string& workId, std::size_t size)
{
    std::string body;
    for (std::size_t i = 0; i < size; ++i)
        body += app::answerByte(workId, i);
    return body;
}

}

// Guards against answers that are mixed up or cut off: several requests share one connection, with bodies from 0 bytes
// to 3 MB.
TEST_CASE("requests on one connection get their own whole answers", "[path]")
{
    VmFixture fixture;
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    REQUIRE(VmFixture::waitForLookup(address).status() == 200);
    RawClient client(address);
    for (const std::size_t size : { 0UL, 1UL, 1000UL, 70'000UL, 3'000'000UL }) {
        const std::string id = "work" + std::to_string(size);
        const RawAnswer answer = client.ask(get("/stock/" + id, "X-Work-Id: " + id + "\r\nX-Work-Bytes: " + std::to_string(size) + "\r\n"));
        CHECK(answer.status() == 200);
        CHECK(answer.field("X-Work-Id") == id);
        CHECK(answer.body == workBody(id, size));
    }
}

// Guards against a non-idempotent request that is run twice because its caller sends it again, to the same entry VM or
// to another one.
TEST_CASE("a request key is dispatched once, by the entry VM that issued it", "[path]")
{
    VmFixture fixture;
    const std::string first = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    const std::string second = fixture.startVm(fixture.vmOptions("vm-2")).callerAddress();
    const RawAnswer lookup = VmFixture::waitForLookup(first, "order");
    VmFixture::waitForLookup(second, "order");
    const std::string keyed = post("/orders/7", "bell", "X-Work-Id: order-7\r\nX-Request-Key: " + keyOf(lookup) + "\r\n");

    const RawAnswer elsewhere = RawClient(second).ask(keyed);
    CHECK(elsewhere.field("X-Cranberryshed-Error") == "key-foreign");
    CHECK(elsewhere.field("X-Cranberryshed-Run") == "may-have-run");
    CHECK(fixture.runs->runs("order-7") == 0);

    CHECK(RawClient(first).ask(keyed).status() == 200);
    const RawAnswer repeated = RawClient(first).ask(keyed);
    CHECK(repeated.field("X-Cranberryshed-Error") == "key-used");
    CHECK(repeated.field("X-First-Status") == "200");
    CHECK(fixture.runs->runs("order-7") == 1);
}

// Guards against running a non-idempotent request without a key: a repetition of it could not be detected.
TEST_CASE("a request without a key is not run and gets a key", "[path]")
{
    VmFixture fixture;
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address, "order");
    RawClient client(address);
    const RawAnswer refused = client.ask(post("/orders/8", "bell", "X-Work-Id: order-8\r\n"));
    CHECK(refused.status() == 428);
    CHECK(refused.field("X-Cranberryshed-Run") == "not-run");
    CHECK(fixture.runs->runs("order-8") == 0);
    const RawAnswer run = client.ask(post("/orders/8", "bell", "X-Work-Id: order-8\r\nX-Request-Key: " + refused.field("X-Request-Key") + "\r\n"));
    CHECK(run.status() == 200);
    CHECK(fixture.runs->runs("order-8") == 1);
}

// Guards against request smuggling and unbounded headers: ambiguous requests must not reach a backend server, because
// it could parse them differently.
TEST_CASE("malformed and ambiguous requests are refused as not run", "[path]")
{
    VmFixture fixture;
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address);
    struct Case {
        std::string name;
        std::string bytes;
        int status;
    };
    const std::string longValue(20'000, 'a');
    const std::vector<Case> cases = {
        { "both lengths", "PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "both lengths, other order", "PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400 },
        { "two lengths", "PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 400 },
        { "unknown coding", "PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
        { "bad chunk", "PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400 },
        { "no host", "GET /stock/1 HTTP/1.1\r\n\r\n", 400 },
        { "two hosts", "GET /stock/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        { "absolute target", "GET http://a/stock/1 HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        { "space before colon", "GET /stock/1 HTTP/1.1\r\nHost : a\r\n\r\n", 400 },
        { "large header", "GET /stock/1 HTTP/1.1\r\nHost: a\r\nX-Long: " + longValue + "\r\n\r\n", 431 },
        { "not HTTP", "hello\r\n\r\n", 400 },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        RawClient client(address);
        const RawAnswer answer = client.ask(entry.bytes);
        CHECK(answer.status() == entry.status);
        CHECK(answer.field("X-Cranberryshed-Run") == "not-run");
        CHECK(client.closed());
    }
    CHECK(fixture.runs->runs("") == 0);
}

// Guards against a request body that loses or gains bytes on the way to the backend server, with a declared length and
// in chunks.
TEST_CASE("request bodies are forwarded completely, with a length and in chunks", "[path]")
{
    VmFixture fixture;
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address, "upload");
    RawClient client(address);
    const std::string large(1'000'000, 'u');
    const std::string fields = "X-Work-Id: u\r\n";
    client.send("PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 1000000\r\n" + fields + "\r\n" + large);
    const RawAnswer sized = client.receive();
    CHECK(sized.status() == 200);
    CHECK(sized.field("X-Body-Length") == "1000000");
    client.send("PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n");
    for (int i = 0; i < 10; ++i)
        client.send("186a0\r\n" + large.substr(0, 100'000) + "\r\n");
    client.send("0\r\n\r\n");
    const RawAnswer chunked = client.receive();
    CHECK(chunked.status() == 200);
    CHECK(chunked.field("X-Body-Length") == "1000000");
}

// Guards against an incomplete answer that looks complete to the caller: the backend server closes its connection after
// 300 kB of 1 MB.
TEST_CASE("an incomplete answer closes the caller's connection", "[path]")
{
    VmFixture fixture(1);
    const std::string address = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    VmFixture::waitForLookup(address, "archive");
    RawClient client(address);
    const RawAnswer answer = client.ask(get("/archives/1", "X-Work-Id: a\r\nX-Work-Bytes: 1000000\r\nX-Work-Break-At: 300000\r\n"));
    CHECK(answer.status() == 200);
    CHECK_FALSE(answer.isComplete);
    CHECK(client.closed());
}

// Guards against a shutdown that cuts off a long answer in flight, and against look-ups that still return the leaving
// VM.
TEST_CASE("a graceful shutdown serves what is in flight", "[path]")
{
    VmFixture fixture;
    app::EntryVm& leaving = fixture.startVm(fixture.vmOptions("vm-1"));
    const std::string first = leaving.callerAddress();
    const std::string second = fixture.startVm(fixture.vmOptions("vm-2")).callerAddress();
    VmFixture::waitForLookup(first);
    VmFixture::waitForLookup(second);
    RawClient slow(first);
    slow.send(get("/archives/1", "X-Work-Id: a\r\nX-Work-Us: 1500000\r\nX-Work-Bytes: 2000000\r\n"));
    std::this_thread::sleep_for(100ms);
    std::promise<void> stopped;
    leaving.shutDown([&] { stopped.set_value(); });
    const auto end = std::chrono::steady_clock::now() + 5s;
    RawAnswer lookup;
    do
        lookup = RawClient(second).ask(get("/v1/entry?class=stock"));
    while (lookup.body.find(first) != std::string::npos && std::chrono::steady_clock::now() < end);
    CHECK(lookup.body.find(first) == std::string::npos);
    const RawAnswer archive = slow.receive();
    CHECK(archive.status() == 200);
    CHECK(archive.body == workBody("a", 2'000'000));
    CHECK(stopped.get_future().wait_for(10s) == std::future_status::ready);
}

// Guards against callers that occupy connections by sending their requests slowly.
TEST_CASE("a slow header and a slow body are timed out", "[path]")
{
    VmFixture fixture;
    app::EntryVmOptions options = fixture.vmOptions("vm-1");
    options.limits.headerTimeout = 200ms;
    const std::string address = fixture.startVm(options).callerAddress();
    RawClient client(address);
    const RawAnswer answer = client.ask("GET /stock/1 HTTP/1.1\r\nHo");
    CHECK(answer.status() == 408);
    CHECK(client.closed());
    options.name = "vm-2";
    options.limits.progressTimeout = 200ms;
    const std::string other = fixture.startVm(options).callerAddress();
    VmFixture::waitForLookup(other, "upload");
    RawClient slowBody(other);
    const RawAnswer refused = slowBody.ask("PUT /uploads/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(refused.status() == 408);
    CHECK(refused.field("X-Cranberryshed-Run") == "not-run");
}

// Guards against one caller address that uses up all connections.
TEST_CASE("connections per caller address are limited", "[path]")
{
    VmFixture fixture;
    app::EntryVmOptions options = fixture.vmOptions("vm-1");
    options.limits.maxConnectionsPerCaller = 2;
    const std::string address = fixture.startVm(options).callerAddress();
    auto first = std::make_unique<RawClient>(address);
    RawClient second(address);
    first->ask(get("/v1/entry?class=none"));
    second.ask(get("/v1/entry?class=none"));
    const RawAnswer refused = RawClient(address).receive();
    CHECK(refused.status() == 429);
    first.reset();
    const auto end = std::chrono::steady_clock::now() + 5s;
    int status = 429;
    while (status == 429 && std::chrono::steady_clock::now() < end)
        status = RawClient(address).ask(get("/v1/entry?class=none")).status();
    CHECK(status == 404);
}

// Guards against a request that keeps waiting on one traffic thread although another thread has released a slot.
TEST_CASE("a freed slot wakes requests on every traffic thread", "[path]")
{
    VmFixture fixture(1);
    app::EntryVmOptions options = fixture.vmOptions("vm-1");
    options.trafficThreads = 4;
    const std::string address = fixture.startVm(options).callerAddress();
    VmFixture::waitForLookup(address);
    std::vector<std::unique_ptr<RawClient>> clients;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 24; ++i) {
        clients.push_back(std::make_unique<RawClient>(address));
        clients.back()->send(get("/stock/" + std::to_string(i), "X-Work-Id: s\r\nX-Work-Us: 50000\r\n"));
    }
    for (const auto& client : clients)
        CHECK(client->receive().status() == 200);
    CHECK(std::chrono::steady_clock::now() - begin < 2s);
}

// Guards against a request that crashes one backend server after another because its caller sends it again and again,
// to several entry VMs.
TEST_CASE("a request that crashes servers is quarantined on every entry VM", "[path]")
{
    VmFixture fixture(4);
    const std::string first = fixture.startVm(fixture.vmOptions("vm-1")).callerAddress();
    const std::string second = fixture.startVm(fixture.vmOptions("vm-2")).callerAddress();
    VmFixture::waitForLookup(first);
    VmFixture::waitForLookup(second);
    const std::string poison = get("/stock/poison", "X-Work-Id: poison\r\nX-Work-Crash: 1\r\n");
    std::vector<std::string> errors;
    for (int i = 0; i < 10; ++i) {
        errors.push_back(RawClient(i % 2 == 0 ? first : second).ask(poison).field("X-Cranberryshed-Error"));
        std::this_thread::sleep_for(100ms);
    }
    CHECK(errors.back() == "quarantined");
    CHECK(fixture.runs->runs("poison") <= 2);
    CHECK(RawClient(second).ask(get("/stock/good", "X-Work-Id: good\r\n")).status() == 200);
}
