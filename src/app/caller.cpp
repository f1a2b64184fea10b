#include "app/caller.h"

#include "app/server_standin.h"
#include "core/errors.h"
#include "wire/answer.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/feed.h"
#include "wire/header.h"

namespace cranberryshed::app {

namespace asio = wire::asio;
namespace http = wire::http;
namespace json = wire::json;
using wire::Task;
using wire::useResult;

namespace {

    constexpr std::size_t pieceSize = 64 * 1024; // bytes of an answer read at a time
    constexpr std::size_t keptBodyLimit = 64 * 1024; // bytes

    std::string requestText(const RequestTemplate& kind, const std::string& workId, const std::string& key)
    {
        std::string text = kind.method + ' ' + kind.path + workId + " HTTP/1.1\r\nHost: dev\r\nX-Work-Id: " + workId + "\r\n";
        if (kind.serviceMicroseconds > 0)
            text += "X-Work-Us: " + std::to_string(kind.serviceMicroseconds) + "\r\n";
        if (kind.answerBytes > 0)
            text += "X-Work-Bytes: " + std::to_string(kind.answerBytes) + "\r\n";
        if (!key.empty())
            text += "X-Request-Key: " + key + "\r\n";
        if (kind.bodyBytes > 0 || kind.method != "GET")
            text += "Content-Length: " + std::to_string(kind.bodyBytes) + "\r\n";
        text += "\r\n";
        text.append(kind.bodyBytes, 'x');
        return text;
    }

    std::string fieldOf(const http::response_header<>& header, std::string_view name)
    {
        return std::string(header[wire::beast::string_view(name.data(), name.size())]);
    }

}

Caller::Caller(asio::io_context& owner, Options callerOptions)
    : context(owner)
    , options(std::move(callerOptions))
{
}

Task<std::unique_ptr<Caller::Connection>> Caller::connect(std::string address)
{
    std::vector<std::unique_ptr<Connection>>& free = this->idle[address];
    if (!free.empty()) {
        std::unique_ptr<Connection> connection = std::move(free.back());
        free.pop_back();
        co_return connection;
    }
    auto connection = std::make_unique<Connection>(this->context.get_executor());
    connection->stream.expires_after(std::chrono::seconds(2));
    auto [error] = co_await connection->stream.async_connect(wire::parseEndpoint(address), useResult);
    if (error)
        co_return nullptr;
    wire::error_code ignored;
    connection->stream.socket().set_option(wire::tcp::no_delay(true), ignored);
    co_return connection;
}

Task<Caller::Reply> Caller::exchange(std::string address, std::string request, std::string workId, bool keepBody)
{
    Reply reply;
    std::unique_ptr<Connection> connection = co_await this->connect(address);
    if (!connection)
        co_return reply;
    connection->stream.expires_after(this->options.timeout);
    auto [writeError, written] = co_await asio::async_write(connection->stream, asio::buffer(request), useResult);
    reply.sent = written > 0;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    wire::error_code error = co_await wire::feedHeader(connection->stream, connection->buffer, parser);
    const std::unique_ptr<char[]> piece = std::make_unique_for_overwrite<char[]>(pieceSize);
    std::uint64_t position = 0;
    while (!error && !parser.is_done()) {
        auto& body = parser.get().body();
        body.data = piece.get();
        body.size = pieceSize;
        error = co_await wire::feed(connection->stream, connection->buffer, parser);
        if (error == http::error::need_buffer)
            error = {};
        const std::string_view part(piece.get(), pieceSize - body.size);
        if (keepBody && reply.body.size() < keptBodyLimit)
            reply.body += part;
        // Comparing the first byte of each piece finds a shifted or foreign answer without costing much.
        if (!workId.empty() && !part.empty() && part.front() != answerByte(workId, position))
            reply.mismatch = true;
        position += part.size();
    }
    if (error)
        co_return reply;
    const auto& header = parser.get().base();
    reply.whole = true;
    reply.status = header.result_int();
    reply.errorKind = fieldOf(header, wire::field::error);
    reply.requestKey = fieldOf(header, wire::field::requestKey);
    if (const std::optional<core::ErrorKind> kind = core::errorKindFromName(reply.errorKind)) {
        reply.retryAllowed = core::errorInfo(*kind).isRetryAllowed;
        reply.mismatch = false;
    } else if (!workId.empty())
        reply.mismatch = reply.mismatch || fieldOf(header, "X-Work-Id") != workId;
    if (parser.keep_alive())
        this->idle[address].push_back(std::move(connection));
    co_return reply;
}

Task<std::optional<Caller::Entries>> Caller::askForEntries(const std::string& className, std::string address)
{
    const Reply reply = co_await this->exchange(address, "GET /v1/entry?class=" + className + " HTTP/1.1\r\nHost: dev\r\n\r\n", "", true);
    if (reply.status != 200)
        co_return std::nullopt;
    const json::value body = json::parse(reply.body);
    Entries entries;
    for (const json::value& entry : body.at("entries").as_array())
        entries.addresses.emplace_back(entry.at("address").as_string());
    if (const json::value* key = body.as_object().if_contains("requestKey"))
        entries.requestKey = key->as_string();
    entries.expiry = wire::steadyNow() + std::chrono::milliseconds(body.at("ttlMs").to_number<std::int64_t>());
    co_return entries;
}

Task<bool> Caller::lookup(const std::string& className)
{
    const std::string address = this->options.lookupAddresses[this->nextLookup++ % this->options.lookupAddresses.size()];
    const std::optional<Entries> entries = co_await this->askForEntries(className, address);
    co_return entries.has_value() && !entries->addresses.empty();
}

// A keyed class asks anew for each piece of work, because a key is used once.
Task<std::optional<Caller::Entries>> Caller::entriesFor(const RequestTemplate& kind, std::uint32_t attempt)
{
    if (!this->options.directAddress.empty()) {
        Entries only;
        only.addresses.push_back(this->options.directAddress);
        co_return only;
    }
    const auto found = this->known.find(kind.className);
    if (!kind.requiresKey && attempt == 0 && found != this->known.end() && found->second.expiry > wire::steadyNow())
        co_return found->second;
    for (std::size_t i = 0; i < this->options.lookupAddresses.size(); ++i) {
        std::string address = this->options.lookupAddresses[this->nextLookup++ % this->options.lookupAddresses.size()];
        std::optional<Entries> entries = co_await this->askForEntries(kind.className, std::move(address));
        if (entries && !entries->addresses.empty()) {
            if (!kind.requiresKey)
                this->known[kind.className] = *entries;
            co_return entries;
        }
    }
    co_return std::nullopt;
}

Task<RequestResult> Caller::send(const RequestTemplate& kind, std::string workId)
{
    const core::TimePoint start = wire::steadyNow();
    RequestResult result { .outcome = "unreachable" };
    std::string key;
    std::string keyAddress; // the entry VM that issued the key
    for (std::uint32_t attempt = 0; attempt < this->options.maxTries; ++attempt) {
        result.tryCount = attempt + 1;
        std::string address = keyAddress;
        if (key.empty()) {
            const std::optional<Entries> entries = co_await this->entriesFor(kind, attempt);
            if (!entries)
                continue;
            address = entries->addresses[attempt % entries->addresses.size()];
            key = entries->requestKey;
            if (!key.empty())
                address = keyAddress = entries->addresses.front();
        }
        const Reply reply = co_await this->exchange(address, requestText(kind, workId, key), workId, false);
        result.elapsed = wire::steadyNow() - start;
        result.mismatch = reply.mismatch;
        if (!reply.whole) {
            result.outcome = reply.sent ? "broken" : "unreachable";
            // A request that was never sent may use any entry VM; one that was sent keeps its key.
            if (!reply.sent)
                key.clear();
            if (reply.sent && kind.requiresKey && key.empty())
                co_return result;
            continue;
        }
        result.answered = reply.errorKind.empty();
        result.outcome = result.answered ? std::to_string(reply.status) : reply.errorKind;
        if (result.answered || !reply.retryAllowed)
            co_return result;
        if (reply.requestKey.empty())
            key.clear();
        else {
            key = reply.requestKey;
            keyAddress = address;
        }
    }
    co_return result;
}

}
