#pragma once

#include "store/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <vector>

namespace cranberryshed::store {

// Exchanges with the store over kept-alive TCP connections, one request at a time on each. All use must be on one
// thread. Coroutines that exchange must have ended, or the io_context be stopped for good, before it is destroyed.
class HttpTransport {
public:
    // `endpoint` is "IP:port". Throws core::Error (BadSettings) if it is not.
    HttpTransport(boost::asio::io_context& context, const std::string& endpoint);
    ~HttpTransport();
    HttpTransport(const HttpTransport&) = delete;
    HttpTransport& operator=(const HttpTransport&) = delete;

    // Sends one request and reads its answer until the deadline. Does not throw for failures of the connection.
    boost::asio::awaitable<HttpResponse> exchange(HttpRequest request, core::TimePoint deadline);
    boost::asio::awaitable<void> waitUntil(core::TimePoint time);
    core::TimePoint now() const;

    // Closes all connections, also those with an exchange under way, which then ends as Lost.
    void close();

private:
    struct Connection;

    boost::asio::awaitable<std::shared_ptr<Connection>> connect(core::TimePoint deadline);
    std::shared_ptr<Connection> takeIdle();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<Connection>> idle;
    std::vector<std::weak_ptr<Connection>> busy;
    bool closed = false;
};

}
