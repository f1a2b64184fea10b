#pragma once

#include "request/engine.h"
#include "rig/fake_server.h"
#include "rig/tables.h"

#include <map>
#include <set>

namespace cranberryshed::rig {

// Faults on the way between a server, the front end and the engine, each with its probability.
struct Faults {
    double duplicateProbability = 0; // an event comes twice, the second time late
    double wrongRequestProbability = 0; // an event comes also with another request's id
    double lossProbability = 0; // a server's answer never arrives, or a timer is never delivered
    double reorderProbability = 0; // an attempt's end overtakes the head of its answer
    core::Duration maxJitter {}; // added to each delivery, from 0
};

struct EngineSimulationOptions {
    TableOptions table {};
    std::size_t vmCount = 3;
    FakeServer::Options server {};
    core::Duration oneWayDelay = std::chrono::microseconds(250); // between entry VM and server
    core::Duration gossipDelay = std::chrono::milliseconds(500); // until a crash is known at the other entry VMs
    core::Duration detectionDelay = std::chrono::milliseconds(150); // until control ejects a server that refuses connections; 0: never
    core::Duration ejectionDuration = std::chrono::seconds(1); // then traffic tries it again
    Faults faults {};
};

// What a front end saw of one request.
struct RequestRecord {
    std::size_t vm = 0;
    unsigned incarnation = 0; // of the entry VM
    std::size_t jobIndex = 0;
    unsigned runCount = 0; // attempts that a server began to run
    unsigned endCount = 0; // Reject, or AttemptEnded after RelayAnswer
    bool wasReportedNotRun = false;
    std::optional<core::AttemptId> relayedAttempt;
    core::TimePoint arrivedAt {};
};

// What a caller gets.
struct CallerResult {
    std::optional<core::ErrorKind> error; // none: answered, or isLost
    bool isLost = false; // the entry VM died
    std::string issuedKey; // with KeyRequired
    core::TimePoint endedAt {};
};

struct SimulationCounts {
    std::uint64_t misdirectedAnswers = 0; // a caller got the answer to another request
    std::uint64_t duplicateEnds = 0;
    std::uint64_t attempts = 0;
};

// Entry VMs' engines, their front ends and a row of backend servers, in simulated time and without I/O.
template <typename EngineType>
class EngineSimulation {
public:
    using MakeEngine = std::function<std::unique_ptr<EngineType>(std::size_t vm, const request::SharedState&)>;
    using Report = std::function<void(core::RequestId, const CallerResult&)>;

    struct Vm {
        std::unique_ptr<EngineType> engine; // none while the process is down
        request::SharedState shared;
        std::shared_ptr<core::SteeringTable> table;
        unsigned incarnation = 0;
    };

    EngineSimulation(EngineSimulationOptions simulationOptions, std::uint64_t seed, MakeEngine engineMaker)
        : options(simulationOptions)
        , random(seed)
        , makeEngine(std::move(engineMaker))
    {
        this->options.table.members = static_cast<std::uint32_t>(this->options.vmCount);
        for (std::uint32_t i = 0; i < this->options.table.servers; ++i)
            this->servers.push_back(std::make_unique<FakeServer>(this->scheduler, this->options.server));
        this->vms.resize(this->options.vmCount);
        for (std::size_t i = 0; i < this->vms.size(); ++i)
            this->startVm(i);
    }

    // Starts the process of an entry VM with a new incarnation and empty memory.
    void startVm(std::size_t index)
    {
        Vm& vm = this->vms[index];
        ++vm.incarnation;
        TableOptions tableOptions = this->options.table;
        tableOptions.self = static_cast<std::uint32_t>(index);
        vm.shared = request::makeSharedState("vm" + std::to_string(index), core::Incarnation { vm.incarnation }, this->random());
        vm.engine = this->makeEngine(index, vm.shared);
        vm.table = makeTable(tableOptions);
        vm.table->suspectFingerprints = this->suspects;
        vm.table->quarantinedFingerprints = this->quarantined;
        vm.engine->setTable(vm.table);
    }

    // Publishes the servers' load reports at this interval from now on.
    void publishEvery(core::Duration interval)
    {
        this->scheduler.after(interval, [this, interval] {
            this->publish();
            this->publishEvery(interval);
        });
    }

    // Kills the process: open requests of callers are lost, servers see closed connections.
    void killVm(std::size_t index)
    {
        Vm& vm = this->vms[index];
        vm.engine.reset();
        std::vector<core::RequestId> open;
        for (const auto& [id, record] : this->requestRecords) {
            if (record.vm == index && record.incarnation == vm.incarnation && record.endCount == 0)
                open.push_back(id);
        }
        for (core::RequestId id : open) {
            this->requestRecords[id].endCount = 1;
            this->reports[id](id, { .error = {}, .isLost = true, .issuedKey = {}, .endedAt = this->scheduler.now() });
        }
    }

    // A caller sends a request to an entry VM that is up. `report` is called once.
    core::RequestId send(std::size_t vm, std::size_t jobIndex, request::RequestArrived arrival, bool poison, core::Duration work, Report report)
    {
        const core::RequestId id { ++this->lastRequest };
        arrival.request = id;
        this->requestRecords[id] = { .vm = vm, .incarnation = this->vms[vm].incarnation, .jobIndex = jobIndex, .relayedAttempt = {}, .arrivedAt = this->scheduler.now() };
        this->reports[id] = std::move(report);
        this->workOf[id] = { poison, work };
        this->deliver(vm, this->vms[vm].incarnation, request::Event(std::move(arrival)));
        return id;
    }

    // Delivers an event to the process that it was meant for, and carries out the commands.
    void deliver(std::size_t index, unsigned incarnation, const request::Event& event)
    {
        Vm& vm = this->vms[index];
        if (!vm.engine || vm.incarnation != incarnation)
            return;
        request::Commands commands;
        request::Observations observations;
        vm.engine->handle(event, this->scheduler.now(), commands, observations);
        for (const request::Command& command : commands)
            std::visit([&](const auto& typed) { this->execute(index, incarnation, typed); }, command);
        for (const request::Observation& observation : observations)
            this->observe(observation);
    }

    // A new table with the present suspects and server states, for every entry VM.
    void publish()
    {
        for (std::size_t i = 0; i < this->vms.size(); ++i) {
            Vm& vm = this->vms[i];
            if (!vm.engine)
                continue;
            auto next = std::make_shared<core::SteeringTable>(*vm.table);
            ++next->generation;
            next->suspectFingerprints = this->suspects;
            next->quarantinedFingerprints = this->quarantined;
            for (std::size_t m = 0; m < next->members.size(); ++m)
                next->members[m].state = this->vms[m].engine ? core::MemberState::Alive : core::MemberState::Dead;
            for (std::size_t s = 0; s < next->servers.size(); ++s) {
                next->servers[s].report = core::LoadReport { .inFlight = this->servers[s]->load(), .receivedAt = this->scheduler.now() };
                next->servers[s].state = this->ejected.contains(s) ? core::ServerState::Ejected : core::ServerState::Active;
            }
            vm.table = next;
            vm.engine->setTable(next);
            this->deliver(i, vm.incarnation, request::CapacityChanged {});
        }
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }
    core::Duration upTo(core::Duration most) { return core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, most.count())(this->random)); }

    EngineSimulationOptions options;
    Scheduler scheduler;
    core::RandomEngine random;
    std::vector<std::unique_ptr<FakeServer>> servers;
    std::vector<Vm> vms;
    std::map<core::RequestId, RequestRecord> requestRecords;
    std::unordered_set<std::uint64_t> suspects;
    std::unordered_set<std::uint64_t> quarantined;
    SimulationCounts counts;

private:
    struct Sent {
        core::RequestId request {};
        std::size_t vm = 0;
        unsigned incarnation = 0;
        std::size_t server = 0;
        std::uint64_t workId = 0;
        bool over = false; // its end was reported
    };

    using SentPointer = std::shared_ptr<Sent>;

    void execute(std::size_t vm, unsigned incarnation, const request::SendAttempt& command)
    {
        ++this->counts.attempts;
        auto sent = std::make_shared<Sent>(Sent { .request = command.request, .vm = vm, .incarnation = incarnation, .server = command.server.value, .workId = ++this->lastWork });
        this->sentAttempts[{ vm, incarnation, command.attempt }] = sent;
        const auto [poison, time] = this->workOf[command.request];
        ServerTask task { .id = sent->workId, .serviceTime = time, .isPoison = poison, .onRun = [this, request = command.request] { ++this->requestRecords[request].runCount; }, .onEnd = {} };
        task.onEnd = [this, sent, attempt = command.attempt](core::AttemptResult result) { this->onServerEnd(sent, attempt, result); };
        this->scheduler.after(this->options.oneWayDelay + this->upTo(this->options.faults.maxJitter), [this, sent, task] {
            if (!sent->over)
                this->servers[sent->server]->submit(task);
        });
    }

    // The server is done with an attempt; the front end hears of it later.
    void onServerEnd(const SentPointer& sent, core::AttemptId attempt, core::AttemptResult result)
    {
        if (result == core::AttemptResult::Answered && this->chance(this->options.faults.lossProbability))
            return;
        if (result == core::AttemptResult::ConnectFailed)
            this->eject(sent->server);
        core::Duration delay = this->options.oneWayDelay + this->upTo(this->options.faults.maxJitter);
        if (result == core::AttemptResult::Answered) {
            const bool overtaken = this->chance(this->options.faults.reorderProbability);
            this->inform(sent, delay + core::Duration(overtaken ? 200 : 0), request::AnswerStarted { .request = sent->request, .attempt = attempt, .status = 200 });
            delay += core::Duration(100);
        }
        this->scheduler.after(delay, [this, sent, attempt, result] { this->endAttempt(sent, attempt, result, result == core::AttemptResult::Answered ? 200 : 0); });
    }

    // The front end reports each attempt's end once; a faulty one reports it again, later.
    void endAttempt(const SentPointer& sent, core::AttemptId attempt, core::AttemptResult result, std::uint16_t status)
    {
        if (sent->over)
            return;
        sent->over = true;
        RequestRecord& record = this->requestRecords[sent->request];
        if (record.relayedAttempt == attempt && record.endCount == 0) {
            ++record.endCount;
            this->reports[sent->request](sent->request, { .error = {}, .issuedKey = {}, .endedAt = this->scheduler.now() });
        }
        this->inform(sent, {}, request::AttemptEnded { .request = sent->request, .attempt = attempt, .result = result, .status = status, .retryAfter = {} });
    }

    template <typename EventType>
    void inform(const SentPointer& sent, core::Duration delay, EventType event)
    {
        const auto later = [&](core::Duration extra, EventType copy) {
            this->scheduler.after(delay + extra, [this, sent, copy] { this->deliver(sent->vm, sent->incarnation, request::Event(copy)); });
        };
        later({}, event);
        if (this->chance(this->options.faults.duplicateProbability))
            later(this->upTo(std::chrono::milliseconds(20)), event);
        if (this->chance(this->options.faults.wrongRequestProbability)) {
            EventType crossed = event;
            crossed.request = core::RequestId { static_cast<std::uint64_t>(event.request) - 1 - this->random() % 8 };
            later(this->upTo(std::chrono::milliseconds(5)), crossed);
        }
    }

    void execute(std::size_t vm, unsigned incarnation, const request::CancelAttempt& command)
    {
        const SentPointer sent = this->sentAttempts.at({ vm, incarnation, command.attempt });
        this->scheduler.after(this->options.oneWayDelay, [this, sent] { this->servers[sent->server]->cancel(sent->workId); });
        if (!this->chance(this->options.faults.lossProbability))
            this->endAttempt(sent, command.attempt, core::AttemptResult::Cancelled, 0);
        sent->over = true;
    }

    void execute(std::size_t vm, unsigned incarnation, const request::RelayAnswer& command)
    {
        RequestRecord& record = this->requestRecords[command.request];
        if (this->sentAttempts.at({ vm, incarnation, command.attempt })->request != command.request)
            ++this->counts.misdirectedAnswers;
        if (record.relayedAttempt || record.endCount > 0)
            ++this->counts.duplicateEnds;
        record.relayedAttempt = command.attempt;
    }

    void execute(std::size_t, unsigned, const request::Reject& command)
    {
        RequestRecord& record = this->requestRecords[command.request];
        if (record.relayedAttempt || record.endCount > 0)
            ++this->counts.duplicateEnds;
        ++record.endCount;
        record.wasReportedNotRun = core::errorInfo(command.error).runState == core::RunState::NotRun;
        const CallerResult result { .error = command.error, .issuedKey = command.key, .endedAt = this->scheduler.now() };
        this->scheduler.after(core::Duration(1), [this, id = command.request, result] { this->reports[id](id, result); });
    }

    void execute(std::size_t vm, unsigned incarnation, const request::SetTimer& command)
    {
        if (this->chance(this->options.faults.lossProbability))
            return;
        this->scheduler.after(command.time - this->scheduler.now(), [this, vm, incarnation, id = command.request] { this->deliver(vm, incarnation, request::TimerDue { .request = id }); });
    }

    // Stands in for control: suspects and quarantines reach every entry VM after the gossip delay.
    void observe(const request::Observation& observation)
    {
        if (const auto* crash = std::get_if<request::CrashObserved>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, crash = *crash] {
                for (core::Fingerprint fingerprint : crash.inFlight)
                    (crash.isolated ? this->quarantined : this->suspects).insert(static_cast<std::uint64_t>(fingerprint));
                this->publish();
            });
        } else if (const auto* cleared = std::get_if<request::SuspectCleared>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, fingerprint = cleared->fingerprint] {
                this->suspects.erase(static_cast<std::uint64_t>(fingerprint));
                this->publish();
            });
        }
    }

    // Stands in for control's judgement of a server that refuses connections.
    void eject(std::size_t server)
    {
        if (this->options.detectionDelay == core::Duration::zero() || !this->suspected.insert(server).second)
            return;
        this->scheduler.after(this->options.detectionDelay, [this, server] {
            this->ejected.insert(server);
            this->publish();
        });
        this->scheduler.after(this->options.detectionDelay + this->options.ejectionDuration, [this, server] {
            this->ejected.erase(server);
            this->suspected.erase(server);
            this->publish();
        });
    }

    MakeEngine makeEngine;
    std::map<std::tuple<std::size_t, unsigned, core::AttemptId>, SentPointer> sentAttempts;
    std::map<core::RequestId, Report> reports;
    std::map<core::RequestId, std::pair<bool, core::Duration>> workOf;
    std::set<std::size_t> suspected;
    std::set<std::size_t> ejected;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastWork = 0;
};

}
