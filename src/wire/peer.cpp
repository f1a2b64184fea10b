#include "wire/peer.h"

namespace cranberryshed::wire {

// A first version without transport: the node knows only itself.
class Peer::Implementation {
public:
    explicit Implementation(fleet::NodeOptions options)
        : address(options.peerAddress)
        , node(std::move(options), now())
    {
    }

    static core::TimePoint now() { return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now()); }

    std::string address;
    fleet::Node node;
    PeerCounters counters;
    std::function<void()> onChange;
};

Peer::Peer(boost::asio::io_context&, fleet::NodeOptions options)
    : implementation(std::make_shared<Implementation>(std::move(options)))
{
}

Peer::~Peer() = default;

void Peer::start(std::function<void()> onChange) { this->implementation->onChange = std::move(onChange); }

void Peer::leave() { }

void Peer::stop() { this->implementation->onChange = nullptr; }

bool Peer::publish(core::Object object)
{
    const bool newer = this->implementation->node.publish(std::move(object), Implementation::now());
    if (newer && this->implementation->onChange)
        this->implementation->onChange();
    return newer;
}

void Peer::publish(const fleet::Item&) { }

void Peer::setLoad(core::DomainDigest) { }

const fleet::Node& Peer::node() const { return this->implementation->node; }

std::string Peer::address() const { return this->implementation->address; }

const PeerCounters& Peer::counters() const { return this->implementation->counters; }

}
