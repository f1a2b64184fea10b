#include "capacity/gossip_simulation.h"

#include "core/hash.h"
#include "wire/peer_codec.h"

#include <ctime>

namespace cranberryshed::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t datagramHeaders = 28; // IPv4 and UDP
    constexpr std::size_t segmentHeaders = 40; // IPv4 and TCP
    constexpr std::size_t segmentContent = 1448;
    constexpr std::size_t streamSetup = 6 * segmentHeaders; // opening and closing; upper bound, streams are reused
    constexpr core::Duration loadPeriod = 1s;
    constexpr core::Duration checkPeriod = 20ms;

    std::size_t onTheWire(std::size_t bytes, bool datagram)
    {
        if (datagram)
            return bytes + datagramHeaders;
        return bytes + 4 + (bytes / segmentContent + 1) * segmentHeaders + streamSetup;
    }

}

std::chrono::nanoseconds threadTime()
{
    timespec value {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

Simulation::Simulation(const Options& simulationOptions)
    : options(simulationOptions)
    , random(simulationOptions.seed)
    , nodes(static_cast<std::size_t>(simulationOptions.members))
    , ids(static_cast<std::size_t>(simulationOptions.members))
    , running(static_cast<std::size_t>(simulationOptions.members))
    , armed(static_cast<std::size_t>(simulationOptions.members), core::TimePoint::max())
    , cost(static_cast<std::size_t>(simulationOptions.members))
    , bodyBytes(std::variant_size_v<fleet::Body>)
{
}

void Simulation::start()
{
    for (int i = 0; i < this->options.members; ++i)
        this->startOne(i);
}

void Simulation::startOne(int number)
{
    const auto index = static_cast<std::size_t>(number);
    const int domain = number % this->options.domains;
    const fleet::NodeOptions node { .fleet = "bench",
        .name = "entry-" + std::to_string(number) + "." + std::to_string(this->random() % 10000),
        .peerAddress = addressOf(number),
        .callerAddress = addressOf(number + 10000),
        .region = "region-" + std::to_string(domain % 4),
        .domain = "domain-" + std::to_string(domain),
        .incarnation = core::Incarnation { 1 },
        .seeds = { addressOf(0), addressOf(1) },
        .randomSeed = this->random() };
    this->ids[index] = fleet::MemberId { core::hashBytes(node.name) };
    this->nodes[index] = std::make_unique<fleet::Node>(node, this->time);
    this->running[index] = true;
    this->armed[index] = core::TimePoint::max();
    this->drive(number, [&](fleet::Node& started, fleet::Outbox& outbox) { started.start(this->time, outbox); });
}

core::DomainDigest Simulation::load() const
{
    core::DomainDigest digest;
    for (int i = 0; i < this->options.classes; ++i)
        digest.classes.push_back({ .className = "class-" + std::to_string(i), .demand = 413.0, .rejected = 1.2, .inFlight = 9, .meanTime = 21ms, .tailLatency = 83ms });
    for (int i = 0; i < this->options.capacities; ++i)
        digest.capacities.push_back({ .service = "service-" + std::to_string(i / 4), .region = "region-" + std::to_string(i % 4), .slots = 1200, .busy = 14 });
    return digest;
}

// The traffic threads state their loads each second.
void Simulation::reportLoads()
{
    this->nextLoads = this->time + loadPeriod;
    const core::DomainDigest digest = this->load();
    for (int i = 0; i < this->options.members; ++i) {
        if (this->runs(i))
            this->drive(i, [&](fleet::Node& reporting, fleet::Outbox&) { reporting.setLoad(digest, this->time); });
    }
}

void Simulation::run(core::Duration duration)
{
    const core::TimePoint end = this->time + duration;
    while (true) {
        const core::TimePoint next = this->events.empty() ? end : this->events.top().at;
        if (this->nextLoads <= std::min(next, end)) {
            this->time = std::max(this->time, this->nextLoads);
            this->reportLoads();
            continue;
        }
        if (next >= end)
            break;
        const Event event = this->events.top();
        this->events.pop();
        this->time = event.at;
        this->deliver(event);
    }
    this->time = end;
}

std::optional<core::Duration> Simulation::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const core::TimePoint from = this->time;
    while (!condition()) {
        if (this->time - from >= limit)
            return std::nullopt;
        this->run(checkPeriod);
    }
    return this->time - from;
}

void Simulation::deliver(const Event& event)
{
    const auto index = static_cast<std::size_t>(event.target);
    if (index >= this->nodes.size() || !this->running[index])
        return;
    if (!event.bytes) {
        if (this->armed[index] != event.at)
            return;
        this->armed[index] = core::TimePoint::max();
        this->drive(event.target, [&](fleet::Node& node, fleet::Outbox& outbox) { node.onTimer(this->time, outbox); });
        return;
    }
    ++this->cost[index].messagesIn;
    this->drive(event.target, [&](fleet::Node& receiver, fleet::Outbox& outbox) {
        receiver.handle({ .address = addressOf(event.from), .message = wire::decodePeerMessage(*event.bytes) }, this->time, outbox);
    });
}

void Simulation::send(int from, const fleet::Outbox& outbox)
{
    MemberCost& sender = this->cost[static_cast<std::size_t>(from)];
    for (const fleet::OutgoingMessage& out : outbox) {
        const auto before = threadTime();
        auto bytes = std::make_shared<const std::vector<std::uint8_t>>(wire::encodePeerMessage(out.message));
        sender.cpu += threadTime() - before;
        const bool datagram = out.transport == fleet::Transport::Datagram && bytes->size() <= wire::maxDatagramBytes;
        const std::size_t size = onTheWire(bytes->size(), datagram);
        ++sender.messagesOut;
        sender.bytesOut += size;
        this->bodyBytes[out.message.body.index()] += size;
        const int target = std::stoi(out.address.substr(out.address.find(':') + 1)) - 10000;
        if ((from < this->cutOff) != (target < this->cutOff))
            continue;
        if (datagram && std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.loss)
            continue;
        if (target < this->options.members && this->runs(target))
            this->cost[static_cast<std::size_t>(target)].bytesIn += size;
        const core::Duration delay(std::uniform_int_distribution<std::int64_t>(1000, 60000)(this->random));
        this->events.push({ .at = this->time + delay, .order = this->nextOrder++, .target = target, .from = from, .bytes = std::move(bytes) });
    }
}

void Simulation::arm(int number)
{
    const auto index = static_cast<std::size_t>(number);
    const core::TimePoint next = std::max(this->nodes[index]->nextTimer(), this->time);
    if (this->armed[index] <= next && this->armed[index] >= this->time)
        return;
    this->armed[index] = next;
    this->events.push({ .at = next, .order = this->nextOrder++, .target = number, .from = number, .bytes = nullptr });
}

void Simulation::publish(int member, core::Object object)
{
    this->drive(member, [&](fleet::Node& publisher, fleet::Outbox&) { publisher.publish(std::move(object), this->time); });
}

void Simulation::publish(int member, const fleet::Item& item)
{
    this->drive(member, [&](fleet::Node& publisher, fleet::Outbox&) { publisher.publish(item, this->time); });
}

void Simulation::resetCosts()
{
    this->cost.assign(this->cost.size(), {});
    this->bodyBytes.assign(this->bodyBytes.size(), 0);
}

}
