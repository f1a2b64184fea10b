#include "app/server_standin.h"

#include "wire/answer.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/feed.h"
#include "wire/header.h"

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

    constexpr std::uint64_t bodyLimit = 64ULL << 20; // bytes of a request's body
    constexpr std::size_t pieceSize = 64 * 1024; // bytes of an answer's body that are written at a time

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
        for (bool more = true; more;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(bodyLimit);
            error_code error = co_await wire::feedHeader(connection->stream, connection->buffer, parser);
            if (!error && wire::beast::iequals(parser.get()[http::field::expect], "100-continue"))
                co_await asio::async_write(connection->stream, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), useResult);
            while (!error && !parser.is_done())
                error = co_await wire::feed(connection->stream, connection->buffer, parser);
            more = !error && co_await self->answer(*connection, parser.get());
        }
        self->connections.erase(connection);
    }

    Task<bool> answer(Connection& connection, const Request& request)
    {
        if (request.target() == "/health")
            co_return co_await this->write(connection, this->healthAnswer());
        if (this->faults.refusesRequests || this->waiting.size() >= this->options.maxQueuedRequests)
            co_return co_await this->write(connection, refusal());
        const std::uint64_t epoch = this->crashes;
        co_await this->takeSlot();
        if (epoch != this->crashes)
            co_return false;
        co_await this->run(request);
        if (epoch != this->crashes)
            co_return false;
        co_await this->writeWork(connection, request);
        this->giveSlot();
        co_return request.keep_alive();
    }

    Task<void> takeSlot()
    {
        if (this->inFlight < this->options.slots) {
            ++this->inFlight;
            co_return;
        }
        // Woken by giveSlot, which hands its slot over.
        const auto timer = std::make_shared<wire::Timer>(this->context.get_executor());
        timer->expires_at(wire::Timer::time_point::max());
        this->waiting.push_back(timer);
        co_await timer->async_wait(useResult);
    }

    void giveSlot()
    {
        if (this->waiting.empty()) {
            --this->inFlight;
            return;
        }
        this->waiting.front()->cancel();
        this->waiting.pop_front();
    }

    Task<void> run(const Request& request)
    {
        if (this->options.runs)
            this->options.runs->add(std::string(request["X-Work-Id"]));
        if (request["X-Work-Crash"] == "1") {
            this->crash();
            co_return;
        }
        const double time = static_cast<double>(numberField(request, "X-Work-Us")) * this->faults.slowdown;
        if (time <= 0)
            co_return;
        wire::Timer timer(this->context.get_executor());
        timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(time)));
        co_await timer.async_wait(useResult);
    }

    // Breaks all connections and refuses new ones until the restart.
    void crash()
    {
        ++this->crashes;
        this->inFlight = 0;
        for (const auto& connection : this->connections)
            connection->stream.close();
        for (const auto& timer : this->waiting)
            timer->cancel();
        this->waiting.clear();
        this->acceptor.close();
        const auto timer = std::make_shared<wire::Timer>(this->context.get_executor());
        timer->expires_after(this->options.restartDelay);
        timer->async_wait([self = this->shared_from_this(), timer](error_code error) {
            if (!error)
                self->listen(self->endpoint);
        });
    }

    static wire::TextResponse refusal()
    {
        wire::TextResponse response = wire::jsonResponse(503, "{}");
        response.set("X-Backend-Run", "not-run");
        return response;
    }

    wire::TextResponse healthAnswer()
    {
        json::object body;
        body["healthy"] = true;
        body["leaving"] = this->faults.isLeaving;
        body["inFlight"] = this->reportedLoad();
        return wire::jsonResponse(200, json::serialize(body));
    }

    // The load as it was `reportLag` ago.
    std::uint64_t reportedLoad()
    {
        const core::TimePoint now = wire::steadyNow();
        this->loads.emplace_back(now, this->inFlight + this->waiting.size());
        while (this->loads.size() > 1 && this->loads[1].first <= now - this->faults.reportLag)
            this->loads.pop_front();
        return this->loads.front().second;
    }

    Task<bool> write(Connection& connection, wire::TextResponse response)
    {
        response.prepare_payload();
        auto [error, count] = co_await http::async_write(connection.stream, response, useResult);
        co_return !error;
    }

    Task<void> writeWork(Connection& connection, const Request& request)
    {
        const std::string workId(request["X-Work-Id"]);
        const std::uint64_t size = numberField(request, "X-Work-Bytes");
        const std::uint64_t breakAt = numberField(request, "X-Work-Break-At");
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Work-Id: " + workId
            + "\r\nX-Server: " + this->options.name + "\r\nX-Body-Length: " + std::to_string(request.body().size()) + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        for (std::uint64_t position = 0; position < size || !text.empty();) {
            const std::uint64_t piece = std::min<std::uint64_t>(pieceSize, size - position);
            for (std::uint64_t i = 0; i < piece; ++i)
                text += answerByte(workId, position + i);
            auto [error, count] = co_await asio::async_write(connection.stream, asio::buffer(text), useResult);
            if (error)
                co_return;
            position += piece;
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
    std::deque<std::shared_ptr<wire::Timer>> waiting;
    std::deque<std::pair<core::TimePoint, std::uint64_t>> loads;
    std::uint32_t inFlight = 0;
    std::uint64_t crashes = 0;
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
