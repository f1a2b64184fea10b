#pragma once

#include "wire/asio.h"
#include "wire/peer_codec.h"
#include "wire/peer_node.h"

#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cranberryshed::wire {

// The sockets and the timer of a PeerNode. Its coroutines keep it alive until close() has ended them.
class PeerTransport : public std::enable_shared_from_this<PeerTransport> {
public:
    PeerTransport(asio::io_context&, const fleet::NodeOptions&);

    void start(std::function<void()> onChange);
    void close();

    // Runs an action on the node, sends the resulting messages and resets the timer. Does nothing after close().
    template <typename Action>
    void runOnNode(Action action)
    {
        if (this->isClosed)
            return;
        fleet::Outbox outbox;
        action(this->node, now(), outbox);
        this->send(outbox);
        this->resetTimer();
        this->scheduleChangeCallback();
    }

    const fleet::Node& fleetNode() const { return this->node; }
    const std::string& address() const { return this->boundAddress; }
    const PeerCounters& counters() const { return this->peerCounters; }

private:
    using DatagramSocket = asio::basic_datagram_socket<udp, Executor>;

    // Messages that wait to be sent on the stream to one address.
    struct OutgoingQueue {
        explicit OutgoingQueue(const Executor& executor)
            : messageAdded(executor)
        {
        }

        std::deque<fleet::Message> messages;
        Timer messageAdded; // cancelled when a message is added, which wakes the sender
    };

    static core::TimePoint now();
    static fleet::NodeOptions withAddress(fleet::NodeOptions, const std::string& address);
    std::string bind(const std::string& address);
    void resetTimer();
    void scheduleChangeCallback();
    void send(fleet::Outbox&);
    void sendDatagram(const std::string& address, const std::vector<std::uint8_t>&);
    void enqueue(const std::string& address, fleet::Message);
    void receive(const std::string& address, std::span<const std::uint8_t>);
    const udp::endpoint* endpointOf(const std::string& address);

    Task<void> runTimer();
    Task<void> receiveDatagrams();
    Task<void> acceptStreams();
    Task<void> runIncomingStream(std::shared_ptr<Stream>);
    Task<bool> readFrame(Stream&, std::vector<std::uint8_t>&) const;
    Task<bool> connect(Stream&, const std::string& address);
    Task<bool> sendQueued(Stream&, OutgoingQueue&, core::TimePoint end);
    Task<bool> runOutgoingStream(const std::string& address, OutgoingQueue&);
    Task<void> runOutgoingQueue(std::string address, std::shared_ptr<OutgoingQueue>);

    Executor executor;
    DatagramSocket socket;
    Acceptor acceptor;
    Timer timer;
    std::string boundAddress;
    fleet::Node node;
    core::TimePoint timerExpiry = core::TimePoint::max();
    PeerCounters peerCounters;
    std::function<void()> onChange;
    fleet::ChangeCounts reportedChanges;
    bool isCallbackScheduled = false;
    bool isClosed = false;
    std::unordered_map<std::string, std::shared_ptr<OutgoingQueue>> outgoingQueues;
    std::unordered_map<std::string, udp::endpoint> endpoints;
    std::unordered_set<Stream*> streams; // open streams, which close() closes
    std::size_t incomingStreamCount = 0;
};

}
