#pragma once

#include "wire/asio.h"

#include <map>
#include <mutex>

namespace cranberryshed::wire {

// Limits the connections of one caller address, over all traffic threads of a process. The mutex is taken
// once when a connection opens and once when it closes, never per request.
class ConnectionLimiter {
public:
    explicit ConnectionLimiter(std::uint32_t limitPerAddress)
        : limit(limitPerAddress)
    {
    }

    // Counts a connection. Returns false, and counts nothing, if the address has as many as allowed.
    bool tryOpen(const asio::ip::address& address)
    {
        const std::scoped_lock lock(this->mutex);
        std::uint32_t& count = this->counts[address];
        if (count >= this->limit)
            return false;
        ++count;
        return true;
    }

    void close(const asio::ip::address& address)
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->counts.find(address);
        if (found != this->counts.end() && --found->second == 0)
            this->counts.erase(found);
    }

private:
    const std::uint32_t limit;
    std::mutex mutex;
    std::map<asio::ip::address, std::uint32_t> counts;
};

}
