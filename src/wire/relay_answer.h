#pragma once

// Relays the answer of a backend server to the caller.

#include "wire/clock.h"
#include "wire/read_answer.h"

namespace cranberryshed::wire {

using core::AttemptResult;

// The result of relaying an answer to the caller.
struct RelayResult {
    AttemptResult attemptResult = AttemptResult::Broken;
    bool isCallerReusable = false; // the caller got the whole answer, and its connection can carry another request
    std::uint64_t bytes = 0; // written to the caller
};

// Sets the framing of an answer that was received completely. Its length must be stated even if it is 0: without a
// length and without chunks, only the end of the connection would mark the end of the answer.
inline void frameCompleteAnswer(const BackendAttempt& attempt)
{
    auto& message = attempt.parser->get();
    const boost::optional<std::uint64_t> statedLength = attempt.parser->content_length();
    message.chunked(false); // also removes Content-Length
    const bool isNotModified = message.result() == http::status::not_modified;
    if (attempt.hasNoBody || isNotModified) {
        if (statedLength)
            message.content_length(*statedLength); // of the body that the answer to a GET would have
    } else if (message.result() != http::status::no_content)
        message.content_length(attempt.bodyPrefix.size());
}

// Adapts the answer's framing to the caller's HTTP version. Returns false if only closing the connection can mark the
// end of the answer.
template <Dialect DialectType>
bool prepareForCaller(const BackendAttempt& attempt, unsigned callerVersion, bool keepAlive)
{
    BackendParser& parser = *attempt.parser;
    auto& message = parser.get();
    const bool hasLength = parser.content_length().has_value();
    removeHopByHop(message.base(), DialectType::endToEndFields);
    const bool chunkable = callerVersion >= 11;
    const bool unbounded = !hasLength && !parser.is_done();
    if (parser.is_done())
        frameCompleteAnswer(attempt);
    else if (unbounded)
        message.chunked(chunkable);
    message.version(11);
    message.keep_alive(keepAlive && (!unbounded || chunkable));
    return !unbounded || chunkable;
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
template <Dialect DialectType>
Task<RelayResult> relayAnswer(Worker& worker, BackendAttempt& attempt, RelayTarget target)
{
    Stream& caller = target.stream;
    BackendParser& parser = *attempt.parser;
    auto& message = parser.get();
    const bool isEndMarked = prepareForCaller<DialectType>(attempt, target.httpVersion, target.keepAlive);
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
            const error_code readError = co_await net::parseSome(attempt.connection->stream, attempt.connection->buffer, parser);
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
