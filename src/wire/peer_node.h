#pragma once

#include "fleet/node.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace cranberryshed::wire {

struct PeerCounters {
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0; // payload of datagrams and streams
    std::uint64_t bytesOut = 0;
    std::uint64_t malformed = 0; // dropped because they could not be verified
    std::uint64_t dropped = 0; // not sent, because a queue was full or the peer was not reachable
};

class PeerTransport;

// Runs one fleet::Node on the control thread's io_context and carries its messages:
// datagrams of at most 1,200 bytes, and framed streams for all that is larger.
class PeerNode {
public:
    // Binds the datagram socket and the stream acceptor to `options.peerAddress`; port 0 lets the kernel choose.
    // Throws boost::system::system_error if the address cannot be bound.
    PeerNode(boost::asio::io_context&, const fleet::NodeOptions&);
    ~PeerNode();
    PeerNode(const PeerNode&) = delete;
    PeerNode& operator=(const PeerNode&) = delete;

    // Joins the fleet. `onChange` is called on the control thread when Node::changes() differs from the last call.
    void start(std::function<void()> onChange);

    // Announces that this member stops soon.
    void announceLeaving();

    // Announces that this member stops now, and closes the sockets.
    void stop();

    // The same as the functions of Node; what they cause is sent.
    bool publish(core::Object, fleet::Propagation = fleet::Propagation::Gossip);
    void joinThrough(const std::vector<std::string>& addresses);
    void publish(const fleet::Item&);
    void setLoad(const core::DomainDigest&);

    const fleet::Node& node() const;
    std::string address() const; // "IP:port" that was bound
    const PeerCounters& counters() const;

private:
    std::shared_ptr<PeerTransport> transport;
};

}
