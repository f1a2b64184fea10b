#pragma once

#include "request/pipeline.h"

#include <deque>
#include <unordered_map>

namespace cranberryshed::request {

// The request path of one traffic thread: typed events in, typed commands out, no I/O.
template <Chooser ChooserType>
class Engine {
public:
    struct Options {
        std::size_t queueLimit = 1000; // requests that wait for a slot
    };

    Engine(Options engineOptions, ChooserType serverChooser, std::uint64_t seed)
        : options(engineOptions)
        , chooser(std::move(serverChooser))
        , random(seed)
    {
    }

    // Uses this table for every later decision.
    void setTable(core::SteeringTablePointer newTable) { this->table = std::move(newTable); }

    // Handles one event. Appends what the front end has to do to `commands`, in order.
    void handle(const Event& event, core::TimePoint now, Commands& commands)
    {
        std::visit([&](const auto& typed) { this->on(typed, now, commands); }, event);
    }

private:
    struct Active {
        Context context;
        core::AttemptId attempt {};
        std::shared_ptr<core::SlotCount> slot;
        bool relayed = false;
    };

    void on(const RequestArrived& arrival, core::TimePoint now, Commands& commands)
    {
        core::Outcome outcome = this->arrivalPipe(Context { .arrival = arrival, .table = this->table }, now);
        if (outcome.ended()) {
            commands.push_back(outcome.answer());
            return;
        }
        this->start(std::move(outcome.output()), now, commands);
    }

    void on(const AnswerStarted& started, core::TimePoint, Commands& commands)
    {
        const auto found = this->active.find(started.request);
        if (found == this->active.end() || found->second.attempt != started.attempt)
            return;
        found->second.relayed = true;
        commands.push_back(RelayAnswer { .request = started.request, .attempt = started.attempt });
    }

    void on(const AttemptEnded& ended, core::TimePoint now, Commands& commands)
    {
        const auto found = this->active.find(ended.request);
        if (found == this->active.end() || found->second.attempt != ended.attempt)
            return;
        found->second.slot->release();
        if (!found->second.relayed)
            commands.push_back(Reject { .request = ended.request, .error = core::ErrorKind::ServerBroke, .key = {}, .retryAfter = {} });
        this->active.erase(found);
        this->startWaiting(now, commands);
    }

    void on(const CallerGone& gone, core::TimePoint, Commands& commands)
    {
        const auto found = this->active.find(gone.request);
        if (found != this->active.end())
            commands.push_back(CancelAttempt { .request = gone.request, .attempt = found->second.attempt });
    }

    void on(const TimerDue&, core::TimePoint, Commands&) { }

    void on(const CapacityChanged&, core::TimePoint now, Commands& commands) { this->startWaiting(now, commands); }

    void start(Context context, core::TimePoint now, Commands& commands)
    {
        const std::optional<core::ServerIndex> server = this->chooser.choose(*context.table, context.classIndex, {}, this->random, now);
        if (!server) {
            if (this->queue.size() < this->options.queueLimit)
                this->queue.push_back(std::move(context));
            else
                commands.push_back(Reject { .request = context.arrival.request, .error = core::ErrorKind::Overloaded, .key = {}, .retryAfter = {} });
            return;
        }
        const core::AttemptId attempt { ++this->lastAttempt };
        commands.push_back(SendAttempt { .request = context.arrival.request, .attempt = attempt, .server = *server, .table = context.table, .deadline = context.deadline });
        const core::RequestId request = context.arrival.request;
        std::shared_ptr<core::SlotCount> slot = context.table->at(*server).inFlight;
        this->active.emplace(request, Active { .context = std::move(context), .attempt = attempt, .slot = std::move(slot) });
    }

    void startWaiting(core::TimePoint now, Commands& commands)
    {
        for (std::size_t count = this->queue.size(); count > 0; --count) {
            Context context = std::move(this->queue.front());
            this->queue.pop_front();
            context.table = this->table;
            this->start(std::move(context), now, commands);
        }
    }

    Options options;
    ChooserType chooser;
    core::RandomEngine random;
    core::SteeringTablePointer table;
    ArrivalPipe arrivalPipe { Classify {} };
    std::unordered_map<core::RequestId, Active> active;
    std::deque<Context> queue;
    std::uint64_t lastAttempt = 0;
};

}
