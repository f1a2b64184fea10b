#include "wire/upstream.h"

#include "wire/answer.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/feed.h"
#include "wire/worker.h"

#include <charconv>

namespace cranberryshed::wire {

namespace {

    using core::AttemptResult;

    std::unique_ptr<char[]> makeChunk(std::size_t size)
    {
        return std::make_unique_for_overwrite<char[]>(size);
    }

    // Opens a connection. Sets the attempt's connection before it waits, so that a cancellation can close it.
    Task<bool> connect(Worker& worker, Attempt& attempt)
    {
        if (std::unique_ptr<BackendConnection> idle = worker.connections().take(attempt.address, steadyNow())) {
            attempt.connection = std::move(idle);
            co_return true;
        }
        attempt.connection = std::make_unique<BackendConnection>(worker.executor());
        attempt.connection->stream.expires_after(worker.limits().connectTimeout);
        auto [error] = co_await attempt.connection->stream.async_connect(parseEndpoint(attempt.address), useResult);
        if (error || attempt.cancelled)
            co_return false;
        error_code ignored;
        attempt.connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        co_return true;
    }

    std::string headerText(const Exchange& exchange, const Attempt& attempt)
    {
        http::request<http::empty_body> message(exchange.header);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.deadline - steadyNow());
        const beast::string_view name(field::deadline.data(), field::deadline.size());
        message.set(name, std::to_string(std::max<std::int64_t>(1, left.count())));
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

    void appendChunk(std::string& text, std::string_view piece)
    {
        std::array<char, 16> digits {};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), 16);
        text.append(digits.data(), end);
        text += "\r\n";
        text += piece;
        text += "\r\n";
    }

    // How far a request was sent.
    enum class SendEnd : std::uint8_t {
        Whole,
        Nothing, // no byte
        ServerFailed, // in part; the server may have answered early
        CallerFailed, // in part, because the caller broke off its body
    };

    // Sends the rest of a body that is too large to be kept.
    Task<SendEnd> streamBody(Worker& worker, Attempt& attempt, BodySource source)
    {
        const bool chunked = source.parser->chunked();
        const std::unique_ptr<char[]> chunk = makeChunk(worker.limits().relayBytes);
        std::string framed;
        while (!source.parser->is_done()) {
            auto& body = source.parser->get().body();
            body.data = chunk.get();
            body.size = worker.limits().relayBytes;
            source.stream.expires_after(worker.limits().progressTimeout);
            const error_code readError = co_await feed(source.stream, source.buffer, *source.parser);
            if (readError && readError != http::error::need_buffer)
                co_return SendEnd::CallerFailed;
            const std::string_view piece(chunk.get(), worker.limits().relayBytes - body.size);
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
                co_return SendEnd::ServerFailed;
        }
        if (!chunked)
            co_return SendEnd::Whole;
        auto [lastError, lastCount] = co_await asio::async_write(attempt.connection->stream, asio::buffer("0\r\n\r\n", 5), useResult);
        co_return lastError ? SendEnd::ServerFailed : SendEnd::Whole;
    }

    Task<SendEnd> send(Worker& worker, Exchange& exchange, Attempt& attempt, BodySource source)
    {
        std::string text = headerText(exchange, attempt);
        const bool chunked = source.parser->chunked();
        if (chunked && !exchange.bodyStart.empty())
            appendChunk(text, exchange.bodyStart);
        if (chunked && exchange.bodyComplete)
            text += "0\r\n\r\n";
        const std::array<asio::const_buffer, 2> parts = { asio::buffer(text), chunked ? asio::const_buffer() : asio::buffer(exchange.bodyStart) };
        attempt.connection->stream.expires_after(worker.limits().progressTimeout);
        auto [error, count] = co_await asio::async_write(attempt.connection->stream, parts, useResult);
        if (error)
            co_return count > 0 ? SendEnd::ServerFailed : SendEnd::Nothing;
        if (exchange.bodyComplete)
            co_return SendEnd::Whole;
        co_return co_await streamBody(worker, attempt, source);
    }

    // Reads up to the final answer's head; interim answers (1xx) are skipped.
    Task<error_code> readHead(Exchange& exchange, Attempt& attempt)
    {
        do {
            attempt.parser = std::make_unique<BackendParser>();
            attempt.parser->body_limit(boost::none);
            attempt.parser->skip(exchange.header.method() == http::verb::head);
            const error_code error = co_await feedHeader(attempt.connection->stream, attempt.connection->buffer, *attempt.parser);
            if (error)
                co_return error;
        } while (attempt.parser->get().result_int() / 100 == 1);
        co_return error_code();
    }

    std::optional<core::Duration> retryAfter(const Fields& fields)
    {
        const std::string_view text = toStd(fields[http::field::retry_after]);
        unsigned seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (text.empty() || error != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

    bool refusedUnrun(const http::response_header<>& header)
    {
        const beast::string_view name(field::backendRun.data(), field::backendRun.size());
        return header.result() == http::status::service_unavailable && toStd(header[name]) == core::nameOf(core::RunState::NotRun);
    }

    // Adapts the answer's framing to the caller. Returns false if its end has to be the end of the connection.
    bool prepareForCaller(BackendParser& parser, unsigned callerVersion, bool keepAlive)
    {
        auto& message = parser.get();
        const bool hasLength = parser.content_length().has_value();
        removeHopByHop(message.base());
        const bool chunkable = callerVersion >= 11;
        const bool unbounded = !hasLength && !parser.is_done();
        // An answer without a body, such as one to HEAD, must not end with a last chunk.
        if (unbounded || parser.is_done())
            message.chunked(unbounded && chunkable);
        message.version(11);
        message.keep_alive(keepAlive && (!unbounded || chunkable));
        return !unbounded || chunkable;
    }

}

void prepareForBackend(RequestHeader& header, const Socket& callerSocket)
{
    removeHopByHop(header);
    header.erase(beast::string_view(field::deadline.data(), field::deadline.size()));
    error_code error;
    const tcp::endpoint remote = callerSocket.remote_endpoint(error);
    if (!error)
        header.insert("X-Forwarded-For", remote.address().to_string());
}

Task<AttemptHead> sendAndReadHead(Worker& worker, Exchange& exchange, Attempt& attempt, BodySource source)
{
    const auto ended = [&](AttemptResult result) {
        return AttemptHead { .result = attempt.cancelled && result != AttemptResult::ConnectFailed ? AttemptResult::Cancelled : result, .status = 0, .retryAfter = {} };
    };
    const bool connected = co_await connect(worker, attempt);
    if (!connected)
        co_return ended(AttemptResult::ConnectFailed);
    const SendEnd sent = co_await send(worker, exchange, attempt, source);
    attempt.requestSent = sent == SendEnd::Whole;
    if (sent == SendEnd::Nothing)
        co_return ended(AttemptResult::ConnectFailed);
    // The server would wait for the rest of the body. It did not crash, so the attempt does not count as broken.
    if (sent == SendEnd::CallerFailed)
        attempt.cancel();
    if (attempt.cancelled)
        co_return ended(AttemptResult::Cancelled);
    attempt.connection->stream.expires_never();
    if (co_await readHead(exchange, attempt))
        co_return ended(AttemptResult::Broken);
    const auto& header = attempt.parser->get().base();
    const std::uint16_t status = static_cast<std::uint16_t>(header.result_int());
    if (refusedUnrun(header))
        co_return AttemptHead { .result = AttemptResult::Refused, .status = status, .retryAfter = retryAfter(header) };
    co_return AttemptHead { .result = AttemptResult::Answered, .status = status, .retryAfter = {} };
}

Task<RelayResult> relayAnswer(Worker& worker, Attempt& attempt, Stream& caller, unsigned callerVersion, bool keepAlive)
{
    BackendParser& parser = *attempt.parser;
    auto& message = parser.get();
    const bool framed = prepareForCaller(parser, callerVersion, keepAlive);
    const std::size_t chunkSize = std::min<std::uint64_t>(worker.limits().relayBytes, parser.content_length().value_or(worker.limits().relayBytes));
    const std::unique_ptr<char[]> chunk = makeChunk(chunkSize);
    http::response_serializer<http::buffer_body> serializer(message);
    RelayResult result;
    while (!serializer.is_done()) {
        auto& body = message.body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        if (!parser.is_done()) {
            body.data = chunk.get();
            body.size = chunkSize;
            attempt.connection->stream.expires_after(worker.limits().progressTimeout);
            const error_code readError = co_await feed(attempt.connection->stream, attempt.connection->buffer, parser);
            if (readError && readError != http::error::need_buffer) {
                result.attempt = attempt.cancelled ? AttemptResult::Cancelled : AttemptResult::Broken;
                caller.close();
                co_return result;
            }
            body.size = chunkSize - body.size;
            body.more = !parser.is_done();
            if (body.size == 0 && body.more)
                continue;
            // An empty buffer would be written as a chunk of size 0, which is the last chunk, before the real one.
            body.data = body.size == 0 ? nullptr : chunk.get();
        }
        caller.expires_after(worker.limits().progressTimeout);
        auto [writeError, count] = co_await http::async_write(caller, serializer, useResult);
        result.bytes += count;
        if (writeError && writeError != http::error::need_buffer) {
            result.attempt = AttemptResult::Cancelled;
            attempt.cancel();
            caller.close();
            co_return result;
        }
    }
    result.attempt = AttemptResult::Answered;
    result.callerUsable = framed;
    if (parser.keep_alive() && attempt.requestSent && !attempt.cancelled) {
        attempt.connection->stream.expires_never();
        worker.connections().put(attempt.address, std::move(attempt.connection), steadyNow());
    }
    co_return result;
}

}
