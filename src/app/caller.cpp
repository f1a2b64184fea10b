#include "app/caller.h"

#include "app/server_standin.h"
#include "core/errors.h"
#include "net/answer_parser.h"
#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/header.h"
#include "wire/text_response.h"

namespace cranberryshed::app {

namespace asio = wire::asio;
namespace http = wire::http;
namespace json = wire::json;
using wire::Task;
using wire::useResult;

namespace {

    constexpr std::size_t readChunkBytes = 64 * 1024; // read at a time
    constexpr std::size_t maxKeptBodyBytes = 64 * 1024;

    std::string requestText(const RequestTemplate& requestTemplate, const std::string& workId, const std::string& key)
    {
        std::string text = requestTemplate.method + ' ' + requestTemplate.path + workId + " HTTP/1.1\r\nHost: dev\r\nX-Work-Id: " + workId + "\r\n";
        if (requestTemplate.serviceMicroseconds > 0)
            text += "X-Work-Us: " + std::to_string(requestTemplate.serviceMicroseconds) + "\r\n";
        if (requestTemplate.answerBytes > 0)
            text += "X-Work-Bytes: " + std::to_string(requestTemplate.answerBytes) + "\r\n";
        if (!key.empty())
            text += "X-Request-Key: " + key + "\r\n";
        if (requestTemplate.bodyBytes > 0 || requestTemplate.method != "GET")
            text += "Content-Length: " + std::to_string(requestTemplate.bodyBytes) + "\r\n";
        text += "\r\n";
        text.append(requestTemplate.bodyBytes, 'x');
        return text;
    }

    std::string fieldText(const http::response_header<>& header, std::string_view name)
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
    std::vector<std::unique_ptr<Connection>>& free = this->idleConnections[address];
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
    std::optional<net::AnswerParser<http::buffer_body>> finalParser;
    const auto makeParser = [&]() -> net::AnswerParser<http::buffer_body>& {
        finalParser.emplace().body_limit(boost::none);
        return *finalParser;
    };
    wire::error_code error = co_await net::readFinalHeader(connection->stream, connection->buffer, makeParser);
    net::AnswerParser<http::buffer_body>& parser = *finalParser;
    if (!error && net::isEndUnknown(parser, writeError.failed()))
        error = http::error::partial_message;
    const std::unique_ptr<char[]> chunk = std::make_unique_for_overwrite<char[]>(readChunkBytes);
    std::uint64_t position = 0;
    while (!error && !parser.is_done()) {
        auto& body = parser.get().body();
        body.data = chunk.get();
        body.size = readChunkBytes;
        error = co_await net::parseSome(connection->stream, connection->buffer, parser);
        if (error == http::error::need_buffer)
            error = {};
        const std::string_view received(chunk.get(), readChunkBytes - body.size);
        if (keepBody && reply.body.size() < maxKeptBodyBytes)
            reply.body += received;
        // Comparing the first byte of each chunk detects shifted answers and those of other requests at little cost.
        if (!workId.empty() && !received.empty() && received.front() != answerByte(workId, position))
            reply.mismatch = true;
        position += received.size();
    }
    if (error)
        co_return reply;
    const auto& header = parser.get().base();
    reply.isComplete = true;
    reply.status = header.result_int();
    reply.errorKind = fieldText(header, wire::field::error);
    reply.requestKey = fieldText(header, wire::field::requestKey);
    if (const std::optional<core::ErrorKind> errorKind = core::errorKindFromName(reply.errorKind)) {
        reply.retryAllowed = core::errorInfo(*errorKind).isRetryAllowed;
        reply.mismatch = false;
    } else if (!workId.empty())
        reply.mismatch = reply.mismatch || fieldText(header, "X-Work-Id") != workId;
    if (parser.keep_alive())
        this->idleConnections[address].push_back(std::move(connection));
    co_return reply;
}

Task<std::optional<Caller::LookupResult>> Caller::requestLookup(const std::string& className, std::string address)
{
    const Reply reply = co_await this->exchange(address, "GET /v1/entry?class=" + className + " HTTP/1.1\r\nHost: dev\r\n\r\n", "", true);
    if (reply.status != 200)
        co_return std::nullopt;
    const json::value body = json::parse(reply.body);
    LookupResult lookup;
    for (const json::value& entry : body.at("entries").as_array())
        lookup.addresses.emplace_back(entry.at("address").as_string());
    if (const json::value* key = body.as_object().if_contains("requestKey"))
        lookup.requestKey = key->as_string();
    lookup.expiry = wire::steadyNow() + std::chrono::milliseconds(body.at("ttlMs").to_number<std::int64_t>());
    co_return lookup;
}

Task<bool> Caller::lookup(const std::string& className)
{
    const std::string address = this->options.lookupAddresses[this->nextLookup++ % this->options.lookupAddresses.size()];
    const std::optional<LookupResult> lookup = co_await this->requestLookup(className, address);
    co_return lookup.has_value() && !lookup->addresses.empty();
}

Task<std::optional<Caller::LookupResult>> Caller::entryVmsFor(const RequestTemplate& requestTemplate, std::uint32_t attempt)
{
    if (!this->options.directAddress.empty()) {
        LookupResult only;
        only.addresses.push_back(this->options.directAddress);
        co_return only;
    }
    const auto found = this->lookupCache.find(requestTemplate.className);
    if (!requestTemplate.requiresKey && attempt == 0 && found != this->lookupCache.end() && found->second.expiry > wire::steadyNow())
        co_return found->second;
    for (std::size_t i = 0; i < this->options.lookupAddresses.size(); ++i) {
        std::string address = this->options.lookupAddresses[this->nextLookup++ % this->options.lookupAddresses.size()];
        std::optional<LookupResult> lookup = co_await this->requestLookup(requestTemplate.className, std::move(address));
        if (lookup && !lookup->addresses.empty()) {
            if (!requestTemplate.requiresKey)
                this->lookupCache[requestTemplate.className] = *lookup;
            co_return lookup;
        }
    }
    co_return std::nullopt;
}

Task<RequestResult> Caller::send(const RequestTemplate& requestTemplate, std::string workId)
{
    const core::TimePoint start = wire::steadyNow();
    RequestResult result { .outcome = "unreachable" };
    std::string key;
    std::string keyAddress; // the entry VM that issued the key
    for (std::uint32_t attempt = 0; attempt < this->options.maxTries; ++attempt) {
        result.tryCount = attempt + 1;
        std::string address = keyAddress;
        if (key.empty()) {
            const std::optional<LookupResult> lookup = co_await this->entryVmsFor(requestTemplate, attempt);
            if (!lookup)
                continue;
            address = lookup->addresses[attempt % lookup->addresses.size()];
            key = lookup->requestKey;
            if (!key.empty())
                address = keyAddress = lookup->addresses.front();
        }
        const Reply reply = co_await this->exchange(address, requestText(requestTemplate, workId, key), workId, false);
        result.elapsed = wire::steadyNow() - start;
        result.mismatch = reply.mismatch;
        if (!reply.isComplete) {
            result.outcome = reply.sent ? "broken" : "unreachable";
            // A request that was never sent can use any entry VM. One that was sent keeps its key, so it is not run
            // twice.
            if (!reply.sent)
                key.clear();
            if (reply.sent && requestTemplate.requiresKey && key.empty())
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
