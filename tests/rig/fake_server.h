#pragma once

#include "core/enums.h"
#include "rig/scheduler.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace cranberryshed::rig {

// One request at a fake backend server.
struct Work {
    std::uint64_t id = 0;
    core::Duration time {}; // on a server at its ordinary speed
    bool poison = false; // crashes the server while it runs
    std::function<void()> onRun; // the server starts to run it
    std::function<void(core::AttemptResult)> onEnd; // Answered, Refused, ConnectFailed or Broken
};

// A backend server: slots, a short queue, refusals beyond it, crashes and momentary slowness.
class FakeServer {
public:
    struct Options {
        std::size_t slots = 3;
        std::size_t queueLimit = 6; // requests that wait for a slot; more are refused
        core::Duration restart = std::chrono::milliseconds(300); // after a crash
    };

    FakeServer(Scheduler& eventScheduler, Options serverOptions)
        : scheduler(eventScheduler)
        , options(serverOptions)
    {
    }

    void submit(Work work)
    {
        if (!this->up)
            return work.onEnd(core::AttemptResult::ConnectFailed);
        if (this->refusing || this->waiting.size() >= this->options.queueLimit)
            return work.onEnd(core::AttemptResult::Refused);
        this->waiting.push_back(std::move(work));
        this->startWaiting();
    }

    // The connection of this request was closed. Ends it without a report.
    void cancel(std::uint64_t id)
    {
        std::erase_if(this->waiting, [&](const Work& work) { return work.id == id; });
        if (this->running.erase(id) > 0)
            this->startWaiting();
    }

    // Breaks every connection, as a process that dies does.
    void crash()
    {
        ++this->crashes;
        this->setUp(false);
        this->scheduler.after(this->options.restart, [this] { this->up = true; });
    }

    void setUp(bool isUp)
    {
        this->up = isUp;
        if (isUp)
            return;
        std::deque<Work> lost;
        lost.swap(this->waiting);
        for (auto& [id, work] : this->running)
            lost.push_back(std::move(work));
        this->running.clear();
        for (const Work& work : lost)
            work.onEnd(core::AttemptResult::Broken);
    }

    std::uint32_t load() const { return static_cast<std::uint32_t>(this->running.size() + this->waiting.size()); }

    bool refusing = false; // answers every request with a refusal
    double slowness = 1; // factor on the time of requests that start now
    unsigned crashes = 0;

private:
    void startWaiting()
    {
        while (!this->waiting.empty() && this->running.size() < this->options.slots) {
            Work work = std::move(this->waiting.front());
            this->waiting.pop_front();
            const std::uint64_t id = work.id;
            const auto time = core::Duration(static_cast<core::Duration::rep>(static_cast<double>(work.time.count()) * this->slowness));
            work.onRun();
            this->running.emplace(id, std::move(work));
            this->scheduler.after(time, [this, id] { this->finish(id); });
        }
    }

    void finish(std::uint64_t id)
    {
        const auto found = this->running.find(id);
        if (found == this->running.end())
            return;
        if (found->second.poison)
            return this->crash();
        const Work work = std::move(found->second);
        this->running.erase(found);
        work.onEnd(core::AttemptResult::Answered);
        this->startWaiting();
    }

    Scheduler& scheduler;
    Options options;
    bool up = true;
    std::deque<Work> waiting;
    std::unordered_map<std::uint64_t, Work> running;
};

}
