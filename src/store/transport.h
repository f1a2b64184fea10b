#pragma once

#include "core/types.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <string>

namespace cranberryshed::store {

enum class HttpMethod : std::uint8_t { Get,
    Post,
    Put,
    Delete };

struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string target;
    std::string body;
};

// How an HTTP exchange ended on the level of the connection.
enum class ExchangeOutcome : std::uint8_t {
    Answered, // `status` and `body` are valid.
    NotSent, // There was no connection, so the store cannot have received the request.
    Lost, // The connection broke or the deadline passed after parts of the request may have been sent.
};

struct HttpResponse {
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    unsigned status = 0;
    std::string body;
};

// The I/O of the store client: HTTP exchanges, the clock and timers. Tests use a mock with a clock of its own.
template <typename Candidate>
concept Transport = requires(Candidate& transport, HttpRequest request, core::TimePoint time)
{
    {
        transport.exchange(request, time)
        } -> std::same_as<boost::asio::awaitable<HttpResponse>>;
    {
        transport.waitUntil(time)
        } -> std::same_as<boost::asio::awaitable<void>>;
    {
        transport.now()
        } -> std::same_as<core::TimePoint>;
};

}
