#pragma once

#include "vm_fixture.h"
#include "wire/header.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <functional>
#include <mutex>
#include <set>

namespace cranberryshed::test {

// What a WorkingServer does with a request.
struct Work {
    std::chrono::milliseconds time { 50 }; // until the answer
    bool crashes = false; // the server ends when it begins to run the request
    bool crashesInAnswer = false; // the server ends in the middle of the answer
    bool losesAnswer = false; // the connection is closed in place of the answer
    bool refuses = false; // the server answers that it has not run the request
    std::size_t answerBytes = 100;
    std::chrono::milliseconds answerTime {}; // during which the body of the answer is sent in pieces
};

// A backend server whose work takes time. It speaks as on the users' platform; the native interface takes its answers too.
// It drops a request when its connection ends.
//
// Its coroutines keep it alive, so it may outlive its user, but not the context.
class WorkingServer : public std::enable_shared_from_this<WorkingServer> {
public:
    using Request = wire::http::request_header<>;
    using Clock = std::chrono::steady_clock;

    struct Run {
        std::string request;
        std::string target;
        Clock::time_point begin {}; // its header has arrived
        std::optional<Clock::time_point> end {}; // none: still at work
        bool isAnswered = false;
    };

    struct Options {
        std::string name;
        std::function<Work(const Request&)> plan;
        bool isNative = false; // requests of the native interface name no server
    };

    // All calls of `plan` are made on the thread of `owner`.
    static std::shared_ptr<WorkingServer> start(asio::io_context& owner, Options serverOptions)
    {
        std::shared_ptr<WorkingServer> server(new WorkingServer(owner, std::move(serverOptions)));
        asio::co_spawn(owner, server->accept(server), asio::detached);
        return server;
    }

    // Ends the server like a process that is killed: its connections end, and its port refuses new ones.
    void kill()
    {
        asio::post(this->context, [self = this->shared_from_this()] { self->end(); });
    }

    bool hasEnded() const { return this->isEnded; }

    std::vector<Run> runs()
    {
        const std::scoped_lock lock(this->mutex);
        return this->record;
    }

    // When requests with this id arrived, also those that were refused.
    std::vector<Clock::time_point> arrivals(const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        return this->arrivedAt[request];
    }

    const std::string name;

private:
    using Socket = asio::ip::tcp::socket;

    WorkingServer(asio::io_context& owner, Options serverOptions)
        : name(serverOptions.name)
        , plan(std::move(serverOptions.plan))
        , isNative(serverOptions.isNative)
        , context(owner)
        , acceptor(owner, { asio::ip::address_v4::loopback(), 0 })
        , address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
    {
    }

    asio::awaitable<void> accept(std::shared_ptr<WorkingServer> self)
    {
        for (;;) {
            const auto socket = std::make_shared<Socket>(co_await this->acceptor.async_accept(asio::use_awaitable));
            this->sockets.insert(socket);
            asio::co_spawn(this->context, this->serve(self, socket), asio::detached);
        }
    }

    void end()
    {
        boost::system::error_code ignored;
        this->isEnded = true;
        this->acceptor.close(ignored);
        for (const std::shared_ptr<Socket>& socket : this->sockets)
            socket->close(ignored);
    }

    asio::awaitable<void> serve(std::shared_ptr<WorkingServer>, std::shared_ptr<Socket> socket)
    {
        boost::beast::flat_buffer buffer;
        while (co_await this->serveRequest(*socket, buffer)) {
        }
        this->sockets.erase(socket);
    }

    asio::awaitable<bool> serveRequest(Socket& socket, boost::beast::flat_buffer& buffer)
    {
        boost::system::error_code error;
        wire::http::request_parser<wire::http::string_body> parser;
        co_await wire::http::async_read_header(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error || this->isEnded)
            co_return false;
        const Request& request = parser.get().base();
        const std::string id(request["Request-Id"]);
        const bool isMisdirected = !this->isNative && request["Expect-Instance"] != this->name;
        if (!isMisdirected) {
            const std::scoped_lock lock(this->mutex);
            this->arrivedAt[id].push_back(Clock::now());
        }
        const Work work = this->plan(request);
        if (isMisdirected || work.refuses)
            co_return co_await this->write(socket, id, isMisdirected ? "421 Misdirected Request" : "503 Service Unavailable", isMisdirected ? "" : "Not-Executed: 1\r\n", "");
        const std::size_t run = this->begin(id, std::string(request.target()));
        co_await wire::http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (work.crashes)
            this->end();
        else if (!error)
            co_await this->waitUntil(socket, Clock::now() + work.time);
        bool isWritten = false;
        if (isConnected(socket) && !work.losesAnswer)
            isWritten = co_await this->writeAnswer(socket, id, work);
        const std::scoped_lock lock(this->mutex);
        this->record[run].end = Clock::now();
        this->record[run].isAnswered = isWritten;
        co_return isWritten;
    }

    std::size_t begin(const std::string& id, const std::string& target)
    {
        const std::scoped_lock lock(this->mutex);
        this->record.push_back({ .request = id, .target = target, .begin = Clock::now() });
        return this->record.size() - 1;
    }

    // Waits until the time, or until the other side closes the connection.
    asio::awaitable<void> waitUntil(Socket& socket, Clock::time_point time)
    {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(this->context, time);
        boost::system::error_code ignored;
        co_await (timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored)) || socket.async_wait(Socket::wait_read, asio::redirect_error(asio::use_awaitable, ignored)));
    }

    static bool isConnected(Socket& socket)
    {
        char byte = 0;
        return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    asio::awaitable<bool> writeAnswer(Socket& socket, const std::string& id, const Work& work)
    {
        const std::string fields = "Server-Stamp: " + this->name + "\r\n";
        const std::string body(work.answerBytes, 'x');
        if (work.crashesInAnswer) {
            co_await this->write(socket, id, "200 OK", fields, body, body.size() / 2);
            this->end();
            co_return false;
        }
        if (work.answerTime == std::chrono::milliseconds::zero())
            co_return co_await this->write(socket, id, "200 OK", fields, body);
        constexpr std::size_t pieces = 20;
        bool isWritten = co_await this->write(socket, id, "200 OK", fields, body, 0);
        for (std::size_t i = 0; isWritten && i < pieces; ++i) {
            boost::system::error_code error;
            const std::size_t begin = i * body.size() / pieces;
            co_await asio::async_write(socket, asio::buffer(body.data() + begin, (i + 1) * body.size() / pieces - begin), asio::redirect_error(asio::use_awaitable, error));
            co_await this->waitUntil(socket, Clock::now() + work.answerTime / pieces);
            isWritten = !error && isConnected(socket);
        }
        co_return isWritten;
    }

    // Writes an answer, or only its head and the first `sentBytes` of its body.
    asio::awaitable<bool> write(Socket& socket, const std::string& id, const std::string& status, const std::string& fields, const std::string& body, std::size_t sentBytes = std::string::npos)
    {
        const std::string text = "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nServer-Load: 1,0,3\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, sentBytes);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    const std::function<Work(const Request&)> plan;
    const bool isNative;
    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<Socket>> sockets;
    std::atomic<bool> isEnded = false;
    std::mutex mutex;
    std::vector<Run> record;
    std::map<std::string, std::vector<Clock::time_point>> arrivedAt; // by request

public:
    const std::string address; // "IP:port"
};

}
