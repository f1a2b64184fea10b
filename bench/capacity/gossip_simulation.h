#pragma once

#include "fleet/pipeline.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace cranberryshed::bench {

// Returns the CPU time of the calling thread.
std::chrono::nanoseconds threadCpuTime();

// Messages, bytes and CPU time of one member since the last resetCosts().
struct MemberCost {
    std::uint64_t messagesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesOut = 0; // including the headers of IP and UDP or TCP
    std::uint64_t bytesIn = 0;
    std::chrono::nanoseconds cpuTime {}; // of the state machine, encoding and decoding; without system calls
};

// Simulates the gossip of many fleet::Node objects in one thread and in simulated time. Each message is encoded by its
// sender and decoded by its receiver, and takes 1 to 60 ms. Messages are lost only across a partition, and datagrams
// also with lossProbability.
class GossipSimulation {
public:
    struct Options {
        int memberCount = 3;
        int domainCount = 3;
        int classCount = 8;
        int capacityCount = 12; // services times regions in each load report
        double lossProbability = 0; // of a datagram
        std::uint64_t seed = 1;
    };

    explicit GossipSimulation(const Options&);

    // Starts all members. They join through members 0 and 1.
    void start();
    void startMember(int member);
    void crash(int member) { this->running[static_cast<std::size_t>(member)] = false; }

    // Drops all messages between the first `count` members and the others; 0 ends the partition.
    void partition(int count) { this->partitionedCount = count; }
    void run(core::Duration);

    // Runs until the condition holds, which is checked every 20 ms. Returns the simulated time, or nothing if the limit
    // is reached.
    std::optional<core::Duration> runUntil(const std::function<bool()>&, core::Duration limit);

    void publish(int member, core::Object);
    void publish(int member, const fleet::Item&);
    fleet::MemberId memberId(int member) const { return this->ids[static_cast<std::size_t>(member)]; }
    fleet::Node& node(int member) { return *this->nodes[static_cast<std::size_t>(member)]; }
    int memberCount() const { return this->options.memberCount; }
    bool isRunning(int member) const { return this->running[static_cast<std::size_t>(member)]; }
    core::TimePoint now() const { return this->time; }

    void resetCosts();
    const std::vector<MemberCost>& costs() const { return this->memberCosts; }
    const std::vector<std::uint64_t>& bytesSentByBody() const { return this->sentBytesByBody; }

private:
    struct Event {
        core::TimePoint dueAt {};
        std::uint64_t order = 0;
        int receiver = 0;
        int sender = 0;
        std::shared_ptr<const std::vector<std::uint8_t>> bytes; // null for a timer

        bool operator>(const Event& other) const { return this->dueAt != other.dueAt ? this->dueAt > other.dueAt : this->order > other.order; }
    };

    static std::string addressOf(int member) { return "10.0.0.1:" + std::to_string(10000 + member); }
    core::DomainDigest memberLoad() const;
    void deliver(const Event&);
    void publishLoads();
    void send(int from, const fleet::Outbox&);
    void scheduleTimer(int member);

    // Runs the action on the member's node, counts its CPU time, sends the messages and schedules the next timer.
    template <typename Action>
    void runNode(int member, Action action)
    {
        fleet::Outbox outbox;
        const auto before = threadCpuTime();
        action(*this->nodes[static_cast<std::size_t>(member)], outbox);
        this->memberCosts[static_cast<std::size_t>(member)].cpuTime += threadCpuTime() - before;
        this->send(member, outbox);
        this->scheduleTimer(member);
    }

    Options options;
    core::RandomEngine random;
    core::TimePoint time { std::chrono::hours(1) };
    core::TimePoint nextLoadReport = time;
    std::uint64_t nextOrder = 0;
    int partitionedCount = 0;
    std::vector<std::unique_ptr<fleet::Node>> nodes;
    std::vector<fleet::MemberId> ids;
    std::vector<bool> running;
    std::vector<core::TimePoint> scheduledTimers;
    std::vector<MemberCost> memberCosts;
    std::vector<std::uint64_t> sentBytesByBody;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

}
