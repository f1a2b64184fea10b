#pragma once

// The backend side of a session: sends a request to a backend server, reads the head of the answer and relays the
// answer to the caller. Included by session_impl.h.

#include "store/socket_options.h"
#include "wire/clock.h"
#include "wire/dialect.h"
#include "wire/endpoint.h"
#include "wire/stream_parser.h"
#include "wire/text_response.h"
#include "wire/worker.h"

#include <charconv>

namespace cranberryshed::wire {

using core::AttemptResult;

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

// The result of relaying an answer to the caller.
struct RelayResult {
    AttemptResult attemptResult = AttemptResult::Broken;
    bool isCallerReusable = false; // the caller got the whole answer, and its connection can carry another request
    std::uint64_t bytes = 0; // written to the caller
};

inline std::unique_ptr<char[]> makeBuffer(std::size_t size)
{
    return std::make_unique_for_overwrite<char[]>(size);
}

// Takes an idle connection from the pool or opens a new one. A new one is stored in the attempt before the wait, so
// that a cancellation can close it. Returns false if connecting failed or the attempt was cancelled meanwhile.
inline Task<bool> openConnection(Worker& worker, BackendAttempt& attempt)
{
    if (std::unique_ptr<BackendConnection> idle = worker.connections().take(attempt.address, steadyNow())) {
        attempt.connection = std::move(idle);
        co_return true;
    }
    attempt.connection = std::make_unique<BackendConnection>(worker.executor());
    attempt.connection->stream.expires_after(worker.limits().connectTimeout);
    const core::TimePoint begin = steadyNow();
    auto [error] = co_await attempt.connection->stream.async_connect(parseEndpoint(attempt.address), useResult);
    if (error || attempt.cancelled)
        co_return false;
    attempt.connectTime = steadyNow() - begin;
    error_code ignored;
    attempt.connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    store::detectUnresponsiveHost(attempt.connection->stream.socket().native_handle(), worker.limits().unresponsiveHostTimeout);
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
        const error_code readError = co_await parseSome(source.stream, source.buffer, *source.parser);
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

// A server can send bytes that are no answer without end. Beyond these bounds, the attempt counts as broken.
inline constexpr int maxSkippedAnswers = 4; // answers to earlier requests before the answer to this one
inline constexpr std::uint64_t maxSkippedBytes = 1024 * 1024; // of the body of an answer to an earlier request
inline constexpr int maxInterimAnswers = 8; // 1xx, before one final answer
// For the body of a refusal, which is read only so that its connection can be used again.
inline constexpr core::Duration refusalBodyTimeout = std::chrono::milliseconds(100);

// Reads up to the end of the next head that is not an interim answer (1xx).
inline Task<error_code> readFinalHead(Exchange& exchange, BackendAttempt& attempt)
{
    for (int i = 0; i <= maxInterimAnswers; ++i) {
        attempt.parser = std::make_unique<BackendParser>();
        attempt.parser->body_limit(boost::none);
        attempt.hasNoBody = exchange.header.method() == http::verb::head;
        attempt.parser->skip(attempt.hasNoBody);
        const error_code error = co_await parseHeader(attempt.connection->stream, attempt.connection->buffer, *attempt.parser);
        if (error || attempt.parser->get().result_int() / 100 != 1)
            co_return error;
    }
    co_return http::error::bad_status;
}

// Reads and drops the rest of an answer to an earlier request. Returns false if it can't be read or is too large.
inline Task<bool> skipBody(BackendAttempt& attempt)
{
    const std::unique_ptr<char[]> dropped = makeBuffer(readChunkBytes);
    std::uint64_t skippedBytes = 0;
    while (!attempt.parser->is_done()) {
        auto& body = attempt.parser->get().body();
        body.data = dropped.get();
        body.size = readChunkBytes;
        const error_code error = co_await parseSome(attempt.connection->stream, attempt.connection->buffer, *attempt.parser);
        skippedBytes += readChunkBytes - body.size;
        if ((error && error != http::error::need_buffer) || skippedBytes > maxSkippedBytes)
            co_return false;
    }
    co_return true;
}

// Reads the body until it is complete or `text` has `maxBytes` bytes. Returns the error that ended the read, if any.
inline Task<error_code> readBody(BackendAttempt& attempt, std::string& text, std::size_t maxBytes)
{
    BackendParser& parser = *attempt.parser;
    while (!parser.is_done() && text.size() < maxBytes) {
        const std::size_t before = text.size();
        const std::size_t size = std::min(maxBytes - before, std::max<std::size_t>(readChunkBytes, parser.content_length_remaining().value_or(0)));
        text.resize(before + size);
        auto& body = parser.get().body();
        body.data = text.data() + before;
        body.size = size;
        const error_code error = co_await parseSome(attempt.connection->stream, attempt.connection->buffer, parser);
        text.resize(text.size() - body.size);
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    co_return error_code();
}

// Reads up to the end of the head of the answer to this request. Skips answers to earlier requests that arrive first.
template <Dialect DialectType>
Task<AnswerMatch> readMatchingHead(Exchange& exchange, BackendAttempt& attempt)
{
    for (int i = 0; i < maxSkippedAnswers; ++i) {
        if (const error_code error = co_await readFinalHead(exchange, attempt)) {
            attempt.failureReason = error.message();
            co_return AnswerMatch::Invalid;
        }
        const AnswerMatch match = DialectType::matchAnswer(attempt.parser->get().base(), exchange.header, !attempt.connection->answered);
        attempt.connection->answered = true;
        if (match == AnswerMatch::Invalid)
            attempt.failureReason = "invalid answer: must not be relayed";
        if (match != AnswerMatch::EarlierRequest)
            co_return match;
        if (!co_await skipBody(attempt))
            break;
    }
    attempt.failureReason = "too much data of answers to earlier requests";
    co_return AnswerMatch::Invalid;
}

// The idle timeout that the server states in Keep-Alive, less 20 %, so that no request is on its way when the server
// closes the connection. Duration::max() if none is stated.
inline core::Duration statedIdleTimeout(const Fields& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text = toStd(fields[http::field::keep_alive]);
    const std::size_t found = text.find(parameter);
    unsigned seconds = 0;
    if (found == std::string_view::npos)
        return core::Duration::max();
    const char* begin = text.data() + found + parameter.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc())
        return core::Duration::max();
    return std::chrono::milliseconds(seconds * 800);
}

// Adapts the answer's framing to the caller's HTTP version. Returns false if only closing the connection can mark the
// end of the answer.
inline bool prepareForCaller(const BackendAttempt& attempt, unsigned callerVersion, bool keepAlive)
{
    BackendParser& parser = *attempt.parser;
    auto& message = parser.get();
    const bool hasLength = parser.content_length().has_value();
    removeHopByHop(message.base());
    const bool chunkable = callerVersion >= 11;
    const bool unbounded = !hasLength && !parser.is_done();
    // An answer without a body, such as one to HEAD, must not end with a last chunk.
    if (unbounded || parser.is_done())
        message.chunked(unbounded && chunkable);
    // chunked() has also removed Content-Length.
    if (!attempt.bodyPrefix.empty() && parser.is_done())
        message.content_length(attempt.bodyPrefix.size());
    message.version(11);
    message.keep_alive(keepAlive && (!unbounded || chunkable));
    return !unbounded || chunkable;
}

inline void prepareForBackend(RequestHeader& header)
{
    removeHopByHop(header);
}

// Returns the connection to the pool if it can carry another request: the attempt was not cancelled, its request was
// sent completely, and the server keeps the connection open. Call only after the whole answer was received.
inline void returnToPool(Worker& worker, BackendAttempt& attempt)
{
    if (!attempt.connection || !attempt.parser->keep_alive() || !attempt.requestSent || attempt.cancelled)
        return;
    attempt.connection->stream.expires_never();
    worker.connections().put(attempt.address, std::move(attempt.connection), steadyNow());
}

// Connects, sends the request and reads up to the end of the answer's head. Then reads the body up to the number of
// bytes that the dialect buffers.
template <Dialect DialectType>
Task<AttemptHead> sendAndReadHead(Worker& worker, Exchange& exchange, BackendAttempt& attempt, BodySource source)
{
    const auto endedWith = [&](AttemptResult result) {
        return AttemptHead { .result = attempt.cancelled && result != AttemptResult::ConnectFailed ? AttemptResult::Cancelled : result };
    };
    const bool connected = co_await openConnection(worker, attempt);
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
        attempt.connection->stream.expires_after(refusalBodyTimeout);
        if (!co_await readBody(attempt, attempt.bodyPrefix, readChunkBytes) && attempt.parser->is_done())
            returnToPool(worker, attempt);
        co_return head;
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

// The caller's side of a relay.
struct RelayTarget {
    Stream& stream;
    unsigned httpVersion = 11; // as in the caller's request: 10 or 11
    bool keepAlive = false;
    core::TimePoint until = core::TimePoint::max(); // the caller waits no longer; ends an answer that has no end
};

// Closes the caller's connection in the middle of an answer. If only the end of the connection marks the end of the
// answer, the connection is reset, because after an orderly close the answer would look complete.
inline void abortCaller(Stream& caller, bool isEndMarked)
{
    error_code ignored;
    if (!isEndMarked)
        caller.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    caller.close();
}

// Relays the answer of an attempt to the caller with a buffer of at most relayBufferBytes. If either side fails, the
// caller's connection is closed before the end of the answer is written, so that the caller can't take it for complete.
inline Task<RelayResult> relayAnswer(Worker& worker, BackendAttempt& attempt, RelayTarget target)
{
    Stream& caller = target.stream;
    BackendParser& parser = *attempt.parser;
    auto& message = parser.get();
    const bool isEndMarked = prepareForCaller(attempt, target.httpVersion, target.keepAlive);
    const std::size_t chunkSize = parser.is_done() ? 0 : std::min<std::uint64_t>(worker.limits().relayBufferBytes, parser.content_length().value_or(worker.limits().relayBufferBytes));
    const std::unique_ptr<char[]> chunk = makeBuffer(chunkSize);
    http::response_serializer<http::buffer_body> serializer(message);
    RelayResult result;
    while (!serializer.is_done()) {
        auto& body = message.body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        if (!attempt.bodyPrefix.empty() && result.bytes == 0) {
            body.data = attempt.bodyPrefix.data();
            body.size = attempt.bodyPrefix.size();
            body.more = !parser.is_done();
        } else if (!parser.is_done()) {
            body.data = chunk.get();
            body.size = chunkSize;
            const core::TimePoint now = steadyNow();
            attempt.connection->stream.expires_after(std::min<core::Duration>(worker.limits().progressTimeout, target.until - now));
            const error_code readError = co_await parseSome(attempt.connection->stream, attempt.connection->buffer, parser);
            if ((readError && readError != http::error::need_buffer) || now >= target.until) {
                result.attemptResult = attempt.cancelled ? AttemptResult::Cancelled : AttemptResult::Broken;
                abortCaller(caller, isEndMarked);
                co_return result;
            }
            body.size = chunkSize - body.size;
            body.more = !parser.is_done();
            if (body.size == 0 && body.more)
                continue;
            // An empty buffer would be written as a chunk of size 0, which marks the end of the body, and the
            // serializer writes that chunk itself.
            body.data = body.size == 0 ? nullptr : chunk.get();
        }
        caller.expires_after(worker.limits().progressTimeout);
        auto [writeError, count] = co_await http::async_write(caller, serializer, useResult);
        result.bytes += count;
        if (writeError && writeError != http::error::need_buffer) {
            result.attemptResult = AttemptResult::Cancelled;
            attempt.cancel();
            abortCaller(caller, isEndMarked);
            co_return result;
        }
    }
    result.attemptResult = AttemptResult::Answered;
    result.isCallerReusable = isEndMarked;
    returnToPool(worker, attempt);
    co_return result;
}

}
