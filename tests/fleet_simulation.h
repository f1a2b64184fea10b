#pragma once

#include "fleet/pipeline.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

// Simulates a network of fleet::Node objects in memory with a simulated clock. It delivers their messages after a
// random delay, loses and duplicates datagrams, partitions members into groups and pauses members. The same seed gives
// the same run.
class FleetSimulation {
public:
    struct Options {
        std::uint64_t seed = 1;
        double loss = 0; // probability that a datagram is lost
        double duplication = 0; // probability that a datagram is delivered twice
        cranberryshed::core::Duration minDelay = std::chrono::milliseconds(1);
        cranberryshed::core::Duration maxDelay = std::chrono::milliseconds(60);
    };

    explicit FleetSimulation(Options shufflerOptions)
        : options(shufflerOptions)
        , random(shufflerOptions.seed)
    {
    }

    static std::string nameOf(int number) { return "entry-" + std::to_string(number); }
    static std::string addressOf(int number) { return "127.0.0.1:" + std::to_string(10000 + number); }
    static std::string domainOf(int number) { return "domain-" + std::to_string(number % 3); }

    // Starts a member that joins through `seeds`. Its name, address and failure domain are derived from the number.
    cranberryshed::fleet::Node& start(int number, const std::vector<int>& seeds, std::uint64_t incarnation = 1)
    {
        cranberryshed::fleet::NodeOptions node { .fleet = "test",
            .name = nameOf(number),
            .peerAddress = addressOf(number),
            .callerAddress = addressOf(number + 1000),
            .region = "region-0",
            .domain = domainOf(number),
            .incarnation = cranberryshed::core::Incarnation { incarnation },
            .seeds = {},
            .randomSeed = this->random() };
        for (int seed : seeds)
            node.seeds.push_back(addressOf(seed));
        Process& process = this->processes[number];
        process.node = std::make_unique<cranberryshed::fleet::Node>(node, this->time);
        process.running = true;
        this->call(number, [](auto& self, auto now, auto& outbox) { self.start(now, outbox); });
        return *process.node;
    }

    // Starts `count` members that join through the first two.
    void startFleet(int count)
    {
        for (int i = 0; i < count; ++i)
            this->start(i, { 0, 1 });
    }

    // Stops a member without notice.
    void crash(int number) { this->processes.at(number).running = false; }

    // Stops a member after it announces that it left.
    void stopAfterLeaving(int number)
    {
        this->call(number, [](auto& self, auto now, auto& outbox) { self.announceLeft(now, outbox); });
        this->crash(number);
    }

    // Messages to a paused process are queued until it resumes; its timers fire then.
    void pause(int number) { this->processes.at(number).paused = true; }

    void resume(int number)
    {
        Process& process = this->processes.at(number);
        process.paused = false;
        for (auto& received : std::exchange(process.queuedMessages, {}))
            this->call(number, [&](auto& self, auto now, auto& outbox) { self.handle(received, now, outbox); });
        this->rearm(number);
    }

    // Drops messages between members of different groups. Members without an entry are in group 0.
    void partition(std::map<int, int> groups) { this->groupOf = std::move(groups); }
    void heal() { this->groupOf.clear(); }

    void call(int number, const std::function<void(cranberryshed::fleet::Node&, cranberryshed::core::TimePoint, cranberryshed::fleet::Outbox&)>& action)
    {
        cranberryshed::fleet::Outbox outbox;
        action(*this->processes.at(number).node, this->time, outbox);
        this->send(number, outbox);
        this->rearm(number);
    }

    void run(cranberryshed::core::Duration duration)
    {
        this->runUntil([] { return false; }, duration);
    }

    // Runs until the condition holds, but at most for `limit`. Returns the simulated time that it took, or nothing if
    // the condition did not hold.
    std::optional<cranberryshed::core::Duration> runUntil(const std::function<bool()>& condition, cranberryshed::core::Duration limit)
    {
        const auto from = this->time;
        const auto end = from + limit;
        while (!condition()) {
            if (this->events.empty() || this->events.top().at > end) {
                this->time = end;
                return std::nullopt;
            }
            Event event = this->events.top();
            this->events.pop();
            this->time = std::max(this->time, event.at);
            this->deliver(event);
        }
        return this->time - from;
    }

    cranberryshed::fleet::Node& node(int number) { return *this->processes.at(number).node; }
    cranberryshed::fleet::Snapshot snapshot(int number) { return this->node(number).snapshot(this->time); }
    cranberryshed::core::TimePoint now() const { return this->time; }

    std::vector<int> running() const
    {
        std::vector<int> result;
        for (const auto& [number, process] : this->processes) {
            if (process.running)
                result.push_back(number);
        }
        return result;
    }

    // Whether every running member holds exactly the running members as alive.
    bool agree()
    {
        std::set<std::string> expected;
        for (int number : this->running())
            expected.insert(nameOf(number));
        for (int number : this->running()) {
            std::set<std::string> seen;
            for (const auto& member : this->snapshot(number).members) {
                if (member.fact.state == cranberryshed::core::MemberState::Alive)
                    seen.insert(member.name);
                else if (expected.count(member.name))
                    return false;
            }
            if (seen != expected)
                return false;
        }
        return true;
    }

    // The state of the second member as the first one holds it; Left if it has no record of it.
    cranberryshed::core::MemberState stateOf(int observer, int observed)
    {
        for (const auto& member : this->snapshot(observer).members) {
            if (member.name == nameOf(observed))
                return member.fact.state;
        }
        return cranberryshed::core::MemberState::Left;
    }

    // Called for each message that a member sends, before loss is applied.
    std::function<void(int from, const cranberryshed::fleet::OutgoingMessage&)> onSend;

private:
    struct Process {
        std::unique_ptr<cranberryshed::fleet::Node> node;
        bool running = false;
        bool paused = false;
        cranberryshed::core::TimePoint armedFor = cranberryshed::core::TimePoint::max();
        std::vector<cranberryshed::fleet::ReceivedMessage> queuedMessages;
    };

    struct Event {
        cranberryshed::core::TimePoint at {};
        std::uint64_t sequence = 0;
        int target = 0;
        std::shared_ptr<cranberryshed::fleet::ReceivedMessage> received; // null if the event is a timer

        bool operator>(const Event& other) const { return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence); }
    };

    int groupAt(int number) const
    {
        auto found = this->groupOf.find(number);
        return found == this->groupOf.end() ? 0 : found->second;
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }

    void send(int from, const cranberryshed::fleet::Outbox& outbox)
    {
        for (const auto& out : outbox) {
            if (this->onSend)
                this->onSend(from, out);
            const int target = std::stoi(out.address.substr(out.address.find(':') + 1)) - 10000;
            const bool datagram = out.transport == cranberryshed::fleet::Transport::Datagram;
            if (this->groupAt(from) != this->groupAt(target) || (datagram && this->chance(this->options.loss)))
                continue;
            const int copies = datagram && this->chance(this->options.duplication) ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                const auto delay = std::uniform_int_distribution<std::int64_t>(this->options.minDelay.count(), this->options.maxDelay.count())(this->random);
                this->events.push({ .at = this->time + cranberryshed::core::Duration(delay),
                    .sequence = this->nextSequence++,
                    .target = target,
                    .received = std::make_shared<cranberryshed::fleet::ReceivedMessage>(cranberryshed::fleet::ReceivedMessage { .address = addressOf(from), .message = out.message }) });
            }
        }
    }

    void rearm(int number)
    {
        Process& process = this->processes.at(number);
        const auto next = std::max(process.node->nextTimer(), this->time);
        if (process.armedFor <= next && process.armedFor > this->time)
            return;
        process.armedFor = next;
        this->events.push({ .at = next, .sequence = this->nextSequence++, .target = number, .received = nullptr });
    }

    void deliver(const Event& event)
    {
        auto found = this->processes.find(event.target);
        if (found == this->processes.end() || !found->second.running)
            return;
        Process& process = found->second;
        if (process.paused) {
            if (event.received)
                process.queuedMessages.push_back(*event.received);
            return;
        }
        if (event.received)
            this->call(event.target, [&](auto& self, auto now, auto& outbox) { self.handle(*event.received, now, outbox); });
        else if (process.armedFor == event.at) {
            process.armedFor = cranberryshed::core::TimePoint::max();
            this->call(event.target, [](auto& self, auto now, auto& outbox) { self.onTimer(now, outbox); });
        }
    }

    Options options;
    cranberryshed::core::RandomEngine random;
    cranberryshed::core::TimePoint time { std::chrono::hours(1) };
    std::uint64_t nextSequence = 0;
    std::map<int, Process> processes;
    std::map<int, int> groupOf;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};
