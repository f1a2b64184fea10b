#include "wire/peer_transport.h"

#include "wire/endpoint.h"

#include <algorithm>
#include <array>

namespace cranberryshed::wire {

using namespace std::chrono_literals;

// The part of the transport that carries framed messages over streams. Each frame is a 32-bit little-endian
// length and a FlatBuffer. A stream carries messages one way only; answers come over the other member's own.

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t readStep = 64U * 1024U; // memory grows with what arrived, not with what was promised
    constexpr std::size_t incomingLimit = 128;
    constexpr std::size_t waitingLimit = 1024; // messages per stream; their content is shared with the node
    constexpr auto connectTime = 3s;
    constexpr auto transferTime = 20s; // for one frame, at 55 KB/s
    constexpr auto idleTime = 10s; // after which the sender closes a stream
    constexpr auto receiverIdleTime = 30s; // longer than the sender's, so that no message meets a closed stream

    std::array<std::uint8_t, lengthBytes> packLength(std::size_t length)
    {
        std::array<std::uint8_t, lengthBytes> bytes {};
        for (std::size_t i = 0; i < lengthBytes; ++i)
            bytes[i] = static_cast<std::uint8_t>(length >> (8 * i));
        return bytes;
    }

    std::size_t unpackLength(const std::array<std::uint8_t, lengthBytes>& bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length |= static_cast<std::size_t>(bytes[i]) << (8 * i);
        return length;
    }

}

void PeerTransport::queue(const std::string& address, fleet::Message message)
{
    auto& channel = this->channels[address];
    if (!channel) {
        channel = std::make_shared<Channel>(this->executor);
        asio::co_spawn(
            this->executor, [self = this->shared_from_this(), address, added = channel] { return self->sendStream(address, added); }, asio::detached);
    }
    if (channel->waiting.size() >= waitingLimit) {
        ++this->count.dropped;
        return;
    }
    channel->waiting.push_back(std::move(message));
    channel->wake.cancel();
}

Task<bool> PeerTransport::connect(Stream& stream, const std::string& address)
{
    const udp::endpoint* endpoint = this->endpointOf(address);
    if (!endpoint)
        co_return false;
    stream.expires_after(connectTime);
    const auto [error] = co_await stream.async_connect(tcp::endpoint(endpoint->address(), endpoint->port()), useResult);
    co_return !error && !this->closed;
}

Task<bool> PeerTransport::sendWaiting(Stream& stream, Channel& channel)
{
    while (!channel.waiting.empty()) {
        const std::vector<std::uint8_t> bytes = encodePeerMessage(channel.waiting.front());
        channel.waiting.pop_front();
        if (bytes.size() > maxFrameBytes) {
            ++this->count.dropped;
            continue;
        }
        const auto length = packLength(bytes.size());
        const std::array<asio::const_buffer, 2> frame = { asio::buffer(length), asio::buffer(bytes) };
        stream.expires_after(transferTime);
        const auto [error, size] = co_await asio::async_write(stream, frame, useResult);
        if (error || this->closed)
            co_return false;
        ++this->count.messagesOut;
        this->count.bytesOut += size;
    }
    co_return true;
}

// Sends the messages of one channel and closes the stream when none came for a while.
Task<void> PeerTransport::sendStream(std::string address, std::shared_ptr<Channel> channel)
{
    Stream stream(this->executor);
    this->streams.insert(&stream);
    bool open = co_await this->connect(stream, address);
    while (open && !channel->waiting.empty()) {
        open = co_await this->sendWaiting(stream, *channel);
        if (!open)
            break;
        channel->wake.expires_after(idleTime);
        co_await channel->wake.async_wait(useResult);
    }
    this->count.dropped += channel->waiting.size();
    this->streams.erase(&stream);
    auto known = this->channels.find(address);
    if (known != this->channels.end() && known->second == channel)
        this->channels.erase(known);
}

Task<void> PeerTransport::acceptStreams()
{
    while (!this->closed) {
        auto [error, accepted] = co_await this->acceptor.async_accept(useResult);
        if (this->closed || error == asio::error::operation_aborted)
            co_return;
        if (error || this->incoming >= incomingLimit)
            continue;
        ++this->incoming;
        asio::co_spawn(
            this->executor,
            [self = this->shared_from_this(), stream = std::make_shared<Stream>(std::move(accepted))] { return self->receiveStream(stream); },
            asio::detached);
    }
}

// Reads one frame. Returns false when the stream ended or its length is out of range.
Task<bool> PeerTransport::readFrame(Stream& stream, std::vector<std::uint8_t>& frame) const
{
    std::array<std::uint8_t, lengthBytes> length {};
    stream.expires_after(receiverIdleTime);
    const auto [lengthError, lengthSize] = co_await asio::async_read(stream, asio::buffer(length), useResult);
    const std::size_t size = unpackLength(length);
    if (lengthError || lengthSize != lengthBytes || size > maxFrameBytes)
        co_return false;
    stream.expires_after(transferTime);
    frame.clear();
    while (frame.size() < size) {
        const std::size_t from = frame.size();
        frame.resize(std::min(size, from + readStep));
        const auto [error, read] = co_await asio::async_read(stream, asio::buffer(frame.data() + from, frame.size() - from), useResult);
        if (error || read != frame.size() - from)
            co_return false;
    }
    co_return true;
}

Task<void> PeerTransport::receiveStream(std::shared_ptr<Stream> stream)
{
    this->streams.insert(stream.get());
    error_code ignored;
    const std::string address = formatEndpoint(stream->socket().remote_endpoint(ignored));
    std::vector<std::uint8_t> frame;
    while (!this->closed && co_await this->readFrame(*stream, frame)) {
        if (!this->closed)
            this->receive(address, frame);
    }
    this->streams.erase(stream.get());
    --this->incoming;
}

}
