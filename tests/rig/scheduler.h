#pragma once

#include "core/types.h"

#include <functional>
#include <queue>
#include <vector>

namespace cranberryshed::rig {

// Runs actions in the order of their simulated due times. Actions with the same due time run in the order in which they
// were added.
class Scheduler {
public:
    core::TimePoint now() const { return this->time; }

    void after(core::Duration delay, std::function<void()> action)
    {
        this->entries.push({ this->time + std::max(delay, core::Duration::zero()), ++this->lastSequence, std::move(action) });
    }

    // Runs all actions that are due up to `end`, and sets the time to `end`.
    void runUntil(core::TimePoint end)
    {
        while (!this->entries.empty() && this->entries.top().due <= end) {
            // The action can add entries, so its entry is removed from the queue before it runs.
            const Entry entry = this->entries.top();
            this->entries.pop();
            this->time = entry.due;
            entry.action();
        }
        this->time = end;
    }

private:
    struct Entry {
        core::TimePoint due {};
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Entry& other) const { return std::pair(this->due, this->sequence) > std::pair(other.due, other.sequence); }
    };

    core::TimePoint time { std::chrono::hours(1) };
    std::uint64_t lastSequence = 0;
    std::priority_queue<Entry> entries;
};

}
