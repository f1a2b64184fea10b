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

// The sockets and timers of a PeerNode. Its coroutines keep it alive until close() has ended them.
class PeerTransport : public std::enable_shared_from_this<PeerTransport> {
public:
    PeerTransport(asio::io_context&, const fleet::NodeOptions&);

    void start(std::function<void()> onChange);
    void close();

    // Runs an action on the node, sends what it caused and sets the timer again.
    template <typename Action>
    void drive(Action action)
    {
        if (this->closed)
            return;
        fleet::Outbox outbox;
        action(this->node, now(), outbox);
        this->send(outbox);
        this->arm();
        this->notify();
    }

    const fleet::Node& fleetNode() const { return this->node; }
    const std::string& address() const { return this->ownAddress; }
    const PeerCounters& counters() const { return this->count; }

private:
    using DatagramSocket = asio::basic_datagram_socket<udp, Executor>;

    // The messages that wait for one stream to one address.
    struct Channel {
        explicit Channel(const Executor& executor)
            : wake(executor)
        {
        }

        std::deque<fleet::Message> waiting;
        Timer wake; // cancelled when a message was added
    };

    static core::TimePoint now();
    static fleet::NodeOptions withAddress(fleet::NodeOptions, const std::string& address);
    std::string bind(const std::string& address);
    void arm();
    void notify();
    void send(fleet::Outbox&);
    void sendDatagram(const std::string& address, const std::vector<std::uint8_t>&);
    void queue(const std::string& address, fleet::Message);
    void receive(const std::string& address, std::span<const std::uint8_t>);
    const udp::endpoint* endpointOf(const std::string& address);

    Task<void> runTimer();
    Task<void> receiveDatagrams();
    Task<void> acceptStreams();
    Task<void> receiveStream(std::shared_ptr<Stream>);
    Task<bool> readFrame(Stream&, std::vector<std::uint8_t>&) const;
    Task<bool> connect(Stream&, const std::string& address);
    Task<bool> sendWaiting(Stream&, Channel&);
    Task<void> sendStream(std::string address, std::shared_ptr<Channel>);

    Executor executor;
    DatagramSocket socket;
    Acceptor acceptor;
    Timer timer;
    std::string ownAddress;
    fleet::Node node;
    core::TimePoint armedFor = core::TimePoint::max();
    PeerCounters count;
    std::function<void()> onChange;
    fleet::ChangeCounts notified;
    bool notifying = false;
    bool closed = false;
    std::unordered_map<std::string, std::shared_ptr<Channel>> channels;
    std::unordered_map<std::string, udp::endpoint> endpoints;
    std::unordered_set<Stream*> streams; // open ones, to be closed by close()
    std::size_t incoming = 0;
};

}
