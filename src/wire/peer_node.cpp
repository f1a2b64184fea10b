#include "wire/peer_node.h"

#include "wire/asio.h"
#include "wire/peer_transport.h"

namespace cranberryshed::wire {

Peer::Peer(boost::asio::io_context& context, const fleet::NodeOptions& options)
    : transport(std::make_shared<PeerTransport>(context, options))
{
}

Peer::~Peer()
{
    this->transport->close();
}

void Peer::start(std::function<void()> onChange)
{
    this->transport->start(std::move(onChange));
}

void Peer::announceLeaving()
{
    this->transport->drive([](fleet::Node& node, core::TimePoint now, fleet::Outbox& outbox) { node.announceLeaving(now, outbox); });
}

void Peer::stop()
{
    this->transport->drive([](fleet::Node& node, core::TimePoint now, fleet::Outbox& outbox) { node.announceLeft(now, outbox); });
    this->transport->close();
}

void Peer::joinThrough(const std::vector<std::string>& addresses)
{
    this->transport->drive([&](fleet::Node& node, core::TimePoint, fleet::Outbox& outbox) { node.joinThrough(addresses, outbox); });
}

bool Peer::publish(core::Object object, fleet::Propagation propagation)
{
    bool newer = false;
    this->transport->drive([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { newer = node.publish(std::move(object), now, propagation); });
    return newer;
}

void Peer::publish(const fleet::Item& item)
{
    this->transport->drive([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { node.publish(item, now); });
}

void Peer::setLoad(const core::DomainDigest& load)
{
    this->transport->drive([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { node.setLoad(load, now); });
}

const fleet::Node& Peer::node() const
{
    return this->transport->fleetNode();
}

std::string Peer::address() const
{
    return this->transport->address();
}

const PeerCounters& Peer::counters() const
{
    return this->transport->counters();
}

}
