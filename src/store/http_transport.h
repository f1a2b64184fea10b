#pragma once

#include "store/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string_view>
#include <vector>

namespace cranberryshed::store {

// HTTP client that keeps connections alive and sends one request at a time on each. All calls must be made on one
// thread. Before it is destroyed, all calls of `exchange` must have ended, or the io_context must not run any more.
class HttpTransport {
public:
    // `endpoint` has the form "IP:port". Throws core::Error (BadSettings) if it does not. `eraField` is the name of the
    // header field that states the store's era; empty: there is none.
    HttpTransport(boost::asio::io_context& context, const std::string& endpoint, std::string_view eraField = {});
    ~HttpTransport();
    HttpTransport(const HttpTransport&) = delete;
    HttpTransport& operator=(const HttpTransport&) = delete;

    // Sends a request and reads the response, at most until the deadline. Connection failures are returned as the
    // outcome of the exchange, not thrown.
    boost::asio::awaitable<HttpResponse> exchange(HttpRequest request, core::TimePoint deadline);
    boost::asio::awaitable<void> waitUntil(core::TimePoint time);
    core::TimePoint now() const;

    // Closes all connections. An exchange in progress ends as Lost.
    void close();

private:
    struct Connection;

    boost::asio::awaitable<std::shared_ptr<Connection>> connect(core::TimePoint deadline);
    std::shared_ptr<Connection> takeIdleConnection();
    void keepIdle(const std::shared_ptr<Connection>&);
    boost::asio::awaitable<HttpResponse> exchangeOn(Connection&, const HttpRequest&, core::TimePoint deadline) const;

    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string eraField;
    std::vector<std::shared_ptr<Connection>> idleConnections;
    std::vector<std::weak_ptr<Connection>> busyConnections;
    bool isClosed = false;
};

}
