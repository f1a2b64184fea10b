#pragma once

// The backend side of a session: sends a request to a backend server and reads the head of the answer. Included by
// session_impl.h.

#include "net/stream_parser.h"
#include "wire/clock.h"
#include "wire/connect.h"
#include "wire/dialect.h"
#include "wire/read_answer.h"
#include "wire/relay_answer.h"
#include "wire/text_response.h"
#include "wire/worker.h"

#include <charconv>

namespace cranberryshed::wire {

// The state of an attempt when the head of its answer has arrived or can no longer arrive.
struct AttemptHead {
    AttemptResult result = AttemptResult::Broken; // if Answered, the head is in the attempt's parser
    std::uint16_t status = 0;
    std::optional<core::Duration> retryAfter {};
    bool isComplete = false; // the whole answer was received
    std::optional<request::LoadSample> load {};
};

// The caller's connection, from which the rest of a large body is read.
struct BodySource {
    Stream& stream;
    beast::flat_buffer& buffer;
    std::shared_ptr<CallerParser> parser;
};

// Takes an idle connection from the pool or opens a new one. A new one is stored in the attempt before the wait, so
// that a cancellation can close it. Returns false if connecting failed or the attempt was cancelled meanwhile.
inline Task<bool> openConnection(Worker& worker, const Exchange& exchange, BackendAttempt& attempt)
{
    if (std::unique_ptr<BackendConnection> idle = worker.connections().take(attempt.address, exchange.refusedConnections, steadyNow())) {
        attempt.connection = std::move(idle);
        co_return true;
    }
    attempt.connection = std::make_unique<BackendConnection>(worker.executor(), worker.nextConnectionNumber());
    const core::TimePoint begin = steadyNow();
    const error_code error = co_await connectTo(*attempt.connection, attempt.address, worker.limits());
    attempt.isConnectionRefused = reachabilityOf(error) == core::Reachability::Refuses;
    if (error || attempt.cancelled)
        co_return false;
    attempt.connectTime = steadyNow() - begin;
    co_return true;
}

template <Dialect DialectType>
std::string serializeHeader(const Exchange& exchange, const BackendAttempt& attempt)
{
    http::request<http::empty_body> message(exchange.header);
    DialectType::setBackendFields(message.base(), attempt, attempt.deadline - steadyNow());
    std::string text;
    text.reserve(512);
    text += toStd(message.method_string());
    text += ' ';
    text += toStd(message.target());
    text += " HTTP/1.1\r\n";
    for (const auto& entry : message) {
        text += toStd(entry.name_string());
        text += ": ";
        text += toStd(entry.value());
        text += "\r\n";
    }
    text += "\r\n";
    return text;
}

inline void appendChunk(std::string& text, std::string_view piece)
{
    std::array<char, 16> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16);
    text.append(digits.data(), end);
    text += "\r\n";
    text += piece;
    text += "\r\n";
}

// How much of a request was sent.
enum class SendResult : std::uint8_t {
    Complete,
    NothingSent, // not a single byte
    ServerFailed, // partly sent, because the write to the server failed; it may have answered early
    CallerFailed, // partly sent, because reading the body from the caller failed
};

// Sends the part of a body that exceeds maxReplayBytes, reading it from the caller piece by piece.
inline Task<SendResult> streamBody(Worker& worker, BackendAttempt& attempt, BodySource source)
{
    const bool chunked = source.parser->chunked();
    const std::unique_ptr<char[]> chunk = makeBuffer(worker.limits().relayBufferBytes);
    std::string framed;
    while (!source.parser->is_done()) {
        auto& body = source.parser->get().body();
        body.data = chunk.get();
        body.size = worker.limits().relayBufferBytes;
        source.stream.expires_after(worker.limits().progressTimeout);
        const error_code readError = co_await net::parseSome(source.stream, source.buffer, *source.parser);
        if (readError && readError != http::error::need_buffer)
            co_return SendResult::CallerFailed;
        const std::string_view piece(chunk.get(), worker.limits().relayBufferBytes - body.size);
        if (piece.empty())
            continue;
        asio::const_buffer out(piece.data(), piece.size());
        if (chunked) {
            framed.clear();
            appendChunk(framed, piece);
            out = asio::buffer(framed);
        }
        attempt.connection->stream.expires_after(worker.limits().progressTimeout);
        auto [writeError, count] = co_await asio::async_write(attempt.connection->stream, out, useResult);
        if (writeError || attempt.cancelled)
            co_return SendResult::ServerFailed;
    }
    if (!chunked)
        co_return SendResult::Complete;
    auto [lastError, lastCount] = co_await asio::async_write(attempt.connection->stream, asio::buffer("0\r\n\r\n", 5), useResult);
    co_return lastError ? SendResult::ServerFailed : SendResult::Complete;
}

template <Dialect DialectType>
Task<SendResult> sendRequest(Worker& worker, Exchange& exchange, BackendAttempt& attempt, BodySource source)
{
    std::string text = serializeHeader<DialectType>(exchange, attempt);
    const bool chunked = source.parser->chunked();
    if (chunked && !exchange.bodyPrefix.empty())
        appendChunk(text, exchange.bodyPrefix);
    if (chunked && exchange.bodyComplete)
        text += "0\r\n\r\n";
    const std::array<asio::const_buffer, 2> parts = { asio::buffer(text), chunked ? asio::const_buffer() : asio::buffer(exchange.bodyPrefix) };
    attempt.connection->stream.expires_after(worker.limits().progressTimeout);
    auto [error, count] = co_await asio::async_write(attempt.connection->stream, parts, useResult);
    if (error)
        co_return count > 0 ? SendResult::ServerFailed : SendResult::NothingSent;
    if (exchange.bodyComplete)
        co_return SendResult::Complete;
    co_return co_await streamBody(worker, attempt, source);
}

// Connects, sends the request and reads up to the end of the answer's head. Then reads the body up to the number of
// bytes that the dialect buffers.
template <Dialect DialectType>
Task<AttemptHead> sendAndReadHead(Worker& worker, Exchange& exchange, BackendAttempt& attempt, BodySource source)
{
    const auto endedWith = [&](AttemptResult result) {
        return AttemptHead { .result = attempt.cancelled && result != AttemptResult::ConnectFailed ? AttemptResult::Cancelled : result };
    };
    const bool connected = co_await openConnection(worker, exchange, attempt);
    if (!connected)
        co_return endedWith(AttemptResult::ConnectFailed);
    const SendResult sent = co_await sendRequest<DialectType>(worker, exchange, attempt, source);
    attempt.requestSent = sent == SendResult::Complete;
    if (sent == SendResult::NothingSent)
        co_return endedWith(AttemptResult::ConnectFailed);
    // The server would wait for the rest of the body, so the attempt is cancelled. It does not count as broken, because
    // the server did not crash.
    if (sent == SendResult::CallerFailed)
        attempt.cancel();
    if (attempt.cancelled)
        co_return endedWith(AttemptResult::Cancelled);
    attempt.connection->stream.expires_never();
    const AnswerMatch match = co_await readMatchingHead<DialectType>(exchange, attempt);
    if (match == AnswerMatch::Invalid)
        co_return endedWith(AttemptResult::Broken);
    const auto& header = attempt.parser->get().base();
    attempt.load = DialectType::reportedLoad(header);
    attempt.isServerLeaving = DialectType::announcesLeaving(header);
    attempt.connection->serverIdleTimeout = statedIdleTimeout(header);
    AttemptHead head { .result = AttemptResult::Answered, .status = static_cast<std::uint16_t>(header.result_int()), .load = attempt.load };
    if (header.result() == http::status::service_unavailable)
        head.retryAfter = retryAfterField(header);
    if (match == AnswerMatch::Refused || match == AnswerMatch::Misdirected) {
        head.result = match == AnswerMatch::Refused ? AttemptResult::Refused : AttemptResult::Misdirected;
        exchange.refusedConnections.push_back(attempt.connection->number);
        attempt.connection->stream.expires_after(refusalBodyTimeout);
        if (!co_await readBody(attempt, attempt.bodyPrefix, net::readChunkBytes) && attempt.parser->is_done())
            returnToPool(worker, attempt);
        co_return head;
    }
    if (net::isEndUnknown(*attempt.parser, sent == SendResult::ServerFailed)) {
        attempt.failureReason = "the connection failed, so the end of the answer is unknown";
        co_return endedWith(AttemptResult::Broken);
    }
    if (DialectType::maxBufferedAnswerBytes > 0) {
        if (const error_code error = co_await readBody(attempt, attempt.bodyPrefix, DialectType::maxBufferedAnswerBytes)) {
            attempt.failureReason = error.message();
            co_return endedWith(AttemptResult::Broken);
        }
    }
    head.isComplete = attempt.parser->is_done();
    co_return head;
}

}
