#pragma once

#include "platform/platform_setup.h"
#include "platform/store_standin.h"
#include "vm_fixture.h"
#include "wire/header.h"

#include <boost/json.hpp>
#include <functional>

namespace cranberryshed::test {

// A backend server with the HTTP conventions of the users' platform. Its faults can be changed while it runs.
class PlatformServer {
public:
    PlatformServer(asio::io_context& owner, std::string instance)
        : name(std::move(instance))
        , context(owner)
        , acceptor(owner, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(owner, this->accept(), asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    // How many requests have arrived here, whether or not they were run.
    unsigned arrivalCount() const { return this->arrivals; }

    // How many times the request with this id has run here.
    unsigned runCount(const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        return this->runCountById[request];
    }

    unsigned totalRunCount()
    {
        const std::scoped_lock lock(this->mutex);
        unsigned sum = 0;
        for (const auto& [request, count] : this->runCountById)
            sum += count;
        return sum;
    }

    // The body of the request with this id, as it arrived here.
    std::string receivedBody(const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        return this->bodyById[request];
    }

    const std::string name;
    std::string domain = "north-1"; // the failure domain that its entry states
    std::atomic<bool> dropsAnswers = false; // runs a request, then closes the connection without an answer
    std::atomic<bool> refusesRequests = false; // answers 503 with Not-Executed and doesn't run the request
    std::atomic<bool> asksForPause = false; // adds "Retry-After: 0.9" to refusals
    std::atomic<bool> announcesLeaving = false; // adds Server-Leaving to each answer
    std::function<void(const std::string& request)> onArrival {}; // set before the first request; called on the server's thread
    // Refuses this many requests. Each refusal is written once more when the next request arrives on its connection.
    std::atomic<int> repeatedRefusals = 0;

private:
    using Request = wire::http::request<wire::http::string_body>;
    using Response = wire::http::response<wire::http::string_body>;

    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        std::optional<Response> lateCopy;
        for (boost::system::error_code error; !error;) {
            Request request;
            co_await wire::http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            if (lateCopy)
                co_await wire::http::async_write(socket, *lateCopy, asio::redirect_error(asio::use_awaitable, error));
            lateCopy.reset();
            const bool refusesAndRepeats = this->repeatedRefusals > 0 && this->repeatedRefusals-- > 0;
            Response response = this->answer(request, refusesAndRepeats);
            if (this->dropsAnswers)
                co_return;
            response.prepare_payload();
            co_await wire::http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
            if (refusesAndRepeats)
                lateCopy = response;
        }
    }

    Response answer(const Request& request, bool refuses)
    {
        const std::string id(request["Request-Id"]);
        Response response(wire::http::status::ok, 11);
        response.set("Request-Id", id);
        response.set("Server-Load", "1,0,3");
        ++this->arrivals;
        if (this->onArrival)
            this->onArrival(id);
        if (this->announcesLeaving)
            response.set("Server-Leaving", "1");
        if (request["Expect-Instance"] != this->name)
            response.result(wire::http::status::misdirected_request);
        else if (this->refusesRequests || refuses) {
            response.result(wire::http::status::service_unavailable);
            response.set("Not-Executed", "1");
            if (this->asksForPause)
                response.set("Retry-After", "0.9");
        } else {
            const std::scoped_lock lock(this->mutex);
            ++this->runCountById[id];
            this->bodyById[id] = request.body();
            response.set("Server-Stamp", "stamp of " + this->name);
            response.body() = "answer of " + this->name + " to " + std::string(request.target());
        }
        return response;
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<unsigned> arrivals = 0;
    std::mutex mutex;
    std::map<std::string, unsigned> runCountById;
    std::map<std::string, std::string> bodyById;
};

// The platform's store and backend servers in this process, and entry VMs with the platform's setup. The configuration
// has two routes of one service: /read/ (safe) and /write/ (unsafe).
class PlatformFixture {
public:
    explicit PlatformFixture(unsigned serverCount = 2)
        : store(this->context)
    {
        spdlog::set_level(spdlog::level::off);
        for (unsigned i = 1; i <= serverCount; ++i) {
            this->servers.push_back(std::make_unique<PlatformServer>(this->context, "i-" + std::to_string(i)));
            this->writeServerEntry(*this->servers.back(), "ready");
        }
        this->writeConfiguration(1, "/write/");
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~PlatformFixture()
    {
        this->vms.clear();
        this->workGuard.reset();
        this->context.stop();
        this->thread.join();
    }

    // The addresses of one entry VM.
    struct Addresses {
        std::string callers;
        std::string lookups;
        std::string readiness;
    };

    // Starts an entry VM on free ports and returns its addresses.
    const Addresses& startVm(const std::string& name)
    {
        app::EntryVmOptions options;
        options.name = name;
        options.domain = "north-1";
        options.domains = { { "north-1", "north" } };
        options.callerAddress = this->freeAddress();
        options.lookupAddress = this->freeAddress();
        options.readinessAddress = this->freeAddress();
        options.storeAddress = this->store.endpoint();
        options.retryShare = 0.2;
        options.retrySlack = 50;
        options.acceptTimeWhileLeaving = std::chrono::milliseconds(200);
        this->addresses.push_back({ .callers = options.callerAddress, .lookups = options.lookupAddress, .readiness = options.readinessAddress });
        this->vms.push_back(std::make_unique<platform::PlatformEntryVm>(options));
        this->vms.back()->start();
        return this->addresses.back();
    }

    void writeServerEntry(const PlatformServer& server, const std::string& state) { this->writeServerEntry(server.name, server.address(), state, {}, server.domain); }

    void writeServerEntry(const std::string& name, const std::string& address, const std::string& state, std::chrono::milliseconds coldLeft = {}, const std::string& domain = "north-1")
    {
        this->write("servers", name, R"({"address":")" + address + R"(","born":1776390940126,"info":{"service":"ledger","version":"v1","zone":")" + domain + R"(","slots":3},"status":{"state":")" + state + R"(","sequence":)" + std::to_string(++this->lastSequence) + R"(,"cold_left":")" + std::to_string(coldLeft.count()) + R"(ms"}})");
    }

    void removeServerEntry(const std::string& name) { this->write("servers", name, std::nullopt); }

    // Writes a configuration to the store whose unsafe route has the path prefix `writePath`.
    void writeConfiguration(unsigned version, const std::string& writePath)
    {
        const auto route = [](const std::string& name, const std::string& path, const std::string& type) {
            return R"({"resource_kind":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":"test","path_prefix":")" + path + R"(","route_type":")" + type + R"(","timeout":"2s","target_latency":"400ms","priority":1,"service":"ledger","max_attempts":3,"session_affinity":true}},)";
        };
        this->write("config", "main", R"({"version":"r)" + std::to_string(version) + R"(","resources":[)" + route("read", "/read/", "safe") + route("write", writePath, "unsafe") + R"({"resource_kind":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":330,"cold_start":"3s","cold_per_s":6.3}},
            {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"}}]})");
    }

    // Asks VMs to send no more requests to a failure domain, or takes that back.
    void setEvacuated(const std::string& domain, bool evacuated) { this->write("evacuations", domain, evacuated ? std::optional<std::string>("{}") : std::nullopt); }

    // Writes the last state of each object once more, as its writers do after the store has come back from an old copy.
    void writeAgain()
    {
        const std::scoped_lock lock(this->writing);
        for (const auto& [key, spec] : this->lastStates)
            this->apply(key, spec);
    }

    static bool isReady(const Addresses& vm) { return RawClient(vm.readiness).ask(get("/api/ready")).status() == 200; }

    static std::string requestFields(const std::string& request) { return "Request-Id: " + request + "\r\nDeadline-Ms: 2000\r\nAffinity-Key: 17\r\n"; }

    unsigned runCount(const std::string& request)
    {
        unsigned sum = 0;
        for (const std::unique_ptr<PlatformServer>& server : this->servers)
            sum += server->runCount(request);
        return sum;
    }

    // Returns an unused port. It is below the kernel's range of ephemeral ports: an outgoing connection could take one
    // of those before the entry VM binds it. Letting the kernel choose the port is not possible, because entry VMs on
    // the platform get fixed ports from their settings.
    std::string freeAddress()
    {
        constexpr std::uint16_t firstPort = 20000;
        constexpr std::uint16_t portCount = 10000;
        // Test processes that run at the same time have similar ids. The sockets for callers are opened with SO_REUSEPORT,
        // so a port that two of them choose would mix up their requests without an error.
        constexpr unsigned portsPerProcess = 97;
        static std::atomic<std::uint16_t> next = static_cast<std::uint16_t>(static_cast<unsigned>(::getpid()) * portsPerProcess % portCount);
        for (;;) {
            const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), firstPort + next++ % portCount);
            asio::ip::tcp::acceptor probe(this->context, endpoint.protocol());
            probe.set_option(asio::socket_base::reuse_address(true));
            boost::system::error_code error;
            probe.bind(endpoint, error);
            if (!error)
                return "127.0.0.1:" + std::to_string(endpoint.port());
        }
    }

    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(this->context);
    platform::StoreStandIn store;
    std::vector<std::unique_ptr<PlatformServer>> servers;
    std::vector<std::unique_ptr<platform::PlatformEntryVm>> vms;
    std::deque<Addresses> addresses;

private:
    using ObjectKey = std::pair<std::string, std::string>; // kind and name

    // Writes an object as operators and backend servers do. Without `spec` it is removed.
    void write(const std::string& kind, const std::string& name, std::optional<std::string> spec)
    {
        const std::scoped_lock lock(this->writing);
        const ObjectKey key { kind, name };
        this->apply(key, spec);
        this->lastStates[key] = std::move(spec);
    }

    void apply(const ObjectKey& key, const std::optional<std::string>& spec)
    {
        if (spec)
            this->store.createOrReplace(key.first, key.second, *spec);
        else
            this->store.remove(key.first, key.second);
    }

    std::mutex writing; // keeps `lastStates` and the store in step
    std::map<ObjectKey, std::optional<std::string>> lastStates; // empty: removed
    std::atomic<unsigned> lastSequence = 0; // of a server entry; without it, writing an entry again would change nothing
    std::thread thread;
};

}
