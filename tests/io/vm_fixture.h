#pragma once

#include "app/entry_vm.h"
#include "app/server_standin.h"
#include "core/errors.h"
#include "platform/store_standin.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace cranberryshed::test {

namespace asio = boost::asio;

// An HTTP answer as received.
struct RawAnswer {
    std::string head; // status line and header fields, without the empty line
    std::string body;
    bool isComplete = false; // the body is as long as the header says

    int status() const { return this->head.size() > 12 ? std::stoi(this->head.substr(9, 3)) : 0; }

    // Returns the value of a header field, or an empty string.
    std::string field(const std::string& name) const
    {
        const std::size_t at = this->head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size() + 4;
        return this->head.substr(begin, this->head.find("\r\n", begin) - begin);
    }
};

// A blocking connection that sends exactly the given bytes and receives answers with a content length.
class RawClient {
public:
    explicit RawClient(const std::string& address)
        : socket(this->context)
    {
        const std::size_t colon = address.rfind(':');
        this->socket.connect({ asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
        const timeval limit { .tv_sec = 20, .tv_usec = 0 };
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    RawAnswer receive()
    {
        RawAnswer answer;
        std::size_t end = std::string::npos;
        while ((end = this->pending.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore())
                return answer;
        }
        answer.head = this->pending.substr(0, end + 2);
        this->pending.erase(0, end + 4);
        const std::string length = answer.field("Content-Length");
        const std::size_t expected = length.empty() ? 0 : std::stoull(length);
        while (this->pending.size() < expected && this->readMore()) {
        }
        answer.isComplete = this->pending.size() >= expected;
        answer.body = this->pending.substr(0, expected);
        this->pending.erase(0, answer.body.size());
        return answer;
    }

    RawAnswer ask(std::string_view bytes)
    {
        this->send(bytes);
        return this->receive();
    }

    // Reads until `mark` or the end of the connection. Returns the received bytes up to and including `mark`.
    std::string readUntil(const std::string& mark)
    {
        while (this->pending.find(mark) == std::string::npos && this->readMore()) {
        }
        const std::size_t found = this->pending.find(mark);
        const std::size_t end = found == std::string::npos ? this->pending.size() : found + mark.size();
        std::string text = this->pending.substr(0, end);
        this->pending.erase(0, end);
        return text;
    }

    // What arrived until the connection ended.
    struct Remainder {
        std::string start; // the first bytes
        std::string end; // the last bytes
        bool wasReset = false; // the connection ended with a reset, not with an orderly close
    };

    // Reads to the end of the connection. Keeps only some bytes, because there can be gigabytes.
    Remainder readToEnd()
    {
        constexpr std::size_t keptBytes = 1024;
        Remainder result;
        while (this->readMore()) {
            if (result.start.size() < keptBytes)
                result.start += this->pending.substr(0, keptBytes);
            result.end = (result.end + this->pending.substr(this->pending.size() - std::min(this->pending.size(), keptBytes)));
            result.end.erase(0, result.end.size() - std::min(result.end.size(), keptBytes));
            this->pending.clear();
        }
        result.wasReset = errno == ECONNRESET;
        return result;
    }

    // Whether the peer has closed the connection without sending more bytes. Blocks until it closes or sends.
    bool closed()
    {
        return this->pending.empty() && !this->readMore();
    }

private:
    bool readMore()
    {
        std::array<char, 65536> chunk;
        errno = 0;
        const ssize_t count = ::recv(this->socket.native_handle(), chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        this->pending.append(chunk.data(), static_cast<std::size_t>(count));
        return true;
    }

    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string pending;
};

inline std::string get(const std::string& target, const std::string& fields = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: test\r\n" + fields + "\r\n";
}

inline std::string post(const std::string& target, const std::string& body, const std::string& fields = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

// Waits until the condition holds, for at most `limit`. Returns the time waited.
template <typename Condition>
std::chrono::milliseconds timeUntil(Condition condition, std::chrono::milliseconds limit)
{
    const auto start = std::chrono::steady_clock::now();
    while (!condition() && std::chrono::steady_clock::now() - start < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

// A platform stand-in, backend servers and entry VMs in this process, with four declared classes: `stock` (GET /stock/,
// idempotent), `order` (POST /orders/, not idempotent), `archive` (GET /archives/, idempotent, long) and `upload`
// (PUT /uploads/, idempotent).
class VmFixture {
public:
    explicit VmFixture(std::uint32_t serverCount = 2)
        : store(this->context)
    {
        spdlog::set_level(spdlog::level::err);
        this->declare("region", "north", R"({"links":[]})");
        this->declare("domain", "north-1", R"({"region":"north","delayMs":1})");
        this->declareClass("stock", "GET", "/stock/", "idempotent", "short");
        this->declareClass("order", "POST", "/orders/", "non-idempotent", "short");
        this->declareClass("archive", "GET", "/archives/", "idempotent", "long");
        this->declareClass("upload", "PUT", "/uploads/", "idempotent", "short");
        for (std::uint32_t i = 0; i < serverCount; ++i)
            this->servers.push_back(std::make_unique<app::ServerStandIn>(this->context, app::ServerStandInOptions { .name = "server-" + std::to_string(i + 1), .runs = this->runs }));
        this->listServers();
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~VmFixture()
    {
        this->vms.clear();
        this->workGuard.reset();
        this->context.stop();
        this->thread.join();
    }

    app::EntryVmOptions vmOptions(const std::string& name) const
    {
        app::EntryVmOptions options;
        options.name = name;
        options.domain = "north-1";
        options.storeAddress = this->store.endpoint();
        options.randomSeed = 1;
        options.acceptTimeWhileLeaving = std::chrono::milliseconds(200);
        options.maxDrainTime = std::chrono::seconds(20);
        if (!this->vms.empty())
            options.seeds = { this->vms.front()->peerAddress() };
        return options;
    }

    app::EntryVm& startVm(const app::EntryVmOptions& options)
    {
        this->vms.push_back(std::make_unique<app::EntryVm>(options));
        this->vms.back()->start();
        return *this->vms.back();
    }

    // Waits until a look-up of the class returns an entry VM, for at most 10 s. Returns the last answer.
    static RawAnswer waitForLookup(const std::string& address, const std::string& className = "stock")
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        for (;;) {
            RawAnswer answer = RawClient(address).ask(get("/v1/entry?class=" + className));
            if ((answer.status() == 200 && answer.body.find("address\":") != std::string::npos) || std::chrono::steady_clock::now() > end)
                return answer;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void declare(const std::string& kind, const std::string& name, const std::string& content)
    {
        core::Object object { .kind = kind, .name = name, .version = { .revision = ++this->revision, .version = 0 }, .deleted = false, .content = content };
        this->store.put(object, 0);
    }

    void declareClass(const std::string& name, const std::string& method, const std::string& path, const std::string& repeat, const std::string& length)
    {
        this->declare("class", name, R"({"service":"shop","methods":[")" + method + R"("],"pathPrefix":")" + path + R"(","repeat":")" + repeat + R"(","length":")" + length + R"(","deadlineMs":20000})");
        this->declare("target", name, R"({"class":")" + name + R"(","latencyMs":100,"headroomPercent":0,"shiftCapPercentPerMinute":100})");
    }

    void listServers()
    {
        std::vector<core::ServerListing> rows;
        rows.reserve(this->servers.size());
        for (const auto& server : this->servers)
            rows.push_back({ .name = server->name(), .address = server->address(), .service = "shop", .batch = "first", .domain = "north-1" });
        this->store.setServers(std::move(rows));
    }

    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(this->context);
    std::shared_ptr<app::RunCounter> runs = std::make_shared<app::RunCounter>();
    platform::StoreStandIn store;
    std::vector<std::unique_ptr<app::ServerStandIn>> servers;
    std::vector<std::unique_ptr<app::EntryVm>> vms;
    std::uint64_t revision = 0;
    std::thread thread;
};

}
