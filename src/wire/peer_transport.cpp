#include "wire/peer_transport.h"

#include "core/errors.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/log.h"

#include <algorithm>

namespace cranberryshed::wire {

using namespace std::chrono_literals;

namespace {

    constexpr int maxBindAttempts = 16; // to find a port that is free for both datagrams and streams
    constexpr int receiveBufferBytes = 1 << 20; // a membership change makes many members send at once
    constexpr std::size_t maxReceivedDatagramBytes = 64U * 1024U;
    constexpr std::size_t maxCachedEndpoints = 4096; // parsed addresses
    constexpr core::Duration maxTimerWait = 1h;

}

core::TimePoint PeerTransport::now() { return steadyNow(); }

fleet::NodeOptions PeerTransport::withAddress(fleet::NodeOptions options, const std::string& address)
{
    options.peerAddress = address;
    return options;
}

PeerTransport::PeerTransport(asio::io_context& context, const fleet::NodeOptions& options)
    : executor(context.get_executor())
    , socket(this->executor)
    , acceptor(this->executor)
    , timer(this->executor)
    , boundAddress(this->bind(options.peerAddress))
    , node(withAddress(options, this->boundAddress), now())
{
}

// Binds both sockets to the same port. With port 0 the kernel chooses a port that is free for streams; if it is not
// free for datagrams, another one is tried. Returns the bound "IP:port".
std::string PeerTransport::bind(const std::string& address)
{
    const tcp::endpoint wanted = parseEndpoint(address);
    for (int attempt = 1;; ++attempt) {
        this->acceptor.open(wanted.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(wanted);
        const tcp::endpoint bound = this->acceptor.local_endpoint();
        const udp::endpoint same(bound.address(), bound.port());
        this->socket.open(same.protocol());
        error_code error;
        this->socket.bind(same, error);
        if (!error) {
            this->acceptor.listen();
            this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            this->socket.non_blocking(true);
            return formatEndpoint(bound);
        }
        if (wanted.port() != 0 || attempt == maxBindAttempts)
            throw boost::system::system_error(error);
        this->acceptor.close();
        this->socket.close();
    }
}

void PeerTransport::start(std::function<void()> callback)
{
    this->onChange = std::move(callback);
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->executor, [self] { return self->receiveDatagrams(); }, asio::detached);
    asio::co_spawn(
        this->executor, [self] { return self->acceptStreams(); }, asio::detached);
    this->runOnNode([](fleet::Node& started, core::TimePoint time, fleet::Outbox& outbox) { started.start(time, outbox); });
    asio::co_spawn(
        this->executor, [self] { return self->runTimer(); }, asio::detached);
}

void PeerTransport::close()
{
    this->isClosed = true;
    this->onChange = nullptr;
    error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    this->acceptor.close(ignored);
    for (auto& [address, queue] : this->outgoingQueues)
        queue->messageAdded.cancel();
    for (Stream* stream : this->streams)
        stream->close();
}

// Wakes the timer's coroutine if the node's next timer is due before the current expiry.
void PeerTransport::resetTimer()
{
    if (this->node.nextTimer() < this->timerExpiry)
        this->timer.cancel();
}

Task<void> PeerTransport::runTimer()
{
    while (!this->isClosed) {
        const core::TimePoint time = now();
        if (time >= this->node.nextTimer()) {
            this->runOnNode([](fleet::Node& timedNode, core::TimePoint dueTime, fleet::Outbox& outbox) { timedNode.onTimer(dueTime, outbox); });
            continue;
        }
        this->timerExpiry = std::min(this->node.nextTimer(), time + maxTimerWait);
        this->timer.expires_at(this->timerExpiry);
        co_await this->timer.async_wait(useResult);
    }
}

// If the node has changed, posts the owner's callback instead of calling it here, so that the callback can publish.
void PeerTransport::scheduleChangeCallback()
{
    if (this->isCallbackScheduled || !this->onChange || this->node.changes() == this->reportedChanges)
        return;
    this->isCallbackScheduled = true;
    asio::post(this->executor, [self = this->shared_from_this()] {
        self->isCallbackScheduled = false;
        self->reportedChanges = self->node.changes();
        if (const auto callback = self->onChange)
            callback();
    });
}

void PeerTransport::receive(const std::string& address, std::span<const std::uint8_t> bytes)
{
    ++this->peerCounters.messagesIn;
    this->peerCounters.bytesIn += bytes.size();
    try {
        fleet::Message message = decodePeerMessage(bytes);
        this->runOnNode([&](fleet::Node& receiver, core::TimePoint time, fleet::Outbox& outbox) {
            receiver.handle({ .address = address, .message = std::move(message) }, time, outbox);
        });
    } catch (const core::Error& error) {
        ++this->peerCounters.malformed;
        log(core::LogComponent::Fleet, spdlog::level::debug, "dropped a malformed message from {}: {}", address, error.what());
    }
}

Task<void> PeerTransport::receiveDatagrams()
{
    std::vector<std::uint8_t> buffer(maxReceivedDatagramBytes);
    while (!this->isClosed) {
        udp::endpoint from;
        const auto [error, size] = co_await this->socket.async_receive_from(asio::buffer(buffer), from, useResult);
        if (this->isClosed || error == asio::error::operation_aborted)
            co_return;
        if (!error)
            this->receive(formatEndpoint(tcp::endpoint(from.address(), from.port())), { buffer.data(), size });
    }
}

// Returns the parsed address, or null if it can't be parsed. The pointer is valid until the next call.
const udp::endpoint* PeerTransport::endpointOf(const std::string& address)
{
    auto found = this->endpoints.find(address);
    if (found != this->endpoints.end())
        return &found->second;
    try {
        const tcp::endpoint parsed = parseEndpoint(address);
        if (this->endpoints.size() >= maxCachedEndpoints)
            this->endpoints.clear();
        return &this->endpoints.emplace(address, udp::endpoint(parsed.address(), parsed.port())).first->second;
    } catch (const core::Error&) {
        return nullptr;
    }
}

void PeerTransport::send(fleet::Outbox& outbox)
{
    for (fleet::OutgoingMessage& out : outbox) {
        if (out.transport == fleet::Transport::Datagram) {
            const std::vector<std::uint8_t> bytes = encodePeerMessage(out.message);
            if (bytes.size() <= maxDatagramBytes) {
                this->sendDatagram(out.address, bytes);
                continue;
            }
            out.message.senderAddress = this->boundAddress;
        }
        this->enqueue(out.address, std::move(out.message));
    }
}

void PeerTransport::sendDatagram(const std::string& address, const std::vector<std::uint8_t>& bytes)
{
    const udp::endpoint* endpoint = this->endpointOf(address);
    error_code error = asio::error::invalid_argument;
    if (endpoint)
        this->socket.send_to(asio::buffer(bytes), *endpoint, 0, error);
    if (error) {
        ++this->peerCounters.dropped;
        return;
    }
    ++this->peerCounters.messagesOut;
    this->peerCounters.bytesOut += bytes.size();
}

}
