// Tests of `serve` processes: settings, signals, kills, freezes, replacement of a VM, outages of the store.

#include "process.h"
#include "vm_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

constexpr int badSettingsExitCode = 2;

// A `serve` process. It listens on ports that the kernel assigns; the addresses are read from its log.
class ServeProcess {
public:
    ServeProcess(const std::string& name, const std::string& store, const std::string& seedPeer, const std::string& shutdown = R"("acceptMs": 300, "drainMs": 20000)", unsigned trafficThreads = 1)
        : settings(settingsText(name, store, seedPeer, shutdown, trafficThreads))
        , process({ "serve", "--settings", this->settings.path() })
    {
        const std::string log = this->process.readUntil("other entry VMs on ");
        this->callers = textAfter(log, "serves callers on ");
        this->admin = textAfter(log, "operators on ");
        this->peers = textAfter(this->process.readUntil("\n", 1), "other entry VMs on ");
    }

    // Whether the answer of a look-up contains this caller address.
    bool lookupReturns(const std::string& address, const std::string& className = "stock") const
    {
        return RawClient(this->callers).ask(get("/v1/entry?class=" + className)).body.find(address) != std::string::npos;
    }

    boost::json::value dump() const
    {
        RawClient client(this->admin);
        return boost::json::parse(client.ask(get("/v1/dump")).body);
    }

    std::string callers;
    std::string admin;
    std::string peers;

private:
    static std::string settingsText(const std::string& name, const std::string& store, const std::string& seedPeer, const std::string& shutdown, unsigned trafficThreads)
    {
        return R"({ "name": ")" + name + R"(", "failureDomain": "north-1", // comments are allowed
            "callerAddress": "127.0.0.1:0", "adminAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
            "storeAddress": ")"
            + store + R"(", "peers": [)" + (seedPeer.empty() ? "" : '"' + seedPeer + '"') + R"(], "trafficThreads": )" + std::to_string(trafficThreads) + R"(, "shutdown": { )" + shutdown + " } }";
    }

    static std::string textAfter(const std::string& log, const std::string& mark)
    {
        const std::size_t begin = log.find(mark) + mark.size();
        return log.substr(begin, log.find_first_of(",\n", begin) - begin);
    }

    TemporaryFile settings;

public:
    Process process;
};

}

// Guards against faulty settings that are accepted in part, and against reports of only one fault at a time.
TEST_CASE("serve reports all faults of its settings and ends with exit code 2", "[serve]")
{
    TemporaryFile settings(R"({ "name": "vm 1", "trafficThreads": 0, "colour": "red", "log": { "level": "loud" } })");
    Process process({ "serve", "--settings", settings.path() });
    const std::string output = process.readAll();
    CHECK(process.wait() == badSettingsExitCode);
    for (const char* part : { "name: must be", "trafficThreads: must be a whole number from 1 to 64", "colour: unknown key", "log.level: must be one of debug", "callerAddress: is missing" })
        CHECK_THAT(output, Catch::Contains(part));
}

// Guards against a shutdown that cuts off a long answer in flight, and against a shutdown that cannot be forced: a
// second SIGTERM must end a process that waits for a request of 15 s.
TEST_CASE("SIGTERM drains and exits with 0, a second one ends at once", "[serve]")
{
    VmFixture fixture;
    ServeProcess vm("vm-1", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(vm.callers);
    RawClient client(vm.callers);
    client.send(get("/archives/1", "X-Work-Id: a\r\nX-Work-Us: 1000000\r\nX-Work-Bytes: 3000000\r\n"));
    std::this_thread::sleep_for(100ms);
    vm.process.signal(SIGTERM);
    const RawAnswer answer = client.receive();
    CHECK(answer.isComplete);
    CHECK(answer.body.size() == 3'000'000);
    CHECK(vm.process.wait() == 0);

    ServeProcess other("vm-2", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(other.callers);
    RawClient held(other.callers);
    held.send(get("/archives/2", "X-Work-Us: 15000000\r\n"));
    std::this_thread::sleep_for(100ms);
    other.process.signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    const auto start = std::chrono::steady_clock::now();
    other.process.signal(SIGTERM);
    CHECK(other.process.wait() == 1);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
}

// Guards against look-ups that still return a killed or frozen entry VM, and against a frozen one that is not returned
// again after it continues.
TEST_CASE("look-ups drop killed and frozen entry VMs, and return one that continues", "[serve]")
{
    VmFixture fixture;
    ServeProcess first("vm-1", fixture.store.endpoint(), "");
    ServeProcess second("vm-2", fixture.store.endpoint(), first.peers);
    ServeProcess third("vm-3", fixture.store.endpoint(), first.peers);
    VmFixture::waitForLookup(first.callers);
    CHECK(timeUntil([&] { return first.lookupReturns(second.callers) && first.lookupReturns(third.callers); }, 10s) < 10s);
    second.process.signal(SIGKILL);
    third.process.signal(SIGSTOP);
    CHECK(timeUntil([&] { return !first.lookupReturns(second.callers) && !first.lookupReturns(third.callers); }, 15s) < 15s);
    third.process.signal(SIGCONT);
    CHECK(timeUntil([&] { return first.lookupReturns(third.callers) && third.lookupReturns(third.callers); }, 15s) < 15s);
}

// Guards against a new VM that cannot start without the store: it must get the declarations from its peers. Also guards
// against a target that reverts to an older version when the store is restored from an old copy.
TEST_CASE("a VM replaced while the store is down serves within 3 s, and no target reverts", "[serve]")
{
    VmFixture fixture;
    ServeProcess first("vm-1", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(first.callers);
    fixture.store.keepCopy();
    const std::string content = R"({"class":"stock","latencyMs":77,"headroomPercent":0,"shiftCapPercentPerMinute":100})";
    const auto current = fixture.store.list("target");
    std::uint64_t version = 0;
    for (const auto& stored : current)
        version = stored.object.name == "stock" ? stored.object.version.version : version;
    const std::uint64_t revision = ++fixture.revision;
    fixture.store.put({ .kind = "target", .name = "stock", .version = { .revision = revision, .version = 0 }, .deleted = false, .content = content }, version);
    const auto inForce = [&](const ServeProcess& vm) {
        const boost::json::value dump = vm.dump();
        return dump.at("configurationRevision").to_number<std::uint64_t>() == revision;
    };
    CHECK(timeUntil([&] { return inForce(first); }, 5s) < 5s);

    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = true; });
    const auto start = std::chrono::steady_clock::now();
    ServeProcess second("vm-2", fixture.store.endpoint(), first.peers);
    CHECK(VmFixture::waitForLookup(second.callers).status() == 200);
    CHECK(RawClient(second.callers).ask(get("/stock/1", "X-Work-Id: s\r\n")).status() == 200);
    CHECK(std::chrono::steady_clock::now() - start < 3s);
    CHECK(inForce(second));

    fixture.store.restoreCopy();
    fixture.store.changeFaults([](platform::StoreFaults& faults) { faults.refusesCalls = false; });
    std::this_thread::sleep_for(2s);
    CHECK(inForce(first));
    CHECK(inForce(second));
}

// Guards against a non-idempotent request that runs twice: its entry VM is killed after the request was sent to a
// backend server, and the caller repeats it at another entry VM and at the restarted one.
TEST_CASE("an order whose entry VM is killed is not run again elsewhere", "[serve]")
{
    VmFixture fixture;
    ServeProcess first("vm-1", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(first.callers, "order");
    ServeProcess second("vm-2", fixture.store.endpoint(), first.peers);
    VmFixture::waitForLookup(second.callers, "order");
    const RawAnswer lookup = RawClient(first.callers).ask(get("/v1/entry?class=order"));
    const std::string key(boost::json::parse(lookup.body).at("requestKey").as_string());
    const std::string keyed = post("/orders/1", "bell", "X-Work-Id: order-1\r\nX-Work-Us: 500000\r\nX-Request-Key: " + key + "\r\n");
    RawClient client(first.callers);
    client.send(keyed);
    CHECK(timeUntil([&] { return fixture.runs->runs("order-1") == 1; }, 5s) < 5s);
    first.process.signal(SIGKILL);
    first.process.wait();
    CHECK(client.receive().status() == 0);
    const RawAnswer repeated = RawClient(second.callers).ask(keyed);
    CHECK(repeated.field("X-Cranberryshed-Run") == "may-have-run");
    ServeProcess restarted("vm-1", fixture.store.endpoint(), second.peers);
    VmFixture::waitForLookup(restarted.callers, "order");
    CHECK(RawClient(restarted.callers).ask(keyed).field("X-Cranberryshed-Run") == "may-have-run");
    CHECK(fixture.runs->runs("order-1") == 1);
}

// Guards against work for callers that have left: an entry VM that was paused or overloaded reads a request and the end
// of its connection at the same time, and would send the request on an open connection before it notices the end.
TEST_CASE("a request whose caller left before it was read is not sent on", "[serve]")
{
    VmFixture fixture(1);
    const ServeProcess vm("vm-1", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(vm.callers);
    CHECK(RawClient(vm.callers).ask(get("/stock/1", "X-Work-Id: warm-up\r\n")).status() == 200); // leaves an idle connection
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 5; ++i) {
        clients.push_back(std::make_unique<RawClient>(vm.callers));
        CHECK(clients.back()->ask(get("/stock/1", "X-Work-Id: warm-up\r\n")).status() == 200);
    }
    vm.process.stop();
    for (const std::unique_ptr<RawClient>& client : clients)
        client->send(get("/stock/1", "X-Work-Id: left\r\n"));
    clients.clear();
    vm.process.signal(SIGCONT);
    CHECK(RawClient(vm.callers).ask(get("/stock/1", "X-Work-Id: later\r\n")).status() == 200);
    std::this_thread::sleep_for(200ms);
    CHECK(fixture.runs->runs("left") == 0);
    CHECK(fixture.runs->runs("later") == 1);
}

// Guards against a planned stop that cuts off requests which have just begun to arrive: no answer is due yet when the
// process decides to end.
TEST_CASE("SIGTERM waits for requests that have begun to arrive", "[serve]")
{
    VmFixture fixture;
    ServeProcess vm("vm-1", fixture.store.endpoint(), "");
    VmFixture::waitForLookup(vm.callers);
    RawClient halfHeader(vm.callers);
    RawClient halfBody(vm.callers);
    halfHeader.send("GET /stock/1 HTTP/1.1\r\nHost: test\r\n");
    halfBody.send("PUT /uploads/1 HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nhal");
    std::this_thread::sleep_for(100ms);
    vm.process.signal(SIGTERM);
    std::this_thread::sleep_for(900ms); // the process has stopped accepting requests by then
    halfHeader.send("\r\n");
    halfBody.send("ves");
    const RawAnswer get = halfHeader.receive();
    const RawAnswer put = halfBody.receive();
    CHECK((get.status() == 200 || get.status() == 503));
    CHECK(get.isComplete);
    CHECK((put.status() == 200 || put.status() == 503));
    CHECK(put.isComplete);
    CHECK(vm.process.wait() == 0);
}

// Guards against a planned stop that closes the connection of a request without an answer, because its server is silent
// until the process has to end.
TEST_CASE("requests without an answer get an error before the process ends", "[serve]")
{
    VmFixture fixture;
    ServeProcess vm("vm-1", fixture.store.endpoint(), "", R"("within": "2s")");
    VmFixture::waitForLookup(vm.callers);
    RawClient client(vm.callers);
    client.send(get("/stock/1", "X-Work-Us: 15000000\r\n"));
    std::this_thread::sleep_for(100ms);
    const auto start = std::chrono::steady_clock::now();
    vm.process.signal(SIGTERM);
    const RawAnswer answer = client.receive();
    CHECK(answer.status() == 504);
    CHECK(answer.isComplete);
    CHECK(vm.process.wait() == 0);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
}

// Guards against requests that are taken late in a planned stop and broken off at its end. The class's deadline is 20 s:
// a request that can still run when the process has to end is refused as not run, one that ends in time is served.
TEST_CASE("a planned stop takes only requests that end before the process does", "[serve]")
{
    VmFixture fixture(1);
    ServeProcess vm("vm-1", fixture.store.endpoint(), "", R"("within": "4s")");
    VmFixture::waitForLookup(vm.callers, "order");
    const std::string key(boost::json::parse(RawClient(vm.callers).ask(get("/v1/entry?class=order")).body).at("requestKey").as_string());
    vm.process.signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    RawClient late(vm.callers);
    const RawAnswer refused = late.ask(post("/orders/1", "bell", "X-Work-Id: late\r\nX-Work-Us: 6000000\r\nX-Request-Key: " + key + "\r\n"));
    CHECK(refused.status() == 503);
    CHECK(refused.field("X-Cranberryshed-Run") == "not-run");
    CHECK(fixture.runs->runs("late") == 0);
    CHECK(RawClient(vm.callers).ask(get("/stock/1", "X-Work-Id: short\r\nX-Work-Us: 300000\r\nX-Deadline-Ms: 1500\r\n")).status() == 200);
    CHECK(vm.process.wait() == 0);
}

// Guards against traffic threads that are drained one after the other: the last one would end later than the process is
// killed, and its requests would get no answer.
TEST_CASE("a planned stop drains all traffic threads at the same time", "[serve]")
{
    VmFixture fixture;
    ServeProcess vm("vm-1", fixture.store.endpoint(), "", R"("within": "2s")", 2);
    VmFixture::waitForLookup(vm.callers);
    std::vector<std::unique_ptr<RawClient>> clients; // the kernel distributes them over both threads
    for (int i = 0; i < 12; ++i) {
        clients.push_back(std::make_unique<RawClient>(vm.callers));
        clients.back()->send(get("/stock/1", "X-Work-Us: 15000000\r\n"));
    }
    std::this_thread::sleep_for(100ms);
    const auto start = std::chrono::steady_clock::now();
    vm.process.signal(SIGTERM);
    for (const std::unique_ptr<RawClient>& client : clients)
        CHECK(client->receive().isComplete);
    CHECK(vm.process.wait() == 0);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
}
