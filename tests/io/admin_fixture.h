#pragma once

#include "admin/operator_commands.h"
#include "declare/text_formats.h"
#include "platform/store_standin.h"

#include <atomic>
#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <list>
#include <sstream>
#include <thread>

namespace cranberryshed::tests {

// Stand-in of a member's admin address: answers every request as if it were GET /v1/dump, until the io_context stops.
class DumpServer {
public:
    DumpServer(boost::asio::io_context& context, std::uint64_t firstRevision)
        : revision(firstRevision)
        , acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
    {
        boost::asio::co_spawn(context, this->serve(), boost::asio::detached);
    }

    const std::string& endpoint() const { return this->address; }

    std::atomic<std::uint64_t> revision;

private:
    boost::asio::awaitable<void> serve()
    {
        while (true) {
            boost::asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            std::array<char, 4096> request {};
            co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
            std::string body = R"({"configurationRevision":)" + std::to_string(this->revision) + '}';
            std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            co_await boost::asio::async_write(socket, boost::asio::buffer(response), boost::asio::use_awaitable);
        }
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::string address;
};

// A stand-in of the store and a temporary directory of declarations. The stand-in has its own thread, because commands
// block the thread of the test.
struct AdminFixture {
    AdminFixture()
        : standIn(this->context)
        , thread([this] { this->context.run(); })
    {
        std::random_device device;
        this->directory = std::filesystem::temp_directory_path() / ("cranberryshed-test-" + std::to_string(device()));
        std::filesystem::create_directory(this->directory);
    }

    ~AdminFixture()
    {
        this->standIn.stop();
        this->work.reset();
        this->context.stop();
        this->thread.join();
        std::filesystem::remove_all(this->directory);
    }

    AdminFixture(const AdminFixture&) = delete;
    AdminFixture& operator=(const AdminFixture&) = delete;

    void writeFile(const std::string& name, const std::string& text) const
    {
        std::ofstream(this->directory / name) << text;
    }

    admin::Options options() const
    {
        return {
            .paths = { this->directory.string() },
            .storeAddress = this->standIn.endpoint(),
            .memberAddresses = {},
            .output = admin::OutputFormat::Text,
            .now = *declare::parseTime("2026-12-04T12:00:00Z"),
            .storeTimeout = std::chrono::milliseconds(600),
            .waitTimeout = std::chrono::milliseconds(500),
            .revision = {},
            .kind = {},
            .name = {},
            .writer = "operator-1",
        };
    }

    // Starts a stand-in of a member that has the given revision in force.
    DumpServer& addMember(std::uint64_t revision)
    {
        return this->members.emplace_back(this->context, revision);
    }

    // Runs a command and returns its output. The exit code is in `code`.
    std::string run(int (*command)(const admin::Options&, std::ostream&), const admin::Options& commandOptions)
    {
        std::ostringstream output;
        this->code = command(commandOptions, output);
        return output.str();
    }

    int code = 0;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = boost::asio::make_work_guard(this->context);
    platform::StoreStandIn standIn;
    std::list<DumpServer> members;
    std::thread thread;
    std::filesystem::path directory;
};

// Writes valid declarations to files: a region, a failure domain, a class with its target, and two batches.
inline void writeDeclarations(const AdminFixture& fixture, const std::string& headroom = "30")
{
    fixture.writeFile("a.json", R"([
    { "kind": "region", "name": "jyl" }, // no links
    { "kind": "domain", "name": "jyl-1", "region": "jyl", "delayMs": 5 },
    { "kind": "class", "name": "stock-lookup", "service": "ledger", "methods": [ "GET" ], "pathPrefix": "/stock/",
        "repeat": "idempotent", "length": "short", "deadlineMs": 2000 },
    { "kind": "batch", "name": "ledger-2024", "service": "ledger", "contractEnd": "2027-03-31T22:00:00Z", "replacement": "ledger-2027" },
    { "kind": "batch", "name": "ledger-2027", "service": "ledger", "contractEnd": "2030-03-31T22:00:00Z" }
])");
    fixture.writeFile("b.json", R"({ "kind": "target", "name": "stock-lookup", "class": "stock-lookup", "latencyMs": 150, "headroomPercent": )" + headroom + R"(, "shiftCapPercentPerMinute": 2 })");
}

}
