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

// CPU time of the calling thread.
std::chrono::nanoseconds threadTime();

// What one member did in a stretch of simulated time.
struct MemberCost {
    std::uint64_t messagesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesOut = 0; // with the headers of IP and UDP or TCP
    std::uint64_t bytesIn = 0;
    std::chrono::nanoseconds cpu {}; // state machine, encoding and decoding; no system calls
};

// Runs many fleet::Node objects in one thread in simulated time. Each message is encoded by its sender and
// decoded by its receiver, and takes 1 to 60 ms; nothing is lost unless stated.
class Simulation {
public:
    struct Options {
        int members = 3;
        int domains = 3;
        int classes = 8;
        int capacities = 12; // services x regions in each load report
        double loss = 0; // of datagrams
        std::uint64_t seed = 1;
    };

    explicit Simulation(const Options&);

    // All members join through two of them.
    void start();
    void startOne(int number);
    void crash(int number) { this->running[static_cast<std::size_t>(number)] = false; }

    // Cuts the first members off from all others; 0 ends it.
    void cut(int first) { this->cutOff = first; }
    void run(core::Duration);

    // Runs until the condition holds, which is checked every 20 ms. Returns the simulated time it took.
    std::optional<core::Duration> runUntil(const std::function<bool()>&, core::Duration limit);

    void publish(int member, core::Object);
    void publish(int member, const fleet::Item&);
    fleet::MemberId idOf(int number) const { return this->ids[static_cast<std::size_t>(number)]; }
    fleet::Node& node(int number) { return *this->nodes[static_cast<std::size_t>(number)]; }
    int members() const { return this->options.members; }
    bool runs(int number) const { return this->running[static_cast<std::size_t>(number)]; }
    core::TimePoint now() const { return this->time; }

    void resetCosts();
    const std::vector<MemberCost>& costs() const { return this->cost; }
    const std::vector<std::uint64_t>& bytesByBody() const { return this->bodyBytes; }

private:
    struct Event {
        core::TimePoint at {};
        std::uint64_t order = 0;
        int target = 0;
        int from = 0;
        std::shared_ptr<const std::vector<std::uint8_t>> bytes; // null: a timer

        bool operator>(const Event& other) const { return this->at != other.at ? this->at > other.at : this->order > other.order; }
    };

    static std::string addressOf(int number) { return "10.0.0.1:" + std::to_string(10000 + number); }
    core::DomainDigest load() const;
    void deliver(const Event&);
    void reportLoads();
    void send(int from, const fleet::Outbox&);
    void arm(int number);

    template <typename Action>
    void drive(int number, Action action)
    {
        fleet::Outbox outbox;
        const auto before = threadTime();
        action(*this->nodes[static_cast<std::size_t>(number)], outbox);
        this->cost[static_cast<std::size_t>(number)].cpu += threadTime() - before;
        this->send(number, outbox);
        this->arm(number);
    }

    Options options;
    core::RandomEngine random;
    core::TimePoint time { std::chrono::hours(1) };
    core::TimePoint nextLoads = time;
    std::uint64_t nextOrder = 0;
    int cutOff = 0;
    std::vector<std::unique_ptr<fleet::Node>> nodes;
    std::vector<fleet::MemberId> ids;
    std::vector<bool> running;
    std::vector<core::TimePoint> armed;
    std::vector<MemberCost> cost;
    std::vector<std::uint64_t> bodyBytes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

}
