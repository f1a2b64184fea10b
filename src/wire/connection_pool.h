#pragma once

#include "core/types.h"
#include "wire/asio.h"

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryshed::wire {

// A connection to a backend server, with the bytes received but not parsed yet.
struct BackendConnection {
    BackendConnection(const Executor& executor, std::uint64_t connectionNumber)
        : number(connectionNumber)
        , stream(executor)
    {
    }

    const std::uint64_t number; // differs between all connections of one traffic thread
    Stream stream;
    beast::flat_buffer buffer;
    core::TimePoint idleSince {};
    core::Duration serverIdleTimeout = core::Duration::max(); // stated by the server in Keep-Alive, less a margin
    bool answered = false; // the head of an answer has arrived on this connection
};

// Pool of idle connections to backend servers, of one traffic thread. Not thread-safe.
class ConnectionPool {
public:
    struct Options {
        // A server accepts about 330 connections from all entry VMs together, so unused ones are closed early.
        core::Duration maxIdleTime = std::chrono::seconds(10);
    };

    explicit ConnectionPool(Options poolOptions)
        : options(poolOptions)
    {
    }

    // Removes and returns an idle connection that the server has not closed and whose number is not in `excluded`, or
    // returns null if there is none.
    std::unique_ptr<BackendConnection> take(const std::string& address, std::span<const std::uint64_t> excluded, core::TimePoint now);

    // Adds a connection on which no answer is outstanding.
    void put(const std::string& address, std::unique_ptr<BackendConnection>, core::TimePoint now);

    // Closes connections that have been idle for maxIdleTime or longer. Returns when the next one reaches that age;
    // nothing if the pool is empty.
    std::optional<core::TimePoint> closeIdle(core::TimePoint now);

    void clear() { this->idle.clear(); }
    std::size_t idleCount() const;

private:
    Options options;
    std::unordered_map<std::string, std::vector<std::unique_ptr<BackendConnection>>> idle;
};

}
