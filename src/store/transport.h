#pragma once

#include "core/types.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberryshed::store {

// Cancels one HTTP exchange from outside. Shared by the caller of the exchange and the transport.
class ExchangeCancellation {
public:
    // Ends the exchange as Cancelled, also one that starts later.
    void cancel()
    {
        this->cancelled = true;
        if (this->onCancel)
            this->onCancel();
    }

    bool isCancelled() const { return this->cancelled; }

    // Set by the transport while the exchange runs; must not throw.
    std::function<void()> onCancel;

private:
    bool cancelled = false;
};

enum class HttpMethod : std::uint8_t { Get,
    Post,
    Put,
    Delete };

struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string target;
    std::string body;
    std::shared_ptr<ExchangeCancellation> cancellation {}; // null: the exchange is never cancelled
};

// How an HTTP exchange ended on the level of the connection.
enum class ExchangeOutcome : std::uint8_t {
    Answered, // `status` and `body` are valid.
    NotSent, // There was no connection, so the store cannot have received the request.
    Lost, // The connection broke or the deadline passed after parts of the request may have been sent.
    Cancelled, // The caller cancelled the exchange.
};

struct HttpResponse {
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    unsigned status = 0;
    std::string body;
    std::optional<std::string> era {}; // of the store, as the answer states it
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
