#pragma once

#include "core/enums.h"
#include "rig/scheduler.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace cranberryshed::rig {

// A request at a fake backend server, with its service time and callbacks.
struct ServerTask {
    std::uint64_t id = 0;
    core::Duration serviceTime {}; // without slowdown
    bool isPoison = false; // crashes the server while it runs
    std::function<void()> onRun; // called when the server starts to run it
    std::function<void(core::AttemptResult)> onEnd; // called with Answered, Refused, ConnectFailed or Broken
};

// Simulates a backend server with a limited number of slots and a short queue. It refuses requests when the queue is
// full, and can crash or slow down.
class FakeServer {
public:
    struct Options {
        std::size_t slots = 3;
        std::size_t maxQueuedRequests = 6; // requests that wait for a slot; further ones are refused
        core::Duration restartDelay = std::chrono::milliseconds(300); // after a crash
    };

    FakeServer(Scheduler& eventScheduler, Options serverOptions)
        : scheduler(eventScheduler)
        , options(serverOptions)
    {
    }

    void submit(ServerTask task)
    {
        if (!this->isAlive)
            return task.onEnd(core::AttemptResult::ConnectFailed);
        if (this->isRefusing || this->waiting.size() >= this->options.maxQueuedRequests)
            return task.onEnd(core::AttemptResult::Refused);
        this->waiting.push_back(std::move(task));
        this->startWaiting();
    }

    // Drops the request because its connection was closed. Doesn't call onEnd.
    void cancel(std::uint64_t id)
    {
        std::erase_if(this->waiting, [&](const ServerTask& task) { return task.id == id; });
        if (this->running.erase(id) > 0)
            this->startWaiting();
    }

    // Ends all requests with Broken, as when the server's process dies, and restarts the server after restartDelay.
    void crash()
    {
        ++this->crashCount;
        this->setAlive(false);
        this->scheduler.after(this->options.restartDelay, [this] { this->isAlive = true; });
    }

    // Stopping the server ends all its requests with Broken.
    void setAlive(bool alive)
    {
        this->isAlive = alive;
        if (alive)
            return;
        std::deque<ServerTask> lost;
        lost.swap(this->waiting);
        for (auto& [id, task] : this->running)
            lost.push_back(std::move(task));
        this->running.clear();
        for (const ServerTask& task : lost)
            task.onEnd(core::AttemptResult::Broken);
    }

    bool acceptsConnections() const { return this->isAlive; }
    std::uint32_t load() const { return static_cast<std::uint32_t>(this->running.size() + this->waiting.size()); }

    bool isRefusing = false; // refuses every request
    double slowdownFactor = 1; // multiplies the service time of requests that start from now on
    unsigned crashCount = 0;

private:
    void startWaiting()
    {
        while (!this->waiting.empty() && this->running.size() < this->options.slots) {
            ServerTask task = std::move(this->waiting.front());
            this->waiting.pop_front();
            const std::uint64_t id = task.id;
            const auto time = core::Duration(static_cast<core::Duration::rep>(static_cast<double>(task.serviceTime.count()) * this->slowdownFactor));
            task.onRun();
            this->running.emplace(id, std::move(task));
            this->scheduler.after(time, [this, id] { this->finish(id); });
        }
    }

    void finish(std::uint64_t id)
    {
        const auto found = this->running.find(id);
        if (found == this->running.end())
            return;
        if (found->second.isPoison)
            return this->crash();
        const ServerTask task = std::move(found->second);
        this->running.erase(found);
        task.onEnd(core::AttemptResult::Answered);
        this->startWaiting();
    }

    Scheduler& scheduler;
    Options options;
    bool isAlive = true;
    std::deque<ServerTask> waiting;
    std::unordered_map<std::uint64_t, ServerTask> running;
};

}
