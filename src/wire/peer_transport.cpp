#include "wire/peer_transport.h"

#include "core/errors.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/log.h"

#include <algorithm>

namespace cranberryshed::wire {

using namespace std::chrono_literals;

namespace {

    constexpr int bindAttempts = 16; // to find a port that is free for datagrams and streams
    constexpr int receiveBuffer = 1 << 20; // bytes; a change of view makes many members send at once
    constexpr std::size_t largestDatagram = 64U * 1024U;
    constexpr std::size_t endpointLimit = 4096; // addresses that are kept in parsed form
    constexpr core::Duration longestTimer = 1h;

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
    , ownAddress(this->bind(options.peerAddress))
    , node(withAddress(options, this->ownAddress), now())
{
}

// Binds both sockets to the same port. With port 0 the kernel chooses it for streams, and another one is
// tried if it is taken for datagrams.
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
            this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
            this->socket.non_blocking(true);
            return formatEndpoint(bound);
        }
        if (wanted.port() != 0 || attempt == bindAttempts)
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
    this->drive([](fleet::Node& started, core::TimePoint time, fleet::Outbox& outbox) { started.start(time, outbox); });
    asio::co_spawn(
        this->executor, [self] { return self->runTimer(); }, asio::detached);
}

void PeerTransport::close()
{
    this->closed = true;
    this->onChange = nullptr;
    error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    this->acceptor.close(ignored);
    for (auto& [address, channel] : this->channels)
        channel->wake.cancel();
    for (Stream* stream : this->streams)
        stream->close();
}

// Wakes the timer's coroutine if the node wants to be called earlier than it waits for.
void PeerTransport::arm()
{
    if (this->node.nextTimer() < this->armedFor)
        this->timer.cancel();
}

Task<void> PeerTransport::runTimer()
{
    while (!this->closed) {
        const core::TimePoint time = now();
        if (time >= this->node.nextTimer()) {
            this->drive([](fleet::Node& timedNode, core::TimePoint dueTime, fleet::Outbox& outbox) { timedNode.onTimer(dueTime, outbox); });
            continue;
        }
        this->armedFor = std::min(this->node.nextTimer(), time + longestTimer);
        this->timer.expires_at(this->armedFor);
        co_await this->timer.async_wait(useResult);
    }
}

// Tells the owner about changes in a call of its own, so that it may publish from there.
void PeerTransport::notify()
{
    if (this->notifying || !this->onChange || this->node.changes() == this->notified)
        return;
    this->notifying = true;
    asio::post(this->executor, [self = this->shared_from_this()] {
        self->notifying = false;
        self->notified = self->node.changes();
        if (const auto callback = self->onChange)
            callback();
    });
}

void PeerTransport::receive(const std::string& address, std::span<const std::uint8_t> bytes)
{
    ++this->count.messagesIn;
    this->count.bytesIn += bytes.size();
    try {
        fleet::Message message = decodePeerMessage(bytes);
        this->drive([&](fleet::Node& receiver, core::TimePoint time, fleet::Outbox& outbox) {
            receiver.handle({ .address = address, .message = std::move(message) }, time, outbox);
        });
    } catch (const core::Error& error) {
        ++this->count.malformed;
        log(core::LogComponent::Fleet, spdlog::level::debug, "dropped a message from {}: {}", address, error.what());
    }
}

Task<void> PeerTransport::receiveDatagrams()
{
    std::vector<std::uint8_t> buffer(largestDatagram);
    while (!this->closed) {
        udp::endpoint from;
        const auto [error, size] = co_await this->socket.async_receive_from(asio::buffer(buffer), from, useResult);
        if (this->closed || error == asio::error::operation_aborted)
            co_return;
        if (!error)
            this->receive(formatEndpoint(tcp::endpoint(from.address(), from.port())), { buffer.data(), size });
    }
}

// The parsed form of an address, or null if it has none.
const udp::endpoint* PeerTransport::endpointOf(const std::string& address)
{
    auto known = this->endpoints.find(address);
    if (known != this->endpoints.end())
        return &known->second;
    try {
        const tcp::endpoint parsed = parseEndpoint(address);
        if (this->endpoints.size() >= endpointLimit)
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
            out.message.senderAddress = this->ownAddress;
        }
        this->queue(out.address, std::move(out.message));
    }
}

void PeerTransport::sendDatagram(const std::string& address, const std::vector<std::uint8_t>& bytes)
{
    const udp::endpoint* endpoint = this->endpointOf(address);
    error_code error = asio::error::invalid_argument;
    if (endpoint)
        this->socket.send_to(asio::buffer(bytes), *endpoint, 0, error);
    if (error) {
        ++this->count.dropped;
        return;
    }
    ++this->count.messagesOut;
    this->count.bytesOut += bytes.size();
}

}
