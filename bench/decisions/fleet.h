#pragma once

#include "decisions/rig.h"

#include <memory>
#include <unordered_map>

namespace cranberryshed::bench {

// First in, first out, without bounds or deadlines. For comparison.
class PlainQueue {
public:
    explicit PlainQueue(const request::FairQueue::Options&) { }

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

// Runs a scenario with one chooser and one wait queue per entry VM.
template <request::Chooser ChooserType, typename QueueType = request::FairQueue>
class Fleet {
public:
    using MakeChooser = std::function<ChooserType()>;

    Fleet(const Scenario& chosenScenario, const Events& drawnEvents, std::uint64_t seed, const MakeChooser& makeChooser)
        : scenario(chosenScenario)
        , events(drawnEvents)
        , servers(chosenScenario.servers)
        , warm(core::TimePoint {} + core::Duration(static_cast<std::int64_t>(chosenScenario.seconds * 0.1e6)))
        , end(core::TimePoint {} + core::Duration(static_cast<std::int64_t>(chosenScenario.seconds * 1e6)))
        , result { .classes = std::vector<ClassResult>(chosenScenario.classes.size()), .capacity = chosenScenario.seconds * 0.9 * chosenScenario.servers * slotsPerServer }
    {
        for (std::uint32_t i = 0; i < this->scenario.entryVms; ++i)
            this->entryVms.emplace_back(makeChooser(), this->scenario, i, seed);
        for (const WorkClass& workClass : this->scenario.classes)
            this->classKeys.push_back(core::hashBytes(workClass.name));
    }

    Result run()
    {
        for (std::size_t i = 0; i < this->events.jobs.size(); ++i)
            this->agenda.add(this->events.jobs[i].arrival, Happening::Kind::Arrival, i);
        for (std::size_t i = 0; i < this->events.moments.size(); ++i)
            this->agenda.add(this->events.moments[i].time, Happening::Kind::Moment, i);
        for (auto time = core::Duration(0); time < std::chrono::duration<double>(this->scenario.seconds); time += this->scenario.reportEvery)
            this->agenda.add(core::TimePoint {} + time, Happening::Kind::ReportTaken, 0);
        while (!this->agenda.empty())
            this->handle(this->agenda.take());
        return std::move(this->result);
    }

private:
    struct EntryVm {
        EntryVm(ChooserType vmChooser, const Scenario& scenario, std::uint32_t self, std::uint64_t seed)
            : chooser(std::move(vmChooser))
            , table(makeTable(scenario, self))
            , queue(request::FairQueue::Options { .maxRequests = 5000, .maxExpectedWait = scenario.queueLimit })
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
        std::uint64_t other = 0; // the job's second or first attempt plus 1; 0: none
        bool ended = false;
    };

    void handle(const Happening& event)
    {
        using Kind = Happening::Kind;
        switch (event.kind) {
        case Kind::Arrival:
            return this->arrive(static_cast<std::uint32_t>(event.subject), event.time);
        case Kind::AtServer: {
            const Attempt& attempt = this->attempts[event.subject];
            if (attempt.ended)
                return;
            this->servers[attempt.server].add(event.subject, this->events.jobs[attempt.job].work, event.time);
            return this->schedule(attempt.server, event.time);
        }
        case Kind::Finished:
            if (const auto finished = this->servers[event.subject].finish(event.version, event.time)) {
                this->agenda.add(event.time + this->scenario.oneWay, Kind::AtEntryVm, *finished);
                this->schedule(static_cast<std::uint32_t>(event.subject), event.time);
            }
            return;
        case Kind::AtEntryVm:
            return this->answer(event.subject, event.time);
        case Kind::Cancelled:
            this->servers[this->attempts[event.subject].server].cancel(event.subject, event.time);
            return this->schedule(this->attempts[event.subject].server, event.time);
        case Kind::HedgeDue:
            return this->hedge(event.subject, event.time);
        case Kind::Moment: {
            const SlowMoment& moment = this->events.moments[event.subject];
            this->servers[moment.server].setSpeed(moment.slow ? 1 / this->scenario.slowFactor : 1, event.time);
            return this->schedule(moment.server, event.time);
        }
        case Kind::ReportTaken:
            this->reports.emplace_back();
            for (const FakeServer& server : this->servers)
                this->reports.back().push_back(server.inFlight());
            return this->agenda.add(event.time + this->scenario.reportLag, Kind::ReportArrived, this->reports.size() - 1);
        case Kind::ReportArrived:
            return this->publish(this->reports[event.subject], event.time);
        case Kind::Deadline:
            return this->wake(this->entryVms[event.subject], event.time);
        }
    }

    void schedule(std::uint32_t server, core::TimePoint now)
    {
        if (const auto next = this->servers[server].nextFinish(now))
            this->agenda.add(*next, Happening::Kind::Finished, server, this->servers[server].version);
    }

    void arrive(std::uint32_t jobIndex, core::TimePoint now)
    {
        const Job& job = this->events.jobs[jobIndex];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        // A request that arrives while others of its class wait takes its turn among them.
        if (entryVm.queue.size() == 0 && this->tryStart(entryVm, jobIndex, now))
            return;
        const std::uint64_t classKey = this->classKeys[job.classIndex];
        const request::OfferResult offer = entryVm.queue.offer({ .request = core::RequestId { jobIndex }, .serviceKey = 1, .classKey = classKey, .caller = core::CallerAddress { job.caller }, .arrival = now, .deadline = now + this->scenario.classes[job.classIndex].deadline, .slotTime = entryVm.times.mean(classKey) }, entryVm.inFlight, now);
        if (offer.rejection)
            this->reject(jobIndex);
        if (offer.evicted)
            this->reject(static_cast<std::uint32_t>(*offer.evicted));
        this->wake(entryVm, now);
    }

    bool tryStart(EntryVm& entryVm, std::uint32_t jobIndex, core::TimePoint now, std::span<const core::ServerIndex> excluded = {})
    {
        const Job& job = this->events.jobs[jobIndex];
        const std::optional<core::ServerIndex> server = entryVm.chooser.choose({ .table = *entryVm.table, .classIndex = core::ClassIndex { job.classIndex }, .excluded = excluded }, entryVm.random, now);
        if (!server)
            return false;
        ++this->result.attempts;
        ++entryVm.inFlight;
        this->attempts.push_back({ .job = jobIndex, .server = server->value, .startedAt = now });
        this->agenda.add(now + this->scenario.oneWay, Happening::Kind::AtServer, this->attempts.size() - 1);
        const auto delay = request::hedgeDelay({ .length = this->scenario.classes[job.classIndex].length }, this->scenario.hedge, entryVm.headLatency);
        if (delay && excluded.empty())
            this->agenda.add(now + *delay, Happening::Kind::HedgeDue, this->attempts.size() - 1);
        return true;
    }

    void hedge(std::uint64_t first, core::TimePoint now)
    {
        if (this->attempts[first].ended)
            return;
        EntryVm& entryVm = this->entryVms[this->events.jobs[this->attempts[first].job].entryVm];
        const core::ServerIndex server { this->attempts[first].server };
        const double load = entryVm.inFlight * this->scenario.entryVms / static_cast<double>(this->scenario.servers * slotsPerServer);
        if (!request::tryHedge(this->scenario.hedge, load, entryVm.hedgeBudget, now) || !this->tryStart(entryVm, this->attempts[first].job, now, std::span(&server, 1)))
            return;
        ++this->result.hedges;
        this->attempts[first].other = this->attempts.size();
        this->attempts.back().other = first + 1;
    }

    // Gives back the attempt's slot and tells the chooser.
    void close(std::uint64_t number, core::AttemptResult attemptResult, core::TimePoint now)
    {
        Attempt& attempt = this->attempts[number];
        const Job& job = this->events.jobs[attempt.job];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        attempt.ended = true;
        --entryVm.inFlight;
        entryVm.table->servers[attempt.server].slotCounter->release();
        if constexpr (request::LearningChooser<ChooserType>)
            entryVm.chooser.recordEnd({ .serverKey = entryVm.table->servers[attempt.server].key, .classKey = this->classKeys[job.classIndex], .length = this->scenario.classes[job.classIndex].length, .startedAt = attempt.startedAt, .result = attemptResult }, now);
    }

    void answer(std::uint64_t number, core::TimePoint now)
    {
        const Attempt& attempt = this->attempts[number];
        if (attempt.ended)
            return; // was cancelled on its way back
        const Job& job = this->events.jobs[attempt.job];
        const WorkClass& workClass = this->scenario.classes[job.classIndex];
        EntryVm& entryVm = this->entryVms[job.entryVm];
        entryVm.times.add(this->classKeys[job.classIndex], now - attempt.startedAt);
        entryVm.headLatency.add(now - attempt.startedAt);
        entryVm.hedgeBudget.onSuccess();
        this->close(number, core::AttemptResult::Answered, now);
        if (attempt.other != 0 && !this->attempts[attempt.other - 1].ended) {
            this->close(attempt.other - 1, core::AttemptResult::Cancelled, now);
            this->agenda.add(now + this->scenario.oneWay, Happening::Kind::Cancelled, attempt.other - 1);
        }
        ClassResult& classResult = this->result.classes[job.classIndex];
        const bool inTime = now <= job.arrival + workClass.deadline;
        if (now >= this->warm && now < this->end && inTime)
            classResult.goodWork += job.work;
        if (job.arrival >= this->warm) {
            classResult.latencies.push_back(std::chrono::duration<double>(now - job.arrival).count());
            classResult.late += inTime ? 0 : 1;
        }
        this->wake(entryVm, now);
    }

    void reject(std::uint32_t jobIndex)
    {
        const Job& job = this->events.jobs[jobIndex];
        if (job.arrival >= this->warm)
            ++this->result.classes[job.classIndex].rejected;
    }

    void wake(EntryVm& entryVm, core::TimePoint now)
    {
        for (core::RequestId expired : entryVm.queue.expire(now))
            this->reject(static_cast<std::uint32_t>(expired));
        while (entryVm.queue.next(now, [&](const request::WaitingRequest& waiting) { return this->tryStart(entryVm, static_cast<std::uint32_t>(waiting.request), now); })) { }
        if (entryVm.inFlight == 0 && entryVm.queue.size() > 0)
            this->agenda.add(now + std::chrono::milliseconds(10), Happening::Kind::Deadline, static_cast<std::uint64_t>(&entryVm - this->entryVms.data()));
    }

    void publish(const std::vector<std::uint32_t>& report, core::TimePoint now)
    {
        for (EntryVm& entryVm : this->entryVms) {
            ++entryVm.table->generation;
            for (std::size_t i = 0; i < report.size(); ++i)
                entryVm.table->servers[i].report = core::LoadReport { .inFlight = report[i], .receivedAt = now };
            this->wake(entryVm, now);
        }
    }

    const Scenario& scenario;
    const Events& events;
    std::vector<FakeServer> servers;
    std::vector<EntryVm> entryVms;
    std::vector<std::uint64_t> classKeys;
    std::deque<Attempt> attempts;
    std::vector<std::vector<std::uint32_t>> reports;
    Agenda agenda;
    core::TimePoint warm; // measured from here ...
    core::TimePoint end; // ... to here
    Result result;
};

template <request::Chooser ChooserType, typename QueueType = request::FairQueue>
Result runFleet(
    const Scenario& scenario, const Events& events, std::uint64_t seed, const std::function<ChooserType()>& makeChooser = [] { return ChooserType {}; })
{
    return Fleet<ChooserType, QueueType>(scenario, events, seed, makeChooser).run();
}

}
