#include "fleet/pipeline.h"

#include "core/hash.h"

#include <algorithm>

namespace cranberryshed::fleet {

Node::Node(NodeOptions nodeOptions, core::TimePoint)
    : options(std::move(nodeOptions))
{
}

void Node::start(core::TimePoint, Outbox&) { }

void Node::handle(Received, core::TimePoint, Outbox&) { }

void Node::due(core::TimePoint, Outbox&) { }

core::TimePoint Node::nextTimer() const
{
    return core::TimePoint::max();
}

bool Node::publish(core::Object object, core::TimePoint)
{
    auto known = std::find_if(this->objects.begin(), this->objects.end(), [&](const auto& candidate) {
        return candidate->kind == object.kind && candidate->name == object.name;
    });
    if (known != this->objects.end() && (*known)->version >= object.version)
        return false;
    if (known != this->objects.end())
        this->objects.erase(known);
    this->objects.push_back(std::make_shared<const core::Object>(std::move(object)));
    ++this->changeCount.objects;
    return true;
}

void Node::publish(const Item&, core::TimePoint) { }

void Node::setLoad(core::DomainDigest, core::TimePoint) { }

void Node::leave(core::TimePoint, Outbox&) { }

void Node::depart(core::TimePoint, Outbox&) { }

Snapshot Node::snapshot(core::TimePoint) const
{
    Snapshot result;
    result.self = MemberId { core::hashBytes(this->options.name) };
    result.joined = true;
    result.watcher = true;
    result.objects = this->objects;
    result.members.push_back({ .fact = { .id = result.self, .incarnation = this->options.incarnation },
        .name = this->options.name,
        .peerAddress = this->options.peerAddress,
        .callerAddress = this->options.callerAddress,
        .region = this->options.region,
        .domain = this->options.domain });
    return result;
}

Changes Node::changes() const
{
    return this->changeCount;
}

}
