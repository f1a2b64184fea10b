#pragma once

#include "decisions/scenario.h"

#include <memory>
#include <unordered_map>

namespace cranberryshed::bench {

// A FIFO queue without limits or deadlines, for comparison with request::FairQueue.
class FifoQueue {
public:
    explicit FifoQueue(const request::FairQueue::Options&) { }

    request::OfferResult offer(const request::WaitingRequest& waiting, double, core::TimePoint)
    {
        this->items.push_back(waiting);
        return {};
    }

    template <typename TryStart>
    std::optional<core::RequestId> next(core::TimePoint, TryStart&& tryStart)
    {
        if (this->items.empty() || !tryStart(std::as_const(this->items.front())))
            return std::nullopt;
        const core::RequestId request = this->items.front().request;
        this->items.pop_front();
        return request;
    }

    std::vector<core::RequestId> expire(core::TimePoint) { return {}; }
    std::size_t size() const { return this->items.size(); }

private:
    std::deque<request::WaitingRequest> items;
};

// Simulates a scenario in which each entry VM has its own chooser and its own queue of waiting requests.
template <request::Chooser ChooserType, typename QueueType = request::FairQueue>
class ChooserSimulation {
public:
    using MakeChooser = std::function<ChooserType()>;

    ChooserSimulation(const Scenario& simulatedScenario, const Workload& drawnWorkload, std::uint64_t seed, const MakeChooser& makeChooser)
        : scenario(simulatedScenario)
        , workload(drawnWorkload)
        , servers(simulatedScenario.servers)
        , measureStart(core::TimePoint {} + core::Duration(static_cast<std::int64_t>(simulatedScenario.durationSeconds * 0.1e6)))
        , measureEnd(core::TimePoint {} + core::Duration(static_cast<std::int64_t>(simulatedScenario.durationSeconds * 1e6)))
        , result { .classes = std::vector<ClassResult>(simulatedScenario.classes.size()), .capacitySeconds = simulatedScenario.durationSeconds * 0.9 * simulatedScenario.servers * slotsPerServer }
    {
        for (std::uint32_t i = 0; i < this->scenario.entryVms; ++i)
            this->entryVms.emplace_back(makeChooser(), this->scenario, i, seed);
        for (const WorkClass& workClass : this->scenario.classes)
            this->classKeys.push_back(core::hashBytes(workClass.name));
    }

    SimulationResult run()
    {
        for (std::size_t i = 0; i < this->workload.jobs.size(); ++i)
            this->eventQueue.add(this->workload.jobs[i].arrival, Event::Kind::Arrival, i);
        for (std::size_t i = 0; i < this->workload.speedChanges.size(); ++i)
            this->eventQueue.add(this->workload.speedChanges[i].time, Event::Kind::SpeedChanged, i);
        for (auto time = core::Duration(0); time < std::chrono::duration<double>(this->scenario.durationSeconds); time += this->scenario.reportInterval)
            this->eventQueue.add(core::TimePoint {} + time, Event::Kind::ReportTaken, 0);
        while (!this->eventQueue.empty())
            this->handle(this->eventQueue.take());
        return std::move(this->result);
    }

private:
    struct EntryVm {
        EntryVm(ChooserType vmChooser, const Scenario& scenario, std::uint32_t self, std::uint64_t seed)
            : chooser(std::move(vmChooser))
            , table(makeTable(scenario, self))
            , queue(request::FairQueue::Options { .maxRequests = 5000, .maxExpectedWait = scenario.maxExpectedWait })
            , random(seed * 100 + self)
            , headLatency(scenario.hedge.quantile)
            , hedgeBudget(scenario.hedge.budget)
        {
        }

        ChooserType chooser;
        std::shared_ptr<core::SteeringTable> table;
        QueueType queue;
        request::SlotTimes times;
        core::RandomEngine random;
        request::QuantileTracker headLatency;
        request::TokenBudget hedgeBudget;
        std::uint32_t inFlight = 0;
    };

    struct Attempt {
        std::uint32_t job = 0;
        std::uint32_t server = 0;
        core::TimePoint startedAt {};
        std::uint64_t otherAttempt = 0; // number of the job's other attempt plus 1; 0: none
        bool hasEnded = false;
    };

    void handle(const Event& event)
    {
        using Kind = Event::Kind;
        switch (event.kind) {
        case Kind::Arrival:
            return this->arrive(static_cast<std::uint32_t>(event.subject), event.time);
        case Kind::ReachedServer: {
            const Attempt& attempt = this->attempts[event.subject];
            if (attempt.hasEnded)
                return;
            this->servers[attempt.server].add(event.subject, this->workload.jobs[attempt.job].serviceSeconds, event.time);
            return this->schedule(attempt.server, event.time);
        }
        case Kind::Finished:
            if (const auto finished = this->servers[event.subject].finish(event.version, event.time)) {
                this->eventQueue.add(event.time + this->scenario.oneWayDelay, Kind::ReachedEntryVm, *finished);
                this->schedule(static_cast<std::uint32_t>(event.subject), event.time);
            }
            return;
        case Kind::ReachedEntryVm:
            return this->answer(event.subject, event.time);
        case Kind::Cancelled:
            this->servers[this->attempts[event.subject].server].cancel(event.subject, event.time);
            return this->schedule(this->attempts[event.subject].server, event.time);
        case Kind::HedgeDue:
            return this->hedge(event.subject, event.time);
        case Kind::SpeedChanged: {
            const SpeedChange& speedChange = this->workload.speedChanges[event.subject];
            this->servers[speedChange.server].setSpeed(speedChange.isSlow ? 1 / this->scenario.slowdownFactor : 1, event.time);
            return this->schedule(speedChange.server, event.time);
        }
        case Kind::ReportTaken:
            this->reports.emplace_back();
            for (const SimulatedServer& server : this->servers)
                this->reports.back().push_back(server.inFlight());
            return this->eventQueue.add(event.time + this->scenario.reportDelay, Kind::ReportArrived, this->reports.size() - 1);
        case Kind::ReportArrived:
            return this->publish(this->reports[event.subject], event.time);
        case Kind::QueueCheck:
            return this->startWaiting(this->entryVms[event.subject], event.time);
        }
    }

    void schedule(std::uint32_t server, core::TimePoint now)
    {
        if (const auto next = this->servers[server].nextFinish(now))
            this->eventQueue.add(*next, Event::Kind::Finished, server, this->servers[server].version);
    }

    void arrive(std::uint32_t jobIndex, core::TimePoint now)
    {
        const Job& job = this->workload.jobs[jobIndex];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        // A new request doesn't overtake the requests that wait.
        if (entryVm.queue.size() == 0 && this->tryStart(entryVm, jobIndex, now))
            return;
        const std::uint64_t classKey = this->classKeys[job.classIndex];
        const request::OfferResult offer = entryVm.queue.offer({ .request = core::RequestId { jobIndex }, .serviceKey = 1, .classKey = classKey, .caller = core::CallerAddress { job.caller }, .arrival = now, .deadline = now + this->scenario.classes[job.classIndex].deadline, .slotTime = entryVm.times.mean(classKey) }, entryVm.inFlight, now);
        if (offer.rejection)
            this->reject(jobIndex);
        if (offer.evicted)
            this->reject(static_cast<std::uint32_t>(*offer.evicted));
        this->startWaiting(entryVm, now);
    }

    bool tryStart(EntryVm& entryVm, std::uint32_t jobIndex, core::TimePoint now, std::span<const core::ServerIndex> excluded = {})
    {
        const Job& job = this->workload.jobs[jobIndex];
        const std::optional<core::ServerIndex> server = entryVm.chooser.choose({ .table = *entryVm.table, .classIndex = core::ClassIndex { job.classIndex }, .excluded = excluded }, entryVm.random, now);
        if (!server)
            return false;
        ++this->result.attempts;
        ++entryVm.inFlight;
        this->attempts.push_back({ .job = jobIndex, .server = server->value, .startedAt = now });
        this->eventQueue.add(now + this->scenario.oneWayDelay, Event::Kind::ReachedServer, this->attempts.size() - 1);
        const auto delay = request::hedgeDelay({ .length = this->scenario.classes[job.classIndex].length }, this->scenario.hedge, entryVm.headLatency);
        if (delay && excluded.empty())
            this->eventQueue.add(now + *delay, Event::Kind::HedgeDue, this->attempts.size() - 1);
        return true;
    }

    void hedge(std::uint64_t firstAttempt, core::TimePoint now)
    {
        if (this->attempts[firstAttempt].hasEnded)
            return;
        EntryVm& entryVm = this->entryVms[this->workload.jobs[this->attempts[firstAttempt].job].entryVm];
        const core::ServerIndex server { this->attempts[firstAttempt].server };
        const double load = entryVm.inFlight * this->scenario.entryVms / static_cast<double>(this->scenario.servers * slotsPerServer);
        if (!request::tryHedge(this->scenario.hedge, load, entryVm.hedgeBudget, now) || !this->tryStart(entryVm, this->attempts[firstAttempt].job, now, std::span(&server, 1)))
            return;
        ++this->result.hedges;
        this->attempts[firstAttempt].otherAttempt = this->attempts.size();
        this->attempts.back().otherAttempt = firstAttempt + 1;
    }

    // Releases the attempt's slot and reports its end to the chooser.
    void endAttempt(std::uint64_t attemptNumber, core::AttemptResult attemptResult, core::TimePoint now)
    {
        Attempt& attempt = this->attempts[attemptNumber];
        const Job& job = this->workload.jobs[attempt.job];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        attempt.hasEnded = true;
        --entryVm.inFlight;
        entryVm.table->servers[attempt.server].slotCounter->release();
        if constexpr (request::LearningChooser<ChooserType>)
            entryVm.chooser.recordEnd({ .serverKey = entryVm.table->servers[attempt.server].key, .classKey = this->classKeys[job.classIndex], .length = this->scenario.classes[job.classIndex].length, .startedAt = attempt.startedAt, .result = attemptResult }, now);
    }

    void answer(std::uint64_t attemptNumber, core::TimePoint now)
    {
        const Attempt& attempt = this->attempts[attemptNumber];
        if (attempt.hasEnded)
            return; // cancelled while the answer was on its way
        const Job& job = this->workload.jobs[attempt.job];
        const WorkClass& workClass = this->scenario.classes[job.classIndex];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        entryVm.times.add(this->classKeys[job.classIndex], now - attempt.startedAt);
        entryVm.headLatency.add(now - attempt.startedAt);
        entryVm.hedgeBudget.onSuccess();
        this->endAttempt(attemptNumber, core::AttemptResult::Answered, now);
        if (attempt.otherAttempt != 0 && !this->attempts[attempt.otherAttempt - 1].hasEnded) {
            this->endAttempt(attempt.otherAttempt - 1, core::AttemptResult::Cancelled, now);
            this->eventQueue.add(now + this->scenario.oneWayDelay, Event::Kind::Cancelled, attempt.otherAttempt - 1);
        }
        ClassResult& classResult = this->result.classes[job.classIndex];
        const bool inTime = now <= job.arrival + workClass.deadline;
        if (now >= this->measureStart && now < this->measureEnd && inTime)
            classResult.goodputSeconds += job.serviceSeconds;
        if (job.arrival >= this->measureStart) {
            classResult.latencySeconds.push_back(std::chrono::duration<double>(now - job.arrival).count());
            classResult.lateCount += inTime ? 0 : 1;
        }
        this->startWaiting(entryVm, now);
    }

    void reject(std::uint32_t jobIndex)
    {
        const Job& job = this->workload.jobs[jobIndex];
        if (job.arrival >= this->measureStart)
            ++this->result.classes[job.classIndex].rejectedCount;
    }

    // Rejects expired requests and starts as many waiting ones as there are slots for. If requests wait and none is in
    // flight, no answer would trigger the next check, so that one is scheduled.
    void startWaiting(EntryVm& entryVm, core::TimePoint now)
    {
        for (core::RequestId expired : entryVm.queue.expire(now))
            this->reject(static_cast<std::uint32_t>(expired));
        while (entryVm.queue.next(now, [&](const request::WaitingRequest& waiting) { return this->tryStart(entryVm, static_cast<std::uint32_t>(waiting.request), now); })) { }
        if (entryVm.inFlight == 0 && entryVm.queue.size() > 0)
            this->eventQueue.add(now + std::chrono::milliseconds(10), Event::Kind::QueueCheck, static_cast<std::uint64_t>(&entryVm - this->entryVms.data()));
    }

    void publish(const std::vector<std::uint32_t>& report, core::TimePoint now)
    {
        for (EntryVm& entryVm : this->entryVms) {
            ++entryVm.table->generation;
            for (std::size_t i = 0; i < report.size(); ++i)
                entryVm.table->servers[i].report = core::LoadReport { .inFlight = report[i], .receivedAt = now };
            this->startWaiting(entryVm, now);
        }
    }

    const Scenario& scenario;
    const Workload& workload;
    std::vector<SimulatedServer> servers;
    std::vector<EntryVm> entryVms;
    std::vector<std::uint64_t> classKeys;
    std::deque<Attempt> attempts;
    std::vector<std::vector<std::uint32_t>> reports;
    EventQueue eventQueue;
    core::TimePoint measureStart; // requests that arrive earlier are warm-up
    core::TimePoint measureEnd; // goodput is counted until then
    SimulationResult result;
};

template <request::Chooser ChooserType, typename QueueType = request::FairQueue>
SimulationResult simulateChooser(
    const Scenario& scenario, const Workload& workload, std::uint64_t seed, const std::function<ChooserType()>& makeChooser = [] { return ChooserType {}; })
{
    return ChooserSimulation<ChooserType, QueueType>(scenario, workload, seed, makeChooser).run();
}

}
