#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

namespace cranberryshed::wire {

// How the traffic threads of a process tell each other that a backend server's slot is free.
//
// Slots are counted for the process as a whole, so requests that wait on one thread may need a slot that
// another thread frees. A thread without waiting requests of its own passes the news on by one message to
// the next thread that has some.
class SlotNotifier {
public:
    using Callback = std::function<void()>;

    explicit SlotNotifier(std::size_t threads)
        : waiting(threads)
        , wakes(threads)
    {
    }

    // How to wake the thread of this index. Call for each thread before the first one runs.
    void setCallback(std::size_t index, Callback wake) { this->wakes[index] = std::move(wake); }

    // States how many requests wait on the thread of this index.
    void setWaitingCount(std::size_t index, std::size_t count) { this->waiting[index].store(static_cast<std::uint32_t>(count), std::memory_order_relaxed); }

    // The thread of this index freed a slot that it does not need itself.
    void notifySlotFreed(std::size_t index)
    {
        for (std::size_t step = 1; step < this->waiting.size(); ++step) {
            const std::size_t other = (index + step) % this->waiting.size();
            if (this->waiting[other].load(std::memory_order_relaxed) > 0) {
                this->wakes[other]();
                return;
            }
        }
    }

private:
    std::vector<std::atomic<std::uint32_t>> waiting;
    std::vector<Callback> wakes;
};

}
