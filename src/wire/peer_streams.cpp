#include "wire/peer_transport.h"

#include "wire/endpoint.h"
#include "wire/log.h"

#include <algorithm>
#include <array>

namespace cranberryshed::wire {

using namespace std::chrono_literals;

// The member functions of PeerTransport for framed messages over TCP streams. Each frame is a 32-bit little-endian
// length followed by a FlatBuffer. A stream carries messages in one direction only; replies arrive over a stream that
// the other member opens.

namespace {

    constexpr std::size_t lengthBytes = 4;
    // A frame's buffer grows by this many bytes at a time, so that a false length alone can't make it large.
    constexpr std::size_t frameReadBytes = 64U * 1024U;
    constexpr std::size_t maxIncomingStreams = 128;
    constexpr std::size_t maxQueuedMessages = 1024; // per stream; the content of objects is shared with the node
    constexpr auto connectTimeout = 3s;
    constexpr auto acceptRetryDelay = 100ms; // after an error of accept()
    constexpr auto transferTimeout = 20s; // for one frame; the largest then needs 55 KB/s
    // A stream can stop delivering without an error at the sender, and the members repeat what was lost. The repetition
    // needs another stream, so each is used only for this time.
    constexpr auto streamLifetime = 1s;
    constexpr auto receiverIdleTimeout = 30s; // longer than streamLifetime, so that no message is sent on a closed stream

    std::array<std::uint8_t, lengthBytes> encodeLength(std::size_t length)
    {
        std::array<std::uint8_t, lengthBytes> bytes {};
        for (std::size_t i = 0; i < lengthBytes; ++i)
            bytes[i] = static_cast<std::uint8_t>(length >> (8 * i));
        return bytes;
    }

    std::size_t decodeLength(const std::array<std::uint8_t, lengthBytes>& bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length |= static_cast<std::size_t>(bytes[i]) << (8 * i);
        return length;
    }

}

void PeerTransport::enqueue(const std::string& address, fleet::Message message)
{
    auto& queue = this->outgoingQueues[address];
    const bool isNew = !queue;
    if (isNew)
        queue = std::make_shared<OutgoingQueue>(this->executor);
    if (queue->messages.size() >= maxQueuedMessages) {
        ++this->peerCounters.dropped;
        return;
    }
    queue->messages.push_back(std::move(message));
    queue->messageAdded.cancel();
    if (isNew)
        asio::co_spawn(
            this->executor, [self = this->shared_from_this(), address, added = queue] { return self->runOutgoingQueue(address, added); }, asio::detached);
}

Task<bool> PeerTransport::connect(Stream& stream, const std::string& address)
{
    const udp::endpoint* endpoint = this->endpointOf(address);
    if (!endpoint)
        co_return false;
    stream.expires_after(connectTimeout);
    const auto [error] = co_await stream.async_connect(tcp::endpoint(endpoint->address(), endpoint->port()), useResult);
    co_return !error && !this->isClosed;
}

// Sends the queued messages until the queue is empty or `end` has passed. Returns false if the stream failed.
Task<bool> PeerTransport::sendQueued(Stream& stream, OutgoingQueue& queue, core::TimePoint end)
{
    while (!queue.messages.empty() && now() < end) {
        const std::vector<std::uint8_t> bytes = encodePeerMessage(queue.messages.front());
        queue.messages.pop_front();
        if (bytes.size() > maxFrameBytes) {
            ++this->peerCounters.dropped;
            continue;
        }
        const auto length = encodeLength(bytes.size());
        const std::array<asio::const_buffer, 2> frame = { asio::buffer(length), asio::buffer(bytes) };
        stream.expires_after(transferTimeout);
        const auto [error, size] = co_await asio::async_write(stream, frame, useResult);
        if (error || this->isClosed)
            co_return false;
        ++this->peerCounters.messagesOut;
        this->peerCounters.bytesOut += size;
    }
    co_return true;
}

// Opens a stream and sends the messages of one queue on it for streamLifetime. Returns false if the stream failed.
Task<bool> PeerTransport::runOutgoingStream(const std::string& address, OutgoingQueue& queue)
{
    Stream stream(this->executor);
    this->streams.insert(&stream);
    bool isOpen = co_await this->connect(stream, address);
    const core::TimePoint end = now() + streamLifetime;
    while (isOpen && now() < end) {
        isOpen = co_await this->sendQueued(stream, queue, end);
        if (!isOpen)
            break;
        queue.messageAdded.expires_at(end);
        co_await queue.messageAdded.async_wait(useResult);
    }
    this->streams.erase(&stream);
    co_return isOpen && !this->isClosed;
}

// Sends the messages of one queue over one stream after the other, until the queue is empty or a stream fails.
Task<void> PeerTransport::runOutgoingQueue(std::string address, std::shared_ptr<OutgoingQueue> queue)
{
    bool isReachable = true;
    while (isReachable && !queue->messages.empty())
        isReachable = co_await this->runOutgoingStream(address, *queue);
    this->peerCounters.dropped += queue->messages.size();
    auto found = this->outgoingQueues.find(address);
    if (found != this->outgoingQueues.end() && found->second == queue)
        this->outgoingQueues.erase(found);
}

Task<void> PeerTransport::acceptStreams()
{
    while (!this->isClosed) {
        auto [error, accepted] = co_await this->acceptor.async_accept(useResult);
        if (this->isClosed || error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // For example, no file descriptors are left: waits, because retrying at once would spin.
            log(core::LogComponent::Fleet, spdlog::level::warn, "cannot accept a stream of another member: {}", error.message());
            Timer retryTimer(this->executor);
            retryTimer.expires_after(acceptRetryDelay);
            co_await retryTimer.async_wait(useResult);
            continue;
        }
        if (this->incomingStreamCount >= maxIncomingStreams) {
            ++this->peerCounters.dropped;
            continue;
        }
        ++this->incomingStreamCount;
        asio::co_spawn(
            this->executor,
            [self = this->shared_from_this(), stream = std::make_shared<Stream>(std::move(accepted))] { return self->runIncomingStream(stream); },
            asio::detached);
    }
}

// Reads one frame. Returns false if the stream ended, a timeout passed or the stated length exceeds maxFrameBytes.
Task<bool> PeerTransport::readFrame(Stream& stream, std::vector<std::uint8_t>& frame) const
{
    std::array<std::uint8_t, lengthBytes> length {};
    stream.expires_after(receiverIdleTimeout);
    const auto [lengthError, lengthSize] = co_await asio::async_read(stream, asio::buffer(length), useResult);
    const std::size_t size = decodeLength(length);
    if (lengthError || lengthSize != lengthBytes || size > maxFrameBytes)
        co_return false;
    stream.expires_after(transferTimeout);
    frame.clear();
    while (frame.size() < size) {
        const std::size_t from = frame.size();
        frame.resize(std::min(size, from + frameReadBytes));
        const auto [error, read] = co_await asio::async_read(stream, asio::buffer(frame.data() + from, frame.size() - from), useResult);
        if (error || read != frame.size() - from)
            co_return false;
    }
    co_return true;
}

Task<void> PeerTransport::runIncomingStream(std::shared_ptr<Stream> stream)
{
    this->streams.insert(stream.get());
    error_code ignored;
    const std::string address = formatEndpoint(stream->socket().remote_endpoint(ignored));
    std::vector<std::uint8_t> frame;
    while (!this->isClosed && co_await this->readFrame(*stream, frame)) {
        if (!this->isClosed)
            this->receive(address, frame);
    }
    this->streams.erase(stream.get());
    --this->incomingStreamCount;
}

}
