#pragma once

#include "core/types.h"
#include "wire/asio.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::wire {

// A connection to a backend server with the bytes that were read ahead.
struct BackendConnection {
    explicit BackendConnection(const Executor& executor)
        : stream(executor)
    {
    }

    Stream stream;
    beast::flat_buffer buffer;
    core::TimePoint idleSince {};
    core::Duration serverIdleTimeout = core::Duration::max(); // as the server states it
    bool answered = false; // an answer has arrived on it
};

// Idle connections to backend servers, of one traffic thread.
class ConnectionPool {
public:
    struct Options {
        // Servers keep about 330 connections for all entry VMs, so unused ones are given back soon.
        core::Duration maxIdleTime = std::chrono::seconds(10);
    };

    explicit ConnectionPool(Options poolOptions)
        : options(poolOptions)
    {
    }

    // Returns an idle connection that the server has not closed, or nothing.
    std::unique_ptr<BackendConnection> take(const std::string& address, core::TimePoint now);

    // Keeps a connection on which no answer is outstanding.
    void put(const std::string& address, std::unique_ptr<BackendConnection>, core::TimePoint now);

    // Closes connections that were idle for longer than the limit. Returns when to call again, if any are left.
    std::optional<core::TimePoint> closeIdle(core::TimePoint now);

    void clear() { this->idle.clear(); }
    std::size_t idleCount() const;

private:
    Options options;
    std::unordered_map<std::string, std::vector<std::unique_ptr<BackendConnection>>> idle;
};

}
