// Callers that leave while their requests wait, run or are answered, by what reaches the servers.

#include "leaving_caller.h"
#include "vm_process.h"
#include "working_server.h"

#include <catch2/catch.hpp>
#include <list>

using namespace cranberryshed;
using namespace cranberryshed::test;
using namespace std::chrono_literals;

namespace {

using Clock = WorkingServer::Clock;

constexpr auto noticeTime = 500ms; // after the caller has left, no server may work for it
constexpr auto beforeLeaving = 300ms;

// The body of a request.
enum class Body : std::uint8_t { None,
    Short,
    Long, // more than an entry VM keeps for a second attempt
    LongChunked,
    LongArriving, // of which a part has not been sent
    LongChunkedArriving,
    Huge }; // more than fits into the buffers of a connection

// What follows a request on its connection.
enum class Further : std::uint8_t { Nothing,
    Begin, // of the next request
    Whole, // next request
    Many }; // next requests

}

template <>
struct core::Names<Body> {
    static constexpr std::array<std::string_view, 7> values = { "no body", "short body", "long body", "long body in chunks", "long body that is still arriving", "long body in chunks that is still arriving", "huge body" };
};
template <>
struct core::Names<Further> {
    static constexpr std::array<std::string_view, 4> values = { "nothing further", "the begin of a next request", "a whole next request", "many next requests" };
};

namespace {

struct Combination {
    Body body = Body::None;
    Further further = Further::Nothing;
    Leave leave = Leave::Close;
};

std::string describe(const Combination& combination)
{
    return std::string(core::nameOf(combination.body)) + ", " + std::string(core::nameOf(combination.further)) + ", " + std::string(core::nameOf(combination.leave));
}

// All values of the enumeration.
template <core::NamedEnum Enum>
std::vector<Enum> all()
{
    std::vector<Enum> values(core::enumeratorCount<Enum>());
    for (std::size_t i = 0; i < values.size(); ++i)
        values[i] = static_cast<Enum>(i);
    return values;
}

std::vector<Combination> cross(const std::vector<Body>& bodies, const std::vector<Further>& furthers)
{
    std::vector<Combination> combinations;
    for (const Body body : bodies) {
        for (const Further further : furthers) {
            for (const Leave leave : all<Leave>())
                combinations.push_back({ .body = body, .further = further, .leave = leave });
        }
    }
    return combinations;
}

std::string requestText(const std::string& method, const std::string& target, const std::string& id, const std::string& fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: test\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\n" + fields + "\r\n";
}

std::string chunk(std::size_t size)
{
    std::array<char, 20> head {};
    std::snprintf(head.data(), head.size(), "%zx\r\n", size);
    return head.data() + std::string(size, 'b') + "\r\n";
}

// Method, target and body of a request.
std::string requestWithBody(Body body, const std::string& target, const std::string& id)
{
    constexpr std::size_t longSize = 100'000;
    const auto withLength = [&](std::size_t stated, std::size_t sent) { return requestText("PUT", target, id, "Content-Length: " + std::to_string(stated) + "\r\n") + std::string(sent, 'b'); };
    std::string inChunks = requestText("PUT", target, id, "Transfer-Encoding: chunked\r\n") + chunk(longSize / 2) + chunk(longSize / 2);
    switch (body) {
    case Body::None:
        break;
    case Body::Short:
        return withLength(5000, 5000);
    case Body::Long:
        return withLength(longSize, longSize);
    case Body::LongChunked:
        return inChunks + "0\r\n\r\n";
    case Body::LongArriving:
        return withLength(longSize + 50'000, longSize);
    case Body::LongChunkedArriving:
        return inChunks;
    case Body::Huge:
        return withLength(900'000, 900'000);
    }
    return requestText("GET", target, id, "");
}

bool isArriving(Body body) { return body == Body::LongArriving || body == Body::LongChunkedArriving; }

std::string furtherBytes(Further further, const std::string& target, const std::string& id)
{
    std::string bytes;
    switch (further) {
    case Further::Nothing:
        break;
    case Further::Begin:
        return "GET /read/begin HTTP/1.1\r\nHost: te";
    case Further::Whole:
        return requestText("GET", target, id, "");
    case Further::Many:
        for (int i = 0; i < 300; ++i)
            bytes += requestText("GET", target, id, "");
        break;
    }
    return bytes;
}

// A caller with its combination.
struct Case {
    Combination combination;
    std::string id;
    std::unique_ptr<LeavingCaller> caller {};

    std::string nextId() const { return this->id + "-next"; }
};

// Servers behind an entry VM with the platform's interface. Their work on a request depends on its target.
class PlatformSide {
public:
    explicit PlatformSide(unsigned serverCount)
        : fixture(0)
    {
        for (unsigned i = 1; i <= serverCount; ++i)
            this->addServer("i-" + std::to_string(i));
        this->callers = this->fixture.startVm("front-1").callers;
        REQUIRE(timeUntil([&] { return RawClient(this->callers).ask(requestText("GET", "/read/quick", "start", "")).status() == 200; }, 5s) < 5s);
    }

    void addServer(const std::string& name)
    {
        this->servers.push_back(WorkingServer::start(this->fixture.context, WorkingServer::Options { .name = name, .plan = plan }));
        this->fixture.writeServerEntry(name, this->servers.back()->address, "ready");
    }

    static std::string target(const std::string& name) { return "/read/" + name; }

    static Work plan(const WorkingServer::Request& request)
    {
        const std::string target(request.target());
        if (target.ends_with("quick"))
            return { .time = 1ms };
        if (target.ends_with("filler"))
            return { .time = 800ms };
        if (target.ends_with("short-answer"))
            return { .time = 50ms, .answerBytes = 200'000, .answerTime = 3s };
        if (target.ends_with("long-answer"))
            return { .time = 50ms, .answerBytes = 8'000'000, .answerTime = 3s };
        return { .time = 3s };
    }

    PlatformFixture fixture;
    std::vector<std::shared_ptr<WorkingServer>> servers;
    std::string callers; // "IP:port"
};

// The same with the native interface.
class NativeSide {
public:
    explicit NativeSide(unsigned serverCount)
        : fixture(0)
    {
        std::vector<core::ServerListing> listed;
        for (unsigned i = 1; i <= serverCount; ++i) {
            const std::string name = "i-" + std::to_string(i);
            this->servers.push_back(WorkingServer::start(this->fixture.context, WorkingServer::Options { .name = name, .plan = plan, .isNative = true }));
            listed.push_back({ .name = name, .address = this->servers.back()->address, .service = "shop", .batch = "first", .domain = "north-1" });
        }
        this->fixture.declareClass("reads", "GET", "/read/", "idempotent", "short");
        this->fixture.declareClass("puts", "PUT", "/read/", "idempotent", "short");
        this->fixture.store.setServers(listed);
        this->callers = this->fixture.startVm(this->fixture.vmOptions("vm-1")).callerAddress();
        REQUIRE(timeUntil([&] { return RawClient(this->callers).ask(requestText("GET", "/read/quick", "start", "")).status() == 200; }, 10s) < 10s);
    }

    static std::string target(const std::string& name) { return "/read/" + name; }
    static Work plan(const WorkingServer::Request& request) { return request.target() == "/health" ? Work { .time = 1ms } : PlatformSide::plan(request); }

    VmFixture fixture;
    std::vector<std::shared_ptr<WorkingServer>> servers;
    std::string callers; // "IP:port"
};

// The runs of a request at all servers.
template <typename Side>
std::vector<WorkingServer::Run> runsOf(Side& side, const std::string& id)
{
    std::vector<WorkingServer::Run> result;
    for (const std::shared_ptr<WorkingServer>& server : side.servers) {
        for (const WorkingServer::Run& run : server->runs()) {
            if (run.request == id)
                result.push_back(run);
        }
    }
    return result;
}

template <typename Side>
std::list<Case> start(Side& side, const std::vector<Combination>& combinations, const std::string& target)
{
    static unsigned lastId = 0;
    std::list<Case> cases;
    for (const Combination& combination : combinations) {
        Case& started = cases.emplace_back(Case { .combination = combination, .id = "c-" + std::to_string(++lastId) });
        const std::string bytes = requestWithBody(combination.body, Side::target(target), started.id) + (isArriving(combination.body) ? std::string() : furtherBytes(combination.further, Side::target(target), started.nextId()));
        started.caller = std::make_unique<LeavingCaller>(side.callers, bytes, combination.leave);
    }
    return cases;
}

void leaveAll(std::list<Case>& cases)
{
    for (Case& leaving : cases)
        leaving.caller->leave();
}

// All callers leave while a server works for each of them. Returns the cases in which one still does after the notice
// time, or began with a next request.
template <typename Side>
std::vector<std::string> leaveWhileRunning(Side& side, const std::vector<Combination>& combinations, const std::string& target)
{
    std::vector<std::string> unnoticed;
    constexpr std::size_t batchSize = 30; // fits the slots of the servers
    for (std::size_t begin = 0; begin < combinations.size(); begin += batchSize) {
        const std::vector<Combination> batch(combinations.begin() + static_cast<std::ptrdiff_t>(begin), combinations.begin() + static_cast<std::ptrdiff_t>(std::min(begin + batchSize, combinations.size())));
        std::list<Case> cases = start(side, batch, target);
        const auto haveBegun = [&] { return std::ranges::all_of(cases, [&](const Case& running) { return runsOf(side, running.id).size() == 1; }); };
        CHECK(timeUntil(haveBegun, 1s) < 1s);
        std::this_thread::sleep_for(beforeLeaving);
        leaveAll(cases);
        std::this_thread::sleep_for(noticeTime);
        for (const Case& left : cases) {
            const bool isAtWork = std::ranges::any_of(runsOf(side, left.id), [](const WorkingServer::Run& run) { return !run.end; });
            if (isAtWork || !runsOf(side, left.nextId()).empty())
                unnoticed.push_back(describe(left.combination));
        }
    }
    return unnoticed;
}

void checkAllNoticed(const std::vector<std::string>& unnoticed, std::size_t count)
{
    std::string text;
    for (const std::string& combination : unnoticed)
        text += "\n  " + combination;
    INFO(unnoticed.size() << " of " << count << " not noticed:" << text);
    CHECK(unnoticed.empty());
}

}

// Guards against servers that work for callers that have left: the end of a connection is not noticed behind bytes that
// wait to be read, or if it is a reset.
TEST_CASE("a caller that leaves while its request runs is noticed", "[caller-left]")
{
    PlatformSide side(12);
    const std::vector<Combination> combinations = cross(all<Body>(), all<Further>());
    checkAllNoticed(leaveWhileRunning(side, combinations, "work"), combinations.size());
}

// Guards against the same on the native interface, which relays answers and long bodies while they arrive.
TEST_CASE("a caller of the native interface that leaves while its request runs is noticed", "[caller-left]")
{
    NativeSide side(12);
    const std::vector<Combination> combinations = cross({ Body::None, Body::Long, Body::LongArriving }, { Further::Nothing, Further::Begin, Further::Whole });
    checkAllNoticed(leaveWhileRunning(side, combinations, "work"), combinations.size());
}

// Guards against servers that go on with an answer to nobody, buffered by the entry VM or relayed while it arrives.
TEST_CASE("a caller that leaves while its answer is under way is noticed", "[caller-left]")
{
    const std::vector<Combination> combinations = cross({ Body::None, Body::Long }, { Further::Nothing, Further::Whole });
    for (const char* target : { "short-answer", "long-answer" }) {
        CAPTURE(target);
        PlatformSide side(12);
        checkAllNoticed(leaveWhileRunning(side, combinations, target), combinations.size());
        NativeSide native(12);
        checkAllNoticed(leaveWhileRunning(native, combinations, target), combinations.size());
    }
}

// Guards against requests that are sent to a server although their callers have left while they waited for a slot.
TEST_CASE("a request whose caller leaves while it waits for a slot is not sent", "[caller-left]")
{
    constexpr std::size_t batchSize = 6; // more would not be expected to get a slot in time, and be refused
    constexpr unsigned slots = 3;
    PlatformSide side(1);
    std::vector<std::string> sent;
    std::size_t waitingCount = 0;
    std::vector<Combination> combinations = cross(all<Body>(), { Further::Nothing, Further::Whole });
    // The entry VM reads only the start of a body whose request waits. Behind more than its connection's buffer, an orderly
    // end doesn't reach it.
    std::erase_if(combinations, [](const Combination& combination) { return combination.body == Body::Huge && combination.leave != Leave::Reset; });
    for (std::size_t begin = 0; begin < combinations.size(); begin += batchSize) {
        std::list<LeavingCaller> fillers;
        for (unsigned i = 0; i < slots; ++i)
            fillers.emplace_back(side.callers, requestText("GET", "/read/filler", "filler-" + std::to_string(begin + i), ""), Leave::Close);
        REQUIRE(timeUntil([&] { return side.servers[0]->arrivals("filler-" + std::to_string(begin + slots - 1)).size() == 1; }, 1s) < 1s);
        const std::vector<Combination> batch(combinations.begin() + static_cast<std::ptrdiff_t>(begin), combinations.begin() + static_cast<std::ptrdiff_t>(std::min(begin + batchSize, combinations.size())));
        std::list<Case> cases = start(side, batch, "work");
        std::this_thread::sleep_for(beforeLeaving);
        for (const Case& waiting : cases)
            CHECK_FALSE(waiting.caller->hasAnswer());
        // One that may be answered in time waits in the server's queue.
        std::erase_if(cases, [&](const Case& waiting) { return !runsOf(side, waiting.id).empty(); });
        waitingCount += cases.size();
        leaveAll(cases);
        std::this_thread::sleep_for(noticeTime + 500ms); // the slots are free again by then
        for (const Case& left : cases) {
            if (!runsOf(side, left.id).empty() || !runsOf(side, left.nextId()).empty())
                sent.push_back(describe(left.combination));
        }
    }
    CHECK(waitingCount + batchSize >= combinations.size());
    checkAllNoticed(sent, combinations.size());
}

// Guards against the same between two attempts: the first one's server doesn't take the connection, and its caller leaves
// before the entry VM has given up on it.
TEST_CASE("a request whose caller leaves between two attempts is not sent again", "[caller-left]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor full(context, { asio::ip::address_v4::loopback(), 0 }, false);
    full.listen(0);
    std::list<asio::ip::tcp::socket> backlog; // fills the acceptor's queue, so that the kernel drops further attempts to connect
    for (int i = 0; i < 4; ++i) {
        backlog.emplace_back(context, asio::ip::tcp::v4());
        backlog.back().async_connect(full.local_endpoint(), [](const boost::system::error_code&) {});
    }
    context.run_for(100ms);
    std::vector<std::string> sent;
    const std::vector<Body> bodies { Body::None, Body::Short, Body::Long };
    for (const Body body : bodies) {
        PlatformSide side(1);
        side.fixture.removeServerEntry("i-1");
        side.fixture.writeServerEntry("i-full", "127.0.0.1:" + std::to_string(full.local_endpoint().port()), "ready");
        REQUIRE(timeUntil([&] { return RawClient(side.callers).ask(requestText("GET", "/read/quick", "wait", "")).status() == 503; }, 5s) < 5s);
        std::list<Case> cases = start(side, cross({ body }, { Further::Whole }), "work"); // as many as the server has slots
        std::this_thread::sleep_for(100ms); // all are being sent to the first server
        side.addServer("i-2");
        std::this_thread::sleep_for(200ms);
        for (const Case& connecting : cases)
            CHECK(runsOf(side, connecting.id).empty());
        leaveAll(cases);
        std::this_thread::sleep_for(noticeTime + 500ms);
        for (const Case& left : cases) {
            if (!runsOf(side, left.id).empty() || !runsOf(side, left.nextId()).empty())
                sent.push_back(describe(left.combination));
        }
        CHECK(RawClient(side.callers).ask(requestText("GET", "/read/quick", "end", "")).status() == 200);
    }
    checkAllNoticed(sent, bodies.size() * core::enumeratorCount<Leave>());
}

// Guards against a caller that is taken for gone because it has sent more than its request.
TEST_CASE("a next request that is there already is answered if its caller is", "[caller-left]")
{
    PlatformSide side(4);
    for (const Body body : { Body::None, Body::Short, Body::Long, Body::LongChunked }) {
        CAPTURE(core::nameOf(body));
        RawClient client(side.callers);
        client.send(requestWithBody(body, "/read/quick", "first") + requestText("GET", "/read/quick", "second", "") + "GET /read/qui");
        CHECK(client.receive().field("Request-Id") == "first");
        CHECK(client.receive().field("Request-Id") == "second");
        client.send("ck HTTP/1.1\r\nHost: test\r\nRequest-Id: third\r\n\r\n");
        CHECK(client.receive().field("Request-Id") == "third");
    }
}

// Guards against non-idempotent work that is broken off when its caller leaves: its outcome would be unknown.
TEST_CASE("a non-idempotent request goes on without its caller", "[caller-left]")
{
    PlatformSide side(2);
    for (const Leave leave : all<Leave>()) {
        CAPTURE(core::nameOf(leave));
        const std::string id = "order-" + std::string(core::nameOf(leave));
        LeavingCaller caller(side.callers, requestText("POST", "/write/filler", id, "Content-Length: 0\r\n"), leave);
        std::this_thread::sleep_for(beforeLeaving);
        caller.leave();
        CHECK(timeUntil([&] { return !runsOf(side, id).empty() && runsOf(side, id).front().isAnswered; }, 2s) < 2s);
    }
}

// Guards against a planned stop that waits for the requests of callers that have left.
TEST_CASE("a caller that leaves while the entry VM stops is noticed", "[caller-left]")
{
    PlatformSide side(2);
    const VmProcess vm(side.fixture, { .name = "front-2", .peerAddress = side.fixture.freeAddress() });
    REQUIRE(timeUntil([&] { return vm.isReady(); }, 5s) < 5s);
    std::list<LeavingCaller> callers;
    for (const Leave leave : all<Leave>())
        callers.emplace_back(vm.callers, requestText("GET", "/read/work", "stop-" + std::string(core::nameOf(leave)), ""), leave);
    std::this_thread::sleep_for(beforeLeaving);
    vm.signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    for (LeavingCaller& caller : callers)
        caller.leave();
    std::this_thread::sleep_for(noticeTime);
    for (const Leave leave : all<Leave>()) {
        CAPTURE(core::nameOf(leave));
        const std::vector<WorkingServer::Run> runs = runsOf(side, "stop-" + std::string(core::nameOf(leave)));
        REQUIRE(runs.size() == 1);
        CHECK(runs.front().end);
    }
}
