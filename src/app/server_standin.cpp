#include "app/server_standin.h"

#include "net/stream_parser.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/header.h"
#include "wire/text_response.h"

#include <charconv>
#include <deque>
#include <set>

namespace cranberryshed::app {

namespace {

    namespace asio = wire::asio;
    namespace http = wire::http;
    namespace json = wire::json;
    using wire::error_code;
    using wire::Task;
    using wire::useResult;
    using Request = http::request<http::string_body>;

    constexpr std::uint64_t maxRequestBodyBytes = 64ULL << 20;
    constexpr std::size_t writeChunkBytes = 64 * 1024; // written at a time

    std::uint64_t numberField(const Request& request, std::string_view name)
    {
        const std::string_view text = wire::toStd(request[wire::beast::string_view(name.data(), name.size())]);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

}

char answerByte(std::string_view workId, std::uint64_t position)
{
    return workId.empty() ? '.' : workId[position % workId.size()];
}

void RunCounter::add(const std::string& workId)
{
    const std::scoped_lock lock(this->mutex);
    ++this->counts[workId];
}

std::uint64_t RunCounter::runs(const std::string& workId) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->counts.find(workId);
    return found == this->counts.end() ? 0 : found->second;
}

std::uint64_t RunCounter::duplicateCount() const
{
    const std::scoped_lock lock(this->mutex);
    return static_cast<std::uint64_t>(std::ranges::count_if(this->counts, [](const auto& entry) { return entry.second > 1; }));
}

struct ServerStandIn::State : std::enable_shared_from_this<ServerStandIn::State> {
    State(asio::io_context& owner, ServerStandInOptions standInOptions)
        : context(owner)
        , options(std::move(standInOptions))
        , acceptor(owner.get_executor())
    {
    }

    struct Connection {
        explicit Connection(wire::Socket socket)
            : stream(std::move(socket))
        {
        }
        wire::Stream stream;
        wire::beast::flat_buffer buffer;
    };

    void listen(const wire::tcp::endpoint& wanted)
    {
        this->acceptor.open(wanted.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(wanted);
        this->acceptor.listen();
        this->endpoint = this->acceptor.local_endpoint();
        asio::co_spawn(this->context, acceptLoop(this->shared_from_this()), asio::detached);
    }

    static Task<void> acceptLoop(std::shared_ptr<State> self)
    {
        for (;;) {
            wire::Socket socket(self->context.get_executor());
            auto [error] = co_await self->acceptor.async_accept(socket, useResult);
            if (error)
                co_return;
            error_code ignored;
            socket.set_option(wire::tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<Connection>(std::move(socket));
            self->connections.insert(connection);
            asio::co_spawn(self->context, serve(self, connection), asio::detached);
        }
    }

    static Task<void> serve(std::shared_ptr<State> self, std::shared_ptr<Connection> connection)
    {
        for (bool isKeptAlive = true; isKeptAlive;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxRequestBodyBytes);
            error_code error = co_await net::parseHeader(connection->stream, connection->buffer, parser);
            if (!error && wire::beast::iequals(parser.get()[http::field::expect], "100-continue"))
                co_await asio::async_write(connection->stream, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), useResult);
            while (!error && !parser.is_done())
                error = co_await net::parseSome(connection->stream, connection->buffer, parser);
            isKeptAlive = !error && co_await self->answer(*connection, parser.get());
        }
        self->connections.erase(connection);
    }

    Task<bool> answer(Connection& connection, const Request& request)
    {
        if (request.target() == "/health")
            co_return co_await this->write(connection, this->healthResponse());
        if (this->faults.refusesRequests || this->slotWaiters.size() >= this->options.maxQueuedRequests)
            co_return co_await this->write(connection, refusalResponse());
        const std::uint64_t crashCountBefore = this->crashCount;
        co_await this->acquireSlot();
        if (crashCountBefore != this->crashCount)
            co_return false;
        co_await this->runRequest(request);
        if (crashCountBefore != this->crashCount)
            co_return false;
        co_await this->writeAnswer(connection, request);
        this->releaseSlot();
        co_return request.keep_alive();
    }

    Task<void> acquireSlot()
    {
        if (this->inFlight < this->options.slots) {
            ++this->inFlight;
            co_return;
        }
        // releaseSlot() cancels the timer and passes its slot on to this request.
        const auto timer = std::make_shared<wire::Timer>(this->context.get_executor());
        timer->expires_at(wire::Timer::time_point::max());
        this->slotWaiters.push_back(timer);
        co_await timer->async_wait(useResult);
    }

    void releaseSlot()
    {
        if (this->slotWaiters.empty()) {
            --this->inFlight;
            return;
        }
        this->slotWaiters.front()->cancel();
        this->slotWaiters.pop_front();
    }

    Task<void> runRequest(const Request& request)
    {
        if (this->options.runs)
            this->options.runs->add(std::string(request["X-Work-Id"]));
        if (request["X-Work-Crash"] == "1") {
            this->crash();
            co_return;
        }
        const double microseconds = static_cast<double>(numberField(request, "X-Work-Us")) * this->faults.slowdown;
        if (microseconds <= 0)
            co_return;
        wire::Timer timer(this->context.get_executor());
        timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(microseconds)));
        co_await timer.async_wait(useResult);
    }

    // Closes all connections and the listener, and listens again after restartDelay.
    void crash()
    {
        ++this->crashCount;
        this->inFlight = 0;
        for (const auto& connection : this->connections)
            connection->stream.close();
        for (const auto& timer : this->slotWaiters)
            timer->cancel();
        this->slotWaiters.clear();
        this->acceptor.close();
        const auto timer = std::make_shared<wire::Timer>(this->context.get_executor());
        timer->expires_after(this->options.restartDelay);
        timer->async_wait([self = this->shared_from_this(), timer](error_code error) {
            if (!error)
                self->listen(self->endpoint);
        });
    }

    static wire::TextResponse refusalResponse()
    {
        wire::TextResponse response = wire::jsonResponse(503, "{}");
        response.set("X-Backend-Run", "not-run");
        return response;
    }

    wire::TextResponse healthResponse()
    {
        json::object body;
        body["healthy"] = true;
        body["leaving"] = this->faults.isLeaving;
        body["inFlight"] = this->reportedLoad();
        return wire::jsonResponse(200, json::serialize(body));
    }

    // Returns the number of running and waiting requests at the time `reportLag` ago.
    std::uint64_t reportedLoad()
    {
        const core::TimePoint now = wire::steadyNow();
        this->loadHistory.emplace_back(now, this->inFlight + this->slotWaiters.size());
        while (this->loadHistory.size() > 1 && this->loadHistory[1].first <= now - this->faults.reportLag)
            this->loadHistory.pop_front();
        return this->loadHistory.front().second;
    }

    Task<bool> write(Connection& connection, wire::TextResponse response)
    {
        response.prepare_payload();
        auto [error, count] = co_await http::async_write(connection.stream, response, useResult);
        co_return !error;
    }

    Task<void> writeAnswer(Connection& connection, const Request& request)
    {
        const std::string workId(request["X-Work-Id"]);
        const std::uint64_t size = numberField(request, "X-Work-Bytes");
        const std::uint64_t breakAt = numberField(request, "X-Work-Break-At");
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Work-Id: " + workId
            + "\r\nX-Exchange-Id: " + std::string(request["X-Exchange-Id"]) + "\r\nX-Server: " + this->options.name + "\r\nX-Body-Length: " + std::to_string(request.body().size()) + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        for (std::uint64_t position = 0; position < size || !text.empty();) {
            const std::uint64_t chunkBytes = std::min<std::uint64_t>(writeChunkBytes, size - position);
            for (std::uint64_t i = 0; i < chunkBytes; ++i)
                text += answerByte(workId, position + i);
            auto [error, count] = co_await asio::async_write(connection.stream, asio::buffer(text), useResult);
            if (error)
                co_return;
            position += chunkBytes;
            text.clear();
            if (breakAt > 0 && position >= breakAt) {
                connection.stream.close();
                co_return;
            }
        }
    }

    asio::io_context& context;
    ServerStandInOptions options;
    ServerFaults faults;
    wire::Acceptor acceptor;
    wire::tcp::endpoint endpoint;
    std::set<std::shared_ptr<Connection>> connections;
    std::deque<std::shared_ptr<wire::Timer>> slotWaiters;
    std::deque<std::pair<core::TimePoint, std::uint64_t>> loadHistory;
    std::uint32_t inFlight = 0;
    std::uint64_t crashCount = 0;
};

ServerStandIn::ServerStandIn(asio::io_context& context, ServerStandInOptions options)
    : state(std::make_shared<State>(context, std::move(options)))
{
    this->state->listen({ asio::ip::address_v4::loopback(), 0 });
}

ServerStandIn::~ServerStandIn()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
}

const std::string& ServerStandIn::name() const
{
    return this->state->options.name;
}

std::string ServerStandIn::address() const
{
    return wire::formatEndpoint(this->state->endpoint);
}

void ServerStandIn::setFaults(const ServerFaults& faults)
{
    asio::post(this->state->context, [state = this->state, faults] { state->faults = faults; });
}

}
