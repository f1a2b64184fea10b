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

// How an exchange with the store ended, as far as the connection is concerned.
enum class ExchangeOutcome : std::uint8_t {
    Answered, // `status` and `body` are valid.
    NotSent, // No connection, so the store cannot have seen the request.
    Lost, // The connection broke or the deadline passed after a byte may have been sent.
};

struct HttpResponse {
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    unsigned status = 0;
    std::string body;
};

// What the client needs from the outside: exchanges, the time and waiting. Tests pass a mock with its own clock.
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
