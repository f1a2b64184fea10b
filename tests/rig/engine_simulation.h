#pragma once

#include "request/engine.h"
#include "rig/fake_server.h"
#include "rig/tables.h"

#include <map>
#include <set>

namespace cranberryshed::rig {

// Faults between a server, the front end and the engine, with their probabilities.
struct Faults {
    double duplicateProbability = 0; // an event is delivered again after up to 20 ms
    double wrongRequestProbability = 0; // an event is also delivered with the id of an earlier request
    double lossProbability = 0; // a server's answer or a timer event is never delivered
    double reorderProbability = 0; // the end of an attempt arrives before the head of its answer
    core::Duration maxJitter {}; // each delivery is delayed by a random time up to this
};

struct EngineSimulationOptions {
    TableOptions table {};
    std::size_t vmCount = 3;
    FakeServer::Options server {};
    core::Duration oneWayDelay = std::chrono::microseconds(250); // between an entry VM and a server
    core::Duration gossipDelay = std::chrono::milliseconds(500); // until suspects and quarantines reach all entry VMs
    core::Duration detectionDelay = std::chrono::milliseconds(150); // until a server that refuses connections is ejected; 0: never
    core::Duration ejectionDuration = std::chrono::seconds(1); // until the server gets requests again
    Faults faults {};
    request::CrashOptions crashes {};
};

// The front end's record of one request.
struct RequestRecord {
    std::size_t vm = 0;
    unsigned incarnation = 0; // of the entry VM
    std::size_t jobIndex = 0;
    unsigned runCount = 0; // attempts that a server started to run
    unsigned endCount = 0; // by Reject, by AttemptEnded after RelayAnswer, or by the end of the entry VM's process
    bool wasReportedNotRun = false;
    std::optional<core::AttemptId> relayedAttempt;
    std::optional<core::ErrorKind> error; // of the Reject; none: answered or not ended
    core::TimePoint arrivedAt {};
};

// The result of a request for its caller.
struct CallerResult {
    std::optional<core::ErrorKind> error; // none: answered, unless isLost
    bool isLost = false; // the entry VM's process ended first
    std::string issuedKey; // the new request key that comes with KeyRequired
    core::TimePoint endedAt {};
};

struct SimulationCounts {
    std::uint64_t misdirectedAnswers = 0; // answers relayed to the caller of another request
    std::uint64_t duplicateEnds = 0; // answers or rejections after the first one of a request
    std::uint64_t attempts = 0;
};

// Simulates the engines of several entry VMs, their front ends and the backend servers, in simulated time and without
// I/O.
template <typename EngineType>
class EngineSimulation {
public:
    using MakeEngine = std::function<std::unique_ptr<EngineType>(std::size_t vm, const request::SharedState&)>;
    using OnResult = std::function<void(core::RequestId, const CallerResult&)>;

    struct Vm {
        std::unique_ptr<EngineType> engine; // null while the process is down
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

    // Starts the process of an entry VM with a new incarnation and without any earlier state.
    void startVm(std::size_t index)
    {
        Vm& vm = this->vms[index];
        ++vm.incarnation;
        TableOptions tableOptions = this->options.table;
        tableOptions.self = static_cast<std::uint32_t>(index);
        vm.shared = request::makeSharedState("vm" + std::to_string(index), core::Incarnation { vm.incarnation }, this->random(), {}, this->options.crashes);
        vm.engine = this->makeEngine(index, vm.shared);
        vm.table = makeTable(tableOptions);
        vm.table->suspectFingerprints = this->suspectFingerprints;
        vm.table->quarantinedFingerprints = this->quarantinedFingerprints;
        vm.engine->setTable(vm.table);
    }

    // Publishes tables with new load reports of the servers at this interval from now on.
    void publishTablesEvery(core::Duration interval)
    {
        this->scheduler.after(interval, [this, interval] {
            this->publishTables();
            this->publishTablesEvery(interval);
        });
    }

    // Ends the process of an entry VM: its callers lose their open requests.
    void killVm(std::size_t index)
    {
        Vm& vm = this->vms[index];
        vm.engine.reset();
        std::vector<core::RequestId> openRequests;
        for (const auto& [id, record] : this->requestRecords) {
            if (record.vm == index && record.incarnation == vm.incarnation && record.endCount == 0)
                openRequests.push_back(id);
        }
        for (core::RequestId id : openRequests) {
            this->requestRecords[id].endCount = 1;
            this->resultCallbacks[id](id, { .error = {}, .isLost = true, .issuedKey = {}, .endedAt = this->scheduler.now() });
        }
    }

    // Sends a caller's request to an entry VM, which must be running. Calls `onResult` once.
    core::RequestId send(std::size_t vm, std::size_t jobIndex, request::RequestArrived arrival, bool isPoison, core::Duration serviceTime, OnResult onResult)
    {
        const core::RequestId id { ++this->lastRequestId };
        arrival.request = id;
        this->requestRecords[id] = { .vm = vm, .incarnation = this->vms[vm].incarnation, .jobIndex = jobIndex, .relayedAttempt = {}, .error = {}, .arrivedAt = this->scheduler.now() };
        this->resultCallbacks[id] = std::move(onResult);
        this->taskParameters[id] = { isPoison, serviceTime };
        this->deliver(vm, this->vms[vm].incarnation, request::Event(std::move(arrival)));
        return id;
    }

    // Delivers an event to the engine and executes its commands. Drops the event if the process has ended since.
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
            this->handleObservation(observation);
    }

    // Publishes a table with the current suspects, quarantines, member states, server states and load reports to every
    // running entry VM.
    void publishTables()
    {
        for (std::size_t i = 0; i < this->vms.size(); ++i) {
            Vm& vm = this->vms[i];
            if (!vm.engine)
                continue;
            auto next = std::make_shared<core::SteeringTable>(*vm.table);
            ++next->generation;
            next->suspectFingerprints = this->suspectFingerprints;
            next->quarantinedFingerprints = this->quarantinedFingerprints;
            next->crashRecords = this->crashRecords;
            for (std::size_t member = 0; member < next->members.size(); ++member)
                next->members[member].state = this->vms[member].engine ? core::MemberState::Alive : core::MemberState::Dead;
            for (std::size_t server = 0; server < next->servers.size(); ++server) {
                next->servers[server].report = core::LoadReport { .inFlight = this->servers[server]->load(), .receivedAt = this->scheduler.now() };
                next->servers[server].state = this->ejectedServers.contains(server) ? core::ServerState::Ejected : core::ServerState::Active;
            }
            vm.table = next;
            vm.engine->setTable(next);
            this->deliver(i, vm.incarnation, request::CapacityChanged {});
        }
    }

    bool drawBool(double probability) { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }
    core::Duration drawDuration(core::Duration max) { return core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, max.count())(this->random)); }

    EngineSimulationOptions options;
    Scheduler scheduler;
    core::RandomEngine random;
    std::vector<std::unique_ptr<FakeServer>> servers;
    std::vector<Vm> vms;
    std::map<core::RequestId, RequestRecord> requestRecords;
    std::unordered_set<std::uint64_t> suspectFingerprints;
    std::unordered_set<std::uint64_t> quarantinedFingerprints;
    std::unordered_map<std::uint64_t, core::CrashRecord> crashRecords;
    SimulationCounts counts;

private:
    struct SentAttempt {
        core::RequestId request {};
        std::size_t vm = 0;
        unsigned incarnation = 0;
        std::size_t server = 0;
        std::uint64_t taskId = 0;
        bool hasEnded = false; // the front end has reported the end to the engine, or cancelled the attempt
    };

    using SentAttemptPointer = std::shared_ptr<SentAttempt>;

    void execute(std::size_t vm, unsigned incarnation, const request::SendAttempt& command)
    {
        ++this->counts.attempts;
        auto sent = std::make_shared<SentAttempt>(SentAttempt { .request = command.request, .vm = vm, .incarnation = incarnation, .server = command.server.value, .taskId = ++this->lastTaskId });
        this->sentAttempts[{ vm, incarnation, command.attempt }] = sent;
        const auto [isPoison, serviceTime] = this->taskParameters[command.request];
        ServerTask task { .id = sent->taskId, .serviceTime = serviceTime, .isPoison = isPoison, .onRun = [this, request = command.request] { ++this->requestRecords[request].runCount; }, .onEnd = {} };
        task.onEnd = [this, sent, attempt = command.attempt](core::AttemptResult result) { this->onServerEnd(sent, attempt, result); };
        this->scheduler.after(this->options.oneWayDelay + this->drawDuration(this->options.faults.maxJitter), [this, sent, task] {
            if (!sent->hasEnded)
                this->servers[sent->server]->submit(task);
        });
    }

    // Handles the end of an attempt at the server, which reaches the front end after a delay.
    void onServerEnd(const SentAttemptPointer& sent, core::AttemptId attempt, core::AttemptResult result)
    {
        if (result == core::AttemptResult::Answered && this->drawBool(this->options.faults.lossProbability))
            return;
        if (result == core::AttemptResult::ConnectFailed)
            this->scheduleEjection(sent->server);
        core::Duration delay = this->options.oneWayDelay + this->drawDuration(this->options.faults.maxJitter);
        if (result == core::AttemptResult::Answered) {
            const bool overtaken = this->drawBool(this->options.faults.reorderProbability);
            this->deliverWithFaults(sent, delay + core::Duration(overtaken ? 200 : 0), request::AnswerStarted { .request = sent->request, .attempt = attempt, .status = 200 });
            delay += core::Duration(100);
        }
        this->scheduler.after(delay, [this, sent, attempt, result] { this->endAttempt(sent, attempt, result, result == core::AttemptResult::Answered ? 200 : 0); });
    }

    // Reports the end of an attempt to the engine, once unless a duplicate is injected.
    void endAttempt(const SentAttemptPointer& sent, core::AttemptId attempt, core::AttemptResult result, std::uint16_t status)
    {
        if (sent->hasEnded)
            return;
        sent->hasEnded = true;
        RequestRecord& record = this->requestRecords[sent->request];
        if (record.relayedAttempt == attempt && record.endCount == 0) {
            ++record.endCount;
            this->resultCallbacks[sent->request](sent->request, { .error = {}, .issuedKey = {}, .endedAt = this->scheduler.now() });
        }
        this->deliverWithFaults(sent, {}, request::AttemptEnded { .request = sent->request, .attempt = attempt, .result = result, .status = status, .retryAfter = {} });
    }

    // Delivers an event after the delay, with duplicates and wrong request ids as configured.
    template <typename EventType>
    void deliverWithFaults(const SentAttemptPointer& sent, core::Duration delay, EventType event)
    {
        const auto schedule = [&](core::Duration extra, EventType copy) {
            this->scheduler.after(delay + extra, [this, sent, copy] { this->deliver(sent->vm, sent->incarnation, request::Event(copy)); });
        };
        schedule({}, event);
        if (this->drawBool(this->options.faults.duplicateProbability))
            schedule(this->drawDuration(std::chrono::milliseconds(20)), event);
        if (this->drawBool(this->options.faults.wrongRequestProbability)) {
            EventType misdirected = event;
            misdirected.request = core::RequestId { static_cast<std::uint64_t>(event.request) - 1 - this->random() % 8 };
            schedule(this->drawDuration(std::chrono::milliseconds(5)), misdirected);
        }
    }

    void execute(std::size_t vm, unsigned incarnation, const request::CancelAttempt& command)
    {
        const SentAttemptPointer sent = this->sentAttempts.at({ vm, incarnation, command.attempt });
        this->scheduler.after(this->options.oneWayDelay, [this, sent] { this->servers[sent->server]->cancel(sent->taskId); });
        if (!this->drawBool(this->options.faults.lossProbability))
            this->endAttempt(sent, command.attempt, core::AttemptResult::Cancelled, 0);
        sent->hasEnded = true;
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
        record.error = command.error;
        record.wasReportedNotRun = core::errorInfo(command.error).runState == core::RunState::NotRun;
        const CallerResult result { .error = command.error, .issuedKey = command.key, .endedAt = this->scheduler.now() };
        this->scheduler.after(core::Duration(1), [this, id = command.request, result] { this->resultCallbacks[id](id, result); });
    }

    void execute(std::size_t vm, unsigned incarnation, const request::SetTimer& command)
    {
        if (this->drawBool(this->options.faults.lossProbability))
            return;
        this->scheduler.after(command.time - this->scheduler.now(), [this, vm, incarnation, id = command.request] { this->deliver(vm, incarnation, request::TimerDue { .request = id }); });
    }

    void execute(std::size_t vm, unsigned incarnation, const request::CheckServer& command)
    {
        this->scheduler.after(this->options.oneWayDelay, [this, vm, incarnation, command] {
            const core::Reachability reachability = this->servers[command.server.value]->acceptsConnections() ? core::Reachability::Accepts : core::Reachability::Refuses;
            const std::uint64_t serverKey = command.table->at(command.server).key;
            this->scheduler.after(this->options.oneWayDelay, [this, vm, incarnation, serverKey, reachability] { this->deliver(vm, incarnation, request::ServerChecked { .serverKey = serverKey, .reachability = reachability }); });
        });
    }

    // Replaces control: publishes suspects and quarantines to every entry VM after the gossip delay.
    void handleObservation(const request::Observation& observation)
    {
        if (const auto* crash = std::get_if<request::CrashObserved>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, crash = *crash] {
                for (core::Fingerprint fingerprint : crash.inFlight)
                    (crash.isolated ? this->quarantinedFingerprints : this->suspectFingerprints).insert(static_cast<std::uint64_t>(fingerprint));
                this->publishTables();
            });
        } else if (const auto* cleared = std::get_if<request::SuspectCleared>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, fingerprint = cleared->fingerprint] {
                this->suspectFingerprints.erase(static_cast<std::uint64_t>(fingerprint));
                this->publishTables();
            });
        } else if (const auto* counted = std::get_if<request::RequestCrashed>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, crash = *counted, at = this->scheduler.now()] {
                core::CrashRecord& record = this->crashRecords[static_cast<std::uint64_t>(crash.fingerprint)];
                if (crash.count > record.count)
                    record = { .count = crash.count, .lastAt = at };
                this->publishTables();
            });
        } else if (const auto* forgotten = std::get_if<request::CrashesForgotten>(&observation)) {
            this->scheduler.after(this->options.gossipDelay, [this, fingerprint = forgotten->fingerprint] {
                this->crashRecords.erase(static_cast<std::uint64_t>(fingerprint));
                this->publishTables();
            });
        }
    }

    // Replaces control's health check: ejects a server that refuses connections, for a limited time.
    void scheduleEjection(std::size_t server)
    {
        if (this->options.detectionDelay == core::Duration::zero() || !this->suspectedServers.insert(server).second)
            return;
        this->scheduler.after(this->options.detectionDelay, [this, server] {
            this->ejectedServers.insert(server);
            this->publishTables();
        });
        this->scheduler.after(this->options.detectionDelay + this->options.ejectionDuration, [this, server] {
            this->ejectedServers.erase(server);
            this->suspectedServers.erase(server);
            this->publishTables();
        });
    }

    MakeEngine makeEngine;
    std::map<std::tuple<std::size_t, unsigned, core::AttemptId>, SentAttemptPointer> sentAttempts;
    std::map<core::RequestId, OnResult> resultCallbacks;
    std::map<core::RequestId, std::pair<bool, core::Duration>> taskParameters;
    std::set<std::size_t> suspectedServers;
    std::set<std::size_t> ejectedServers;
    std::uint64_t lastRequestId = 0;
    std::uint64_t lastTaskId = 0;
};

}
