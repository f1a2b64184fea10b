#include "store/http_transport.h"

#include "core/errors.h"
#include "net/answer_parser.h"
#include "net/socket_options.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace cranberryshed::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

    // The store may be about to close a connection that has been idle for longer. A write on it could get lost.
    constexpr core::Duration maxIdleTime = std::chrono::seconds(5);
    constexpr std::size_t maxIdleConnections = 8;
    // The kernel sends a lost SYN packet again after 1, 3, 7 and 15 s, so without this bound a connection attempt that
    // starts during a partition would end long after the partition.
    constexpr core::Duration connectTimeout = std::chrono::seconds(1);
    // A connection whose other host acknowledges neither data nor keep-alive probes for this time is closed.
    constexpr core::Duration unresponsiveHostTimeout = std::chrono::seconds(2);
    // The store splits lists and watches into pages of about 1 MB, and a single object can be as large.
    constexpr std::uint64_t maxResponseBytes = 16 * 1024 * 1024;

    http::verb toVerb(HttpMethod method)
    {
        switch (method) {
        case HttpMethod::Get:
            return http::verb::get;
        case HttpMethod::Post:
            return http::verb::post;
        case HttpMethod::Put:
            return http::verb::put;
        case HttpMethod::Delete:
            return http::verb::delete_;
        }
        return http::verb::unknown;
    }

    tcp::endpoint parseEndpoint(const std::string& text)
    {
        std::size_t colon = text.rfind(':');
        std::uint16_t port = 0;
        boost::system::error_code error;
        asio::ip::address address;
        if (colon != std::string::npos) {
            address = asio::ip::make_address(text.substr(0, colon), error);
            std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
        }
        if (colon == std::string::npos || error || port == 0)
            throw core::Error(core::ErrorKind::BadSettings, "the address \"" + text + "\" is not of the form IP:port");
        return { address, port };
    }

}

struct HttpTransport::Connection {
    explicit Connection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    core::TimePoint idleSince {};
};

HttpTransport::HttpTransport(asio::io_context& ioContext, const std::string& storeEndpoint, std::string_view storeEraField)
    : context(ioContext)
    , endpoint(parseEndpoint(storeEndpoint))
    , eraField(storeEraField)
{
}

HttpTransport::~HttpTransport() = default;

core::TimePoint HttpTransport::now() const
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

asio::awaitable<void> HttpTransport::waitUntil(core::TimePoint time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::shared_ptr<HttpTransport::Connection> HttpTransport::takeIdleConnection()
{
    while (!this->idleConnections.empty()) {
        std::shared_ptr<Connection> connection = std::move(this->idleConnections.back());
        this->idleConnections.pop_back();
        if (this->now() - connection->idleSince < maxIdleTime)
            return connection;
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<HttpTransport::Connection>> HttpTransport::connect(core::TimePoint deadline)
{
    auto connection = std::make_shared<Connection>(this->context);
    boost::system::error_code error;
    connection->stream.expires_at(std::min(deadline, this->now() + connectTimeout));
    co_await connection->stream.async_connect(this->endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return nullptr;
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    net::detectUnresponsiveHost(connection->stream.socket().native_handle(), unresponsiveHostTimeout);
    co_return connection;
}

asio::awaitable<HttpResponse> HttpTransport::exchange(HttpRequest request, core::TimePoint deadline)
{
    std::shared_ptr<Connection> connection = this->takeIdleConnection();
    if (!connection)
        connection = co_await this->connect(deadline);
    const bool isCancelled = request.cancellation && request.cancellation->isCancelled();
    if (!connection || this->isClosed || isCancelled)
        co_return HttpResponse { .outcome = isCancelled ? ExchangeOutcome::Cancelled : ExchangeOutcome::NotSent, .status = 0, .body = {} };
    std::erase_if(this->busyConnections, [](const std::weak_ptr<Connection>& other) { return other.expired(); });
    this->busyConnections.push_back(connection);
    if (request.cancellation)
        request.cancellation->onCancel = [connection] { connection->stream.close(); };
    HttpResponse response = co_await this->exchangeOn(*connection, request, deadline);
    if (request.cancellation)
        request.cancellation->onCancel = nullptr;
    if (response.outcome == ExchangeOutcome::Answered) {
        if (connection->stream.socket().is_open())
            this->keepIdle(connection);
        co_return response;
    }
    // What ended this connection may have ended the idle ones as well, without a sign of it.
    this->idleConnections.clear();
    if (request.cancellation && request.cancellation->isCancelled())
        response.outcome = ExchangeOutcome::Cancelled;
    co_return response;
}

// Sends the request and reads the response on this connection. Closes it if it can't be used again.
asio::awaitable<HttpResponse> HttpTransport::exchangeOn(Connection& connection, const HttpRequest& request, core::TimePoint deadline) const
{
    http::request<http::string_body> message(toVerb(request.method), request.target, 11, request.body);
    message.set(http::field::host, this->endpoint.address().to_string());
    if (!message.body().empty())
        message.set(http::field::content_type, "application/json");
    message.prepare_payload();
    boost::system::error_code error;
    connection.stream.expires_at(deadline);
    co_await http::async_write(connection.stream, message, asio::redirect_error(asio::use_awaitable, error));
    std::optional<net::AnswerParser<http::string_body>> parser;
    if (!error)
        error = co_await net::readAnswer(connection.stream, connection.buffer, parser, maxResponseBytes);
    if (error)
        co_return HttpResponse { .outcome = ExchangeOutcome::Lost, .status = 0, .body = {} };
    if (!parser->get().keep_alive())
        connection.stream.close();
    HttpResponse response { .outcome = ExchangeOutcome::Answered, .status = parser->get().result_int(), .body = std::move(parser->get().body()) };
    const auto era = this->eraField.empty() ? parser->get().end() : parser->get().find(this->eraField);
    if (era != parser->get().end())
        response.era = std::string(era->value());
    co_return response;
}

void HttpTransport::keepIdle(const std::shared_ptr<Connection>& connection)
{
    if (this->isClosed || this->idleConnections.size() >= maxIdleConnections)
        return;
    connection->stream.expires_never();
    connection->idleSince = this->now();
    this->idleConnections.push_back(connection);
}

void HttpTransport::close()
{
    this->isClosed = true;
    this->idleConnections.clear();
    for (const std::weak_ptr<Connection>& entry : this->busyConnections) {
        if (std::shared_ptr<Connection> connection = entry.lock())
            connection->stream.close();
    }
}

}
