#pragma once

#include "fleet/pipeline.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace cranberryshed::wire {

// Counts of messages to and from other entry VMs.
struct PeerCounters {
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0; // payload of datagrams and streams
    std::uint64_t bytesOut = 0;
    std::uint64_t malformed = 0; // received messages that were dropped because they could not be decoded
    std::uint64_t dropped = 0; // messages not sent: too large, queue full or peer unreachable
};

class PeerTransport;

// Runs this entry VM's fleet::Node on the control thread's io_context and transports its messages: in UDP datagrams of
// at most 1,200 bytes, and over framed TCP streams if they are larger or the node asks for a stream. Not thread-safe:
// call it on the control thread only.
class PeerNode {
public:
    // Binds the datagram socket and the stream acceptor to `options.peerAddress`; with port 0 the kernel chooses the
    // port. Throws boost::system::system_error if the address cannot be bound.
    PeerNode(boost::asio::io_context&, const fleet::NodeOptions&);
    ~PeerNode();
    PeerNode(const PeerNode&) = delete;
    PeerNode& operator=(const PeerNode&) = delete;

    // Joins the fleet. `onChange` is called on the control thread whenever Node::changes() has changed since its last
    // call.
    void start(std::function<void()> onChange);

    // Announces that this member will stop soon.
    void announceLeaving();

    // Announces that this member stops now and closes the sockets.
    void stop();

    // Call the functions of the same name of Node and send the resulting messages.
    bool publish(core::Object, fleet::Propagation = fleet::Propagation::Gossip);
    void joinThrough(const std::vector<std::string>& addresses);
    void confirm(std::string_view kind, std::uint64_t revision);
    void publish(const fleet::Item&);
    void setLoad(const core::DomainDigest&);

    const fleet::Node& node() const;
    std::string address() const; // the bound "IP:port"
    const PeerCounters& counters() const;

private:
    std::shared_ptr<PeerTransport> transport;
};

}
