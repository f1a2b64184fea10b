#pragma once

#include <atomic>
#include <cstdint>

namespace cranberryshed::core {

// The in-flight count of one backend server in this process, shared by all traffic threads.
//
// A server has fewer slots than the process may have threads, so a count per thread would let each
// thread fill the server. The counter outlives a steering table: a new table refers to the same counter.
class SlotCounter {
public:
    // Takes one slot if fewer than `limit` are taken. Safe to call from any thread.
    bool tryAcquire(std::uint32_t limit)
    {
        std::uint32_t current = this->taken.load(std::memory_order_relaxed);
        while (current < limit) {
            if (this->taken.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel))
                return true;
        }
        return false;
    }

    // Closes the server to other requests, so that one request can run there alone. Fails if it is closed already.
    // Requests that run there go on. A closed server answers every tryAcquire() with false.
    bool tryReserve() { return (this->taken.fetch_or(reserved, std::memory_order_acq_rel) & reserved) == 0; }

    // Whether the server is closed to other requests.
    bool isReserved() const { return (this->taken.load(std::memory_order_relaxed) & reserved) != 0; }

    // Takes the only slot of a server that the caller has reserved, once no other request runs there.
    bool tryEnterReserved()
    {
        std::uint32_t expected = reserved;
        return this->taken.compare_exchange_strong(expected, reserved + 1, std::memory_order_acq_rel);
    }

    // Opens a reserved server to other requests again. The slot taken there is released as any other.
    void endReservation() { this->taken.fetch_and(~reserved, std::memory_order_acq_rel); }

    void release() { this->taken.fetch_sub(1, std::memory_order_acq_rel); }
    std::uint32_t inFlight() const { return this->taken.load(std::memory_order_relaxed) & ~reserved; }

private:
    static constexpr std::uint32_t reserved = 1U << 31; // above every limit

    std::atomic<std::uint32_t> taken = 0;
};

}
