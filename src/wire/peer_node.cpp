#include "wire/peer_node.h"

#include "wire/asio.h"
#include "wire/peer_transport.h"

namespace cranberryshed::wire {

PeerNode::PeerNode(boost::asio::io_context& context, const fleet::NodeOptions& options)
    : transport(std::make_shared<PeerTransport>(context, options))
{
}

PeerNode::~PeerNode()
{
    this->transport->close();
}

void PeerNode::start(std::function<void()> onChange)
{
    this->transport->start(std::move(onChange));
}

void PeerNode::announceLeaving()
{
    this->transport->runOnNode([](fleet::Node& node, core::TimePoint now, fleet::Outbox& outbox) { node.announceLeaving(now, outbox); });
}

void PeerNode::stop()
{
    this->transport->runOnNode([](fleet::Node& node, core::TimePoint now, fleet::Outbox& outbox) { node.announceLeft(now, outbox); });
    this->transport->close();
}

void PeerNode::joinThrough(const std::vector<std::string>& addresses)
{
    this->transport->runOnNode([&](fleet::Node& node, core::TimePoint now, fleet::Outbox& outbox) { node.joinThrough(addresses, now, outbox); });
}

void PeerNode::confirm(std::string_view kind, std::uint64_t revision)
{
    this->transport->runOnNode([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { node.confirm(kind, revision, now); });
}

bool PeerNode::publish(core::Object object, fleet::Propagation propagation)
{
    bool newer = false;
    this->transport->runOnNode([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { newer = node.publish(std::move(object), now, propagation); });
    return newer;
}

void PeerNode::publish(const fleet::Item& item)
{
    this->transport->runOnNode([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { node.publish(item, now); });
}

void PeerNode::setLoad(const core::DomainDigest& load)
{
    this->transport->runOnNode([&](fleet::Node& node, core::TimePoint now, fleet::Outbox&) { node.setLoad(load, now); });
}

const fleet::Node& PeerNode::node() const
{
    return this->transport->fleetNode();
}

std::string PeerNode::address() const
{
    return this->transport->address();
}

const PeerCounters& PeerNode::counters() const
{
    return this->transport->counters();
}

}
