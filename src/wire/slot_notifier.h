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
class Siblings {
public:
    using Wake = std::function<void()>;

    explicit Siblings(std::size_t threads)
        : waiting(threads)
        , wakes(threads)
    {
    }

    // How to wake the thread of this index. Call for each thread before the first one runs.
    void setWake(std::size_t index, Wake wake) { this->wakes[index] = std::move(wake); }

    // States how many requests wait on the thread of this index.
    void setWaiting(std::size_t index, std::size_t count) { this->waiting[index].store(static_cast<std::uint32_t>(count), std::memory_order_relaxed); }

    // The thread of this index freed a slot that it does not need itself.
    void slotFreed(std::size_t index)
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
    std::vector<Wake> wakes;
};

}
