#pragma once

// Opens connections to backend servers.

#include "core/enums.h"
#include "net/socket_options.h"
#include "wire/connection_pool.h"
#include "wire/endpoint.h"
#include "wire/traffic_limits.h"

namespace cranberryshed::wire {

inline Task<error_code> connectTo(BackendConnection& connection, const std::string& address, const TrafficLimits& limits)
{
    connection.stream.expires_after(limits.connectTimeout);
    auto [error] = co_await connection.stream.async_connect(parseEndpoint(address), useResult);
    if (error)
        co_return error;
    error_code ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    net::detectUnresponsiveHost(connection.stream.socket().native_handle(), limits.unresponsiveHostTimeout);
    co_return error_code();
}

// What the result of connectTo() shows of the server.
inline core::Reachability reachabilityOf(const error_code& error)
{
    if (error == asio::error::connection_refused)
        return core::Reachability::Refuses;
    return error ? core::Reachability::Unknown : core::Reachability::Accepts;
}

}
