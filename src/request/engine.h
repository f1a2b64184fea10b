#pragma once

#include "request/pipeline.h"

namespace cranberryshed::request {

// The request path of one traffic thread. It takes typed events and returns typed commands, without I/O.
//
// Neither copyable nor movable, because the filters hold references to the state.
template <Chooser ChooserType>
class Engine {
public:
    using Options = EngineOptions;

    Engine(EngineOptions engineOptions, ChooserType serverChooser, SharedState shared, std::uint64_t seed)
        : state(engineOptions, std::move(shared), seed)
        , chooser(std::move(serverChooser))
    {
    }

    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Sets the table for all later decisions. The caller must pass a CapacityChanged event to handle() afterwards.
    void setTable(core::SteeringTablePointer newTable) { this->state.setTable(std::move(newTable)); }

    // Handles one event. Appends commands for the front end to `commands` and observations for control to
    // `observations`, in order. Requires an earlier setTable().
    void handle(const Event& event, core::TimePoint now, Commands& commands, Observations& observations)
    {
        this->state.beginEvent(now, commands, observations);
        std::visit([&](const auto& typed) { this->on(typed, now); }, event);
        this->capacityPipe(Done {}, now); // after every event: ends overdue attempts, sweeps, and sends waiting requests
    }

    // Number of requests that wait for a slot or for an isolated run. If it is not 0, the front end must send
    // CapacityChanged when another thread releases a slot.
    std::size_t waitingCount() const { return this->state.queue.size() + this->state.waitingSuspects.size(); }

    // Number of requests that have not ended.
    std::size_t activeRequestCount() const { return this->state.activeRequests.size(); }

    // Number of attempts that have not ended.
    std::size_t attemptCount() const { return this->state.attempts.size(); }

private:
    void on(const RequestArrived& arrival, core::TimePoint now)
    {
        if (this->state.find(arrival.request))
            return; // A duplicate event: the request is already active.
        core::Outcome outcome = this->arrivalPipe(Context { .arrival = arrival, .table = this->state.table }, now);
        if (outcome.ended())
            this->state.emit(std::move(outcome.answer()));
        else
            this->sendPipe(outcome.output(), now);
    }

    void on(const AnswerStarted& started, core::TimePoint now) { this->answerPipe(started, now); }
    void on(const AttemptEnded& ended, core::TimePoint now) { this->attemptEndPipe(ended, now); }
    void on(const CallerDisconnected& gone, core::TimePoint now) { this->callerDisconnectedPipe(gone.request, now); }
    void on(const CapacityChanged&, core::TimePoint) { }
    void on(const ServerChecked& checked, core::TimePoint now) { this->serverCheckedPipe(checked, now); }

    void on(const TimerDue& timer, core::TimePoint now)
    {
        core::Outcome outcome = this->timerPipe(timer.request, now);
        if (!outcome.ended())
            this->sendPipe(outcome.output(), now);
    }

    State state;
    ChooserType chooser;
    ArrivalPipe arrivalPipe { Classify {}, SplitRoute { state }, CheckShutdown { state }, CheckQuarantine { state }, CheckCrashes { state }, CheckCapacity { state }, ClaimKey { state }, RegisterRequest { state } };
    SendPipe<ChooserType> sendPipe { Rebind { state }, DivertSuspect { state }, WithholdAttempt { state }, ChooseServer<ChooserType> { state, chooser }, Send { state } };
    AnswerPipe answerPipe { FindAnswered { state }, Relay { state } };
    AttemptEndPipe<ChooserType> attemptEndPipe { TakeAttempt { state }, ReleaseSlot { state }, RecordResult { state }, NotifyChooser<ChooserType> { state, chooser }, RecordCrash { state }, CountCrash { state }, RetryOrEnd { state } };
    TimerPipe timerPipe { FindRequest { state }, EnforceDeadline { state }, TakeDueAttempt { state } };
    CallerDisconnectedPipe callerDisconnectedPipe { FindRequest { state }, Abandon { state } };
    ServerCheckedPipe serverCheckedPipe { RecordServerCheck { state } };
    CapacityPipe<ChooserType> capacityPipe { EndOverdueAttempts<AttemptEndPipe<ChooserType>> { state, attemptEndPipe }, Sweep { state }, SendCleared<SendPipe<ChooserType>> { state, sendPipe }, IsolateSuspects { state }, SendQueued<SendPipe<ChooserType>> { state, sendPipe } };
};

}
