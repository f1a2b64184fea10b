#include "wire/connection_pool.h"

#include <algorithm>
#include <sys/socket.h>

namespace cranberryshed::wire {

namespace {

    // Returns whether the connection has neither unread data nor an end of stream. Otherwise the server has closed it,
    // or its next answer does not belong to the next request. A request sent on it would fail and count as possibly
    // run.
    bool isIdleAndOpen(BackendConnection& connection)
    {
        char byte = 0;
        const ssize_t count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

}

std::unique_ptr<BackendConnection> ConnectionPool::take(const std::string& address, std::span<const std::uint64_t> excluded, core::TimePoint now)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    // Takes the most recently used connection first, so that the others reach maxIdleTime and are closed.
    std::vector<std::unique_ptr<BackendConnection>>& connections = found->second;
    for (std::size_t i = connections.size(); i-- > 0;) {
        if (std::ranges::find(excluded, connections[i]->number) != excluded.end())
            continue;
        std::unique_ptr<BackendConnection> connection = std::move(connections[i]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        if (now - connection->idleSince < std::min(this->options.maxIdleTime, connection->serverIdleTimeout) && connection->buffer.size() == 0 && isIdleAndOpen(*connection))
            return connection;
    }
    return nullptr;
}

void ConnectionPool::put(const std::string& address, std::unique_ptr<BackendConnection> connection, core::TimePoint now)
{
    connection->idleSince = now;
    this->idle[address].push_back(std::move(connection));
}

std::optional<core::TimePoint> ConnectionPool::closeIdle(core::TimePoint now)
{
    std::optional<core::TimePoint> next;
    for (auto it = this->idle.begin(); it != this->idle.end();) {
        std::erase_if(it->second, [&](const auto& connection) { return now - connection->idleSince >= this->options.maxIdleTime; });
        for (const auto& connection : it->second)
            next = std::min(next.value_or(core::TimePoint::max()), connection->idleSince + this->options.maxIdleTime);
        it = it->second.empty() ? this->idle.erase(it) : std::next(it);
    }
    return next;
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto& [address, connections] : this->idle)
        count += connections.size();
    return count;
}

}
