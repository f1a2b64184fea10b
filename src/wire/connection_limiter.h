#pragma once

#include "wire/asio.h"

#include <map>
#include <mutex>

namespace cranberryshed::wire {

// Limits the number of connections from each caller address, across all traffic threads of a process. Thread-safe. The
// mutex is locked once when a connection opens and once when it closes, never per request.
class ConnectionLimiter {
public:
    explicit ConnectionLimiter(std::uint32_t maxConnectionsPerAddress)
        : maxPerAddress(maxConnectionsPerAddress)
    {
    }

    // Counts a connection. Returns false without counting it if the address already has the maximum.
    bool tryOpen(const asio::ip::address& address)
    {
        const std::scoped_lock lock(this->mutex);
        std::uint32_t& count = this->counts[address];
        if (count >= this->maxPerAddress)
            return false;
        ++count;
        return true;
    }

    // Releases a connection that tryOpen() has counted.
    void close(const asio::ip::address& address)
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->counts.find(address);
        if (found != this->counts.end() && --found->second == 0)
            this->counts.erase(found);
    }

private:
    const std::uint32_t maxPerAddress;
    std::mutex mutex;
    std::map<asio::ip::address, std::uint32_t> counts;
};

}
