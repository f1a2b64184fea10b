#pragma once

#include <atomic>
#include <cstdint>

namespace cranberryshed::core {

// Counts the slots of one backend server that requests of this process use. All traffic threads share the counter.
//
// A server can have fewer slots than this process has threads, so with one counter per thread each thread could
// fill the server by itself. The counter outlives a steering table: a new table refers to the same counter.
class SlotCounter {
public:
    // Takes one slot if fewer than `limit` are in use. Safe to call from any thread.
    bool tryAcquire(std::uint32_t limit)
    {
        std::uint32_t current = this->taken.load(std::memory_order_relaxed);
        while (current < limit) {
            if (this->taken.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel))
                return true;
        }
        return false;
    }

    // Reserves the server, so that one request can run there alone. Fails if the server is reserved already.
    // Requests in flight there continue. While the server is reserved, every tryAcquire() fails.
    bool tryReserve() { return (this->taken.fetch_or(reservedBit, std::memory_order_acq_rel) & reservedBit) == 0; }

    // Returns whether the server accepts no other requests.
    bool isReserved() const { return (this->taken.load(std::memory_order_relaxed) & reservedBit) != 0; }

    // Takes a slot of a server that the caller has reserved. Fails while any other request is in flight there.
    bool tryEnterReserved()
    {
        std::uint32_t expected = reservedBit;
        return this->taken.compare_exchange_strong(expected, reservedBit + 1, std::memory_order_acq_rel);
    }

    // Ends the reservation, so that other requests can take slots again. A slot taken by tryEnterReserved() is released
    // by release(), like any other.
    void endReservation() { this->taken.fetch_and(~reservedBit, std::memory_order_acq_rel); }

    void release() { this->taken.fetch_sub(1, std::memory_order_acq_rel); }
    std::uint32_t inFlight() const { return this->taken.load(std::memory_order_relaxed) & ~reservedBit; }

private:
    static constexpr std::uint32_t reservedBit = 1U << 31; // a bit above every limit of tryAcquire()

    std::atomic<std::uint32_t> taken = 0;
};

}
