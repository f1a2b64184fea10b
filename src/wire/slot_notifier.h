#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

namespace cranberryshed::wire {

// Notifies a traffic thread with waiting requests that another thread of the process has freed a backend server's slot.
//
// Slots are counted for the whole process, so requests that wait on one thread can need a slot that another thread
// frees. A thread that has no waiting requests when it frees a slot notifies the next thread that has some, with one
// message.
class SlotNotifier {
public:
    using Callback = std::function<void()>;

    explicit SlotNotifier(std::size_t threadCount)
        : waitingCounts(threadCount)
        , callbacks(threadCount)
    {
    }

    // Sets the function that notifies the thread with this index. Call for each thread before any of them runs. The
    // function is called on other threads.
    void setCallback(std::size_t index, Callback callback) { this->callbacks[index] = std::move(callback); }

    // Sets how many requests wait on the thread with this index.
    void setWaitingCount(std::size_t index, std::size_t count) { this->waitingCounts[index].store(static_cast<std::uint32_t>(count), std::memory_order_relaxed); }

    // Notifies one thread with waiting requests, if any. Called by the thread with this index, which freed a slot and
    // has no waiting request of its own.
    void notifySlotFreed(std::size_t index)
    {
        for (std::size_t step = 1; step < this->waitingCounts.size(); ++step) {
            const std::size_t other = (index + step) % this->waitingCounts.size();
            if (this->waitingCounts[other].load(std::memory_order_relaxed) > 0) {
                this->callbacks[other]();
                return;
            }
        }
    }

private:
    std::vector<std::atomic<std::uint32_t>> waitingCounts;
    std::vector<Callback> callbacks;
};

}
