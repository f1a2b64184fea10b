#pragma once

// The precompiled header of the I/O code. Decision code (core, lookup, request, control, fleet) must not include it.

#include <boost/asio.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace cranberryshed::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

// Every thread runs its own io_context, so a concrete executor type suffices and avoids the indirection of
// any_io_executor.
using Executor = asio::io_context::executor_type;

template <typename Result>
using Task = asio::awaitable<Result, Executor>;

inline constexpr asio::use_awaitable_t<Executor> useTask {};

// Completion token that returns the error code as a value instead of throwing an exception.
inline constexpr auto useResult = asio::as_tuple(useTask);

using Socket = asio::basic_stream_socket<tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<tcp, Executor>;
using Stream = beast::basic_stream<tcp, Executor>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;

}
