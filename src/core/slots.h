#pragma once

#include <atomic>
#include <cstdint>

namespace cranberryshed::core {

// The in-flight count of one backend server in this process, shared by all traffic threads.
//
// A server has fewer slots than the process may have threads, so a count per thread would let each
// thread fill the server. The counter outlives a steering table: a new table refers to the same counter.
class SlotCount {
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

    void release() { this->taken.fetch_sub(1, std::memory_order_acq_rel); }
    std::uint32_t inFlight() const { return this->taken.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint32_t> taken = 0;
};

}
