#include "capacity/gossip_simulation.h"

#include "core/hash.h"
#include "wire/peer_codec.h"

#include <ctime>

namespace cranberryshed::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t datagramHeaderBytes = 28; // IPv4 and UDP
    constexpr std::size_t segmentHeaderBytes = 40; // IPv4 and TCP
    constexpr std::size_t maxSegmentBytes = 1448;
    constexpr std::size_t connectionSetupBytes = 6 * segmentHeaderBytes; // open and close of a connection; an upper bound, since connections are reused
    constexpr core::Duration loadReportInterval = 1s;
    constexpr core::Duration conditionCheckInterval = 20ms;

    std::size_t bytesOnWire(std::size_t bytes, bool isDatagram)
    {
        if (isDatagram)
            return bytes + datagramHeaderBytes;
        return bytes + 4 + (bytes / maxSegmentBytes + 1) * segmentHeaderBytes + connectionSetupBytes;
    }

}

std::chrono::nanoseconds threadCpuTime()
{
    timespec value {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

GossipSimulation::GossipSimulation(const Options& simulationOptions)
    : options(simulationOptions)
    , random(simulationOptions.seed)
    , nodes(static_cast<std::size_t>(simulationOptions.memberCount))
    , ids(static_cast<std::size_t>(simulationOptions.memberCount))
    , running(static_cast<std::size_t>(simulationOptions.memberCount))
    , scheduledTimers(static_cast<std::size_t>(simulationOptions.memberCount), core::TimePoint::max())
    , memberCosts(static_cast<std::size_t>(simulationOptions.memberCount))
    , sentBytesByBody(std::variant_size_v<fleet::Body>)
{
}

void GossipSimulation::start()
{
    for (int i = 0; i < this->options.memberCount; ++i)
        this->startMember(i);
}

void GossipSimulation::startMember(int member)
{
    const auto index = static_cast<std::size_t>(member);
    const int domain = member % this->options.domainCount;
    const fleet::NodeOptions node { .fleet = "bench",
        .name = "entry-" + std::to_string(member) + "." + std::to_string(this->random() % 10000),
        .peerAddress = addressOf(member),
        .callerAddress = addressOf(member + 10000),
        .region = "region-" + std::to_string(domain % 4),
        .domain = "domain-" + std::to_string(domain),
        .incarnation = core::Incarnation { 1 },
        .seeds = { addressOf(0), addressOf(1) },
        .randomSeed = this->random() };
    this->ids[index] = fleet::MemberId { core::hashBytes(node.name) };
    this->nodes[index] = std::make_unique<fleet::Node>(node, this->time);
    this->running[index] = true;
    this->scheduledTimers[index] = core::TimePoint::max();
    this->runNode(member, [&](fleet::Node& started, fleet::Outbox& outbox) { started.start(this->time, outbox); });
}

core::DomainDigest GossipSimulation::memberLoad() const
{
    core::DomainDigest digest;
    for (int i = 0; i < this->options.classCount; ++i)
        digest.classes.push_back({ .className = "class-" + std::to_string(i), .demand = 413.0, .rejected = 1.2, .inFlight = 9, .meanTime = 21ms, .tailLatency = 83ms });
    for (int i = 0; i < this->options.capacityCount; ++i)
        digest.capacities.push_back({ .service = "service-" + std::to_string(i / 4), .region = "region-" + std::to_string(i % 4), .slots = 1200, .busy = 14 });
    return digest;
}

// Reports the loads of all running members, as their traffic threads do each second.
void GossipSimulation::publishLoads()
{
    this->nextLoadReport = this->time + loadReportInterval;
    const core::DomainDigest digest = this->memberLoad();
    for (int i = 0; i < this->options.memberCount; ++i) {
        if (this->isRunning(i))
            this->runNode(i, [&](fleet::Node& reporting, fleet::Outbox&) { reporting.setLoad(digest, this->time); });
    }
}

void GossipSimulation::run(core::Duration duration)
{
    const core::TimePoint end = this->time + duration;
    while (true) {
        const core::TimePoint next = this->events.empty() ? end : this->events.top().dueAt;
        if (this->nextLoadReport <= std::min(next, end)) {
            this->time = std::max(this->time, this->nextLoadReport);
            this->publishLoads();
            continue;
        }
        if (next >= end)
            break;
        const Event event = this->events.top();
        this->events.pop();
        this->time = event.dueAt;
        this->deliver(event);
    }
    this->time = end;
}

std::optional<core::Duration> GossipSimulation::runUntil(const std::function<bool()>& condition, core::Duration limit)
{
    const core::TimePoint from = this->time;
    while (!condition()) {
        if (this->time - from >= limit)
            return std::nullopt;
        this->run(conditionCheckInterval);
    }
    return this->time - from;
}

void GossipSimulation::deliver(const Event& event)
{
    const auto index = static_cast<std::size_t>(event.receiver);
    if (index >= this->nodes.size() || !this->running[index])
        return;
    if (!event.bytes) {
        if (this->scheduledTimers[index] != event.dueAt)
            return;
        this->scheduledTimers[index] = core::TimePoint::max();
        this->runNode(event.receiver, [&](fleet::Node& node, fleet::Outbox& outbox) { node.onTimer(this->time, outbox); });
        return;
    }
    ++this->memberCosts[index].messagesIn;
    this->runNode(event.receiver, [&](fleet::Node& receiver, fleet::Outbox& outbox) {
        receiver.handle({ .address = addressOf(event.sender), .message = wire::decodePeerMessage(*event.bytes) }, this->time, outbox);
    });
}

void GossipSimulation::send(int from, const fleet::Outbox& outbox)
{
    MemberCost& sender = this->memberCosts[static_cast<std::size_t>(from)];
    for (const fleet::OutgoingMessage& out : outbox) {
        const auto before = threadCpuTime();
        auto bytes = std::make_shared<const std::vector<std::uint8_t>>(wire::encodePeerMessage(out.message));
        sender.cpuTime += threadCpuTime() - before;
        const bool isDatagram = out.transport == fleet::Transport::Datagram && bytes->size() <= wire::maxDatagramBytes;
        const std::size_t size = bytesOnWire(bytes->size(), isDatagram);
        ++sender.messagesOut;
        sender.bytesOut += size;
        this->sentBytesByBody[out.message.body.index()] += size;
        const int target = std::stoi(out.address.substr(out.address.find(':') + 1)) - 10000;
        if ((from < this->partitionedCount) != (target < this->partitionedCount))
            continue;
        if (isDatagram && std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.lossProbability)
            continue;
        if (target < this->options.memberCount && this->isRunning(target))
            this->memberCosts[static_cast<std::size_t>(target)].bytesIn += size;
        const core::Duration delay(std::uniform_int_distribution<std::int64_t>(1000, 60000)(this->random));
        this->events.push({ .dueAt = this->time + delay, .order = this->nextOrder++, .receiver = target, .sender = from, .bytes = std::move(bytes) });
    }
}

void GossipSimulation::scheduleTimer(int member)
{
    const auto index = static_cast<std::size_t>(member);
    const core::TimePoint next = std::max(this->nodes[index]->nextTimer(), this->time);
    if (this->scheduledTimers[index] <= next && this->scheduledTimers[index] >= this->time)
        return;
    this->scheduledTimers[index] = next;
    this->events.push({ .dueAt = next, .order = this->nextOrder++, .receiver = member, .sender = member, .bytes = nullptr });
}

void GossipSimulation::publish(int member, core::Object object)
{
    this->runNode(member, [&](fleet::Node& publisher, fleet::Outbox&) { publisher.publish(std::move(object), this->time); });
}

void GossipSimulation::publish(int member, const fleet::Item& item)
{
    this->runNode(member, [&](fleet::Node& publisher, fleet::Outbox&) { publisher.publish(item, this->time); });
}

void GossipSimulation::resetCosts()
{
    this->memberCosts.assign(this->memberCosts.size(), {});
    this->sentBytesByBody.assign(this->sentBytesByBody.size(), 0);
}

}
