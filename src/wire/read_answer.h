#pragma once

// Reads the answer of a backend server up to the end of its head, and parts of its body. Bounds what a faulty server can
// send.

#include "net/answer_parser.h"
#include "wire/dialect.h"
#include "wire/worker.h"

#include <charconv>

namespace cranberryshed::wire {

inline std::unique_ptr<char[]> makeBuffer(std::size_t size)
{
    return std::make_unique_for_overwrite<char[]>(size);
}

// A server can send bytes that are no answer without end. Beyond these bounds, the attempt counts as broken.
inline constexpr int maxSkippedAnswers = 4; // answers to earlier requests before the answer to this one
inline constexpr std::uint64_t maxSkippedBytes = 1024 * 1024; // of the body of an answer to an earlier request
// For the body of a refusal, which is read only so that its connection can be used again.
inline constexpr core::Duration refusalBodyTimeout = std::chrono::milliseconds(100);

// Reads up to the end of the next head that is not an interim answer (1xx).
inline Task<error_code> readFinalHead(Exchange& exchange, BackendAttempt& attempt)
{
    attempt.hasNoBody = exchange.header.method() == http::verb::head;
    const auto makeParser = [&]() -> BackendParser& {
        attempt.parser = std::make_unique<BackendParser>();
        attempt.parser->body_limit(boost::none);
        attempt.parser->skip(attempt.hasNoBody);
        return *attempt.parser;
    };
    co_return co_await net::readFinalHeader(attempt.connection->stream, attempt.connection->buffer, makeParser);
}

// Reads and drops the rest of an answer to an earlier request. Returns false if it can't be read or is too large.
inline Task<bool> skipBody(BackendAttempt& attempt)
{
    const std::unique_ptr<char[]> dropped = makeBuffer(net::readChunkBytes);
    std::uint64_t skippedBytes = 0;
    while (!attempt.parser->is_done()) {
        auto& body = attempt.parser->get().body();
        body.data = dropped.get();
        body.size = net::readChunkBytes;
        const error_code error = co_await net::parseSome(attempt.connection->stream, attempt.connection->buffer, *attempt.parser);
        skippedBytes += net::readChunkBytes - body.size;
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
        const std::size_t size = std::min(maxBytes - before, std::max<std::size_t>(net::readChunkBytes, parser.content_length_remaining().value_or(0)));
        text.resize(before + size);
        auto& body = parser.get().body();
        body.data = text.data() + before;
        body.size = size;
        const error_code error = co_await net::parseSome(attempt.connection->stream, attempt.connection->buffer, parser);
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

}
