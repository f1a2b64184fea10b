#pragma once

// Caller connections. Each front end includes this file and instantiates serveConnection() with its dialect.

#include "net/stream_parser.h"
#include "request/fingerprint.h"
#include "request/match.h"
#include "wire/clock.h"
#include "wire/header.h"
#include "wire/lookup_response.h"
#include "wire/request_log.h"
#include "wire/session.h"
#include "wire/text_response.h"
#include "wire/upstream_impl.h"
#include "wire/worker.h"

namespace cranberryshed::wire {

inline constexpr std::string_view lookupPath = "/v1/entry";
// An answer is relayed for this long after the deadline that its caller stated. The clocks of both may differ by the
// time that the request was on its way.
inline constexpr core::Duration relayGrace = std::chrono::seconds(1);
inline constexpr core::Duration refusalTimeout = std::chrono::seconds(1);
inline constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

inline core::CallerAddress callerAddress(const asio::ip::address& address)
{
    return core::CallerAddress { address.is_v4() ? address.to_v4().to_uint() : 0 };
}

inline bool isLookup(const RequestHeader& header)
{
    const std::string_view target = toStd(header.target());
    return target.starts_with(lookupPath) && (target.size() == lookupPath.size() || target[lookupPath.size()] == '?');
}

// One caller connection. Kept alive by the coroutines and handlers that use it.
template <Dialect DialectType>
class Session : public std::enable_shared_from_this<Session<DialectType>> {
public:
    // The connection must already be counted in the worker's connection limiter; the destructor releases it there.
    Session(Worker& owner, Socket socket, const asio::ip::address& callerIp)
        : worker(owner)
        , stream(std::move(socket))
        , address(callerIp)
        , caller(callerAddress(callerIp))
        , readTimer(owner.executor())
    {
        error_code ignored;
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    ~Session()
    {
        this->worker.callerHangups().remove(this->hangupNumber);
        this->worker.connectionLimiter().close(this->address);
    }

    // Serves requests one after the other until the connection can't take another one.
    Task<void> run()
    {
        this->hangupNumber = this->worker.callerHangups().add(this->stream.socket().native_handle(), [weak = this->weak_from_this()] {
            if (const std::shared_ptr<Session> self = weak.lock())
                self->onHangup();
        });
        while (co_await this->serveRequest()) {
        }
        error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

private:
    // Serves one request. Returns whether the connection can take another one.
    Task<bool> serveRequest()
    {
        this->incoming.reset();
        this->parser = std::make_shared<CallerParser>();
        this->parser->header_limit(this->worker.limits().maxHeaderBytes);
        this->parser->body_limit(this->worker.limits().maxBodyBytes);
        if (const error_code error = co_await this->readHeader()) {
            if (this->parser->got_some())
                co_await this->writeLastResponse(errorResponseFor(parseErrorKind(error)));
            co_return false;
        }
        const RequestHeader& header = this->parser->get().base();
        if (const std::optional<core::ErrorKind> problem = checkHeader(header)) {
            co_await this->writeLastResponse(errorResponseFor(*problem));
            co_return false;
        }
        if constexpr (DialectType::answersLookups) {
            if (isLookup(header))
                co_return co_await this->answerLookup();
        }
        co_return co_await this->forwardRequest();
    }

    // Reads a request's header. The idle timeout applies until its first byte, the shorter header timeout from then on.
    Task<error_code> readHeader()
    {
        this->stream.expires_after(this->worker.limits().idleTimeout);
        if (this->buffer.size() == 0) {
            auto [error, count] = co_await this->stream.async_read_some(this->buffer.prepare(net::readChunkBytes), useResult);
            if (error)
                co_return error;
            this->buffer.commit(count);
        }
        this->incoming.emplace(this->worker);
        error_code parseError;
        this->buffer.consume(this->parser->put(this->buffer.data(), parseError));
        if (parseError && parseError != http::error::need_more)
            co_return parseError;
        if (this->parser->is_header_done())
            co_return error_code();
        this->startReadTimer(this->worker.limits().headerTimeout);
        const error_code error = co_await net::parseHeader(this->stream, this->buffer, *this->parser);
        co_return this->stopReadTimer(error);
    }

    // Limits the time of a read without the stream's timeout, which would close the socket so that no error answer
    // could be sent. This timer only cancels the read.
    void startReadTimer(core::Duration limit)
    {
        this->stream.expires_never();
        this->readTimer.expires_after(limit);
        this->readTimedOut = false;
        this->readTimer.async_wait([self = this->shared_from_this()](error_code error) {
            if (error)
                return;
            self->readTimedOut = true;
            self->stream.cancel();
        });
    }

    // Stops the timer. Returns the error of the read, or beast::error::timeout if the timer cancelled it.
    error_code stopReadTimer(error_code error)
    {
        this->readTimer.cancel();
        return this->readTimedOut && error ? make_error_code(beast::error::timeout) : error;
    }

    Task<bool> answerLookup()
    {
        const bool keepAlive = this->parser->keep_alive() && this->parser->is_done() && !this->worker.isShuttingDown();
        TextResponse response = lookupResponse(this->worker, this->parser->get().base(), this->caller);
        co_return co_await this->writeResponse(std::move(response), keepAlive);
    }

    Task<bool> forwardRequest()
    {
        const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(this->worker.executor(), this->worker.nextRequestId());
        exchange->arrivedAt = steadyNow();
        exchange->header = this->parser->get().base();
        exchange->callerRequestId = DialectType::callerRequestId(exchange->header);
        if (const error_code error = co_await this->readBodyPrefix(*exchange)) {
            co_await this->writeLastResponse(errorResponseFor(parseErrorKind(error)));
            co_return false;
        }
        // A request that was read late can be one whose caller has given up meanwhile.
        if (hasHungUp(this->stream.socket().native_handle()))
            co_return false;
        request::RequestArrived arrival = this->makeArrival(*exchange);
        exchange->objectHash = arrival.affinity;
        if (arrival.deadline)
            exchange->relayUntil = exchange->arrivedAt + *arrival.deadline + relayGrace;
        exchange->table = this->worker.table();
        if (const std::optional<core::ClassIndex> found = request::matchClass(*exchange->table, arrival.host, arrival.method, arrival.target))
            exchange->className = exchange->table->at(*found).name;
        removeHopByHop(exchange->header, DialectType::endToEndFields);
        DialectType::addExchangeFields(exchange->header, exchange->id);
        if constexpr (DialectType::forwardsCallerAddress)
            exchange->header.insert("X-Forwarded-For", this->address.to_string());
        exchange->startAttempt = [this, exchange = std::weak_ptr<Exchange>(exchange)](const request::SendAttempt& command) {
            if (const std::shared_ptr<Exchange> locked = exchange.lock())
                this->startAttempt(locked, command);
        };
        this->worker.addExchange(exchange);
        this->incoming.reset();
        this->currentExchange = exchange;
        this->worker.handle(std::move(arrival));
        const bool keepAlive = co_await this->executeDecision(*exchange);
        this->currentExchange.reset();
        exchange->timer.cancel();
        this->worker.removeExchange(exchange->id);
        co_return keepAlive;
    }

    // Reads the start of the body, up to maxReplayBytes, and keeps it so that it can be sent again.
    Task<error_code> readBodyPrefix(Exchange& exchange)
    {
        if (beast::iequals(exchange.header[http::field::expect], "100-continue") && !this->parser->is_done()) {
            auto [error, count] = co_await asio::async_write(this->stream, asio::buffer(continueLine), useResult);
            if (error)
                co_return error;
        }
        while (!this->parser->is_done() && exchange.bodyPrefix.size() < this->worker.limits().maxReplayBytes) {
            const std::size_t before = exchange.bodyPrefix.size();
            exchange.bodyPrefix.resize(std::min(before + net::readChunkBytes, this->worker.limits().maxReplayBytes));
            auto& body = this->parser->get().body();
            body.data = exchange.bodyPrefix.data() + before;
            body.size = exchange.bodyPrefix.size() - before;
            if (this->buffer.size() == 0)
                this->startReadTimer(this->worker.limits().progressTimeout);
            const error_code readError = co_await net::parseSome(this->stream, this->buffer, *this->parser);
            const error_code error = this->stopReadTimer(readError);
            exchange.bodyPrefix.resize(exchange.bodyPrefix.size() - body.size);
            if (error && error != http::error::need_buffer)
                co_return error;
        }
        exchange.bodyComplete = this->parser->is_done();
        co_return error_code();
    }

    request::RequestArrived makeArrival(const Exchange& exchange) const
    {
        const RequestHeader& header = exchange.header;
        request::RequestArrived arrival {
            .request = exchange.id,
            .host = std::string(header[http::field::host]),
            .method = std::string(header.method_string()),
            .target = std::string(header.target()),
            .caller = this->caller,
            .fingerprint = this->fingerprint(exchange),
            .replayable = exchange.bodyComplete,
        };
        DialectType::readRequestFields(header, arrival);
        return arrival;
    }

    core::Fingerprint fingerprint(const Exchange& exchange) const
    {
        const RequestHeader& header = exchange.header;
        std::optional<std::uint64_t> length;
        if (const auto stated = this->parser->content_length())
            length = *stated;
        if (exchange.bodyComplete)
            length = exchange.bodyPrefix.size();
        return request::fingerprintOf({ .host = toStd(header[http::field::host]), .method = toStd(header.method_string()), .target = toStd(header.target()), .bodyLength = length, .bodyPrefix = exchange.bodyPrefix });
    }

    void startAttempt(const std::shared_ptr<Exchange>& exchange, const request::SendAttempt& command)
    {
        const std::shared_ptr<BackendAttempt> attempt = std::make_shared<BackendAttempt>();
        attempt->id = command.attempt;
        attempt->serverName = command.table->at(command.server).name;
        attempt->address = command.table->at(command.server).address;
        attempt->deadline = command.deadline;
        attempt->sentAt = steadyNow();
        exchange->table = command.table;
        logSent(*exchange, command, attempt->sentAt);
        exchange->attempts.push_back(attempt);
        asio::co_spawn(this->worker.executor(), this->runAttempt(this->shared_from_this(), exchange, attempt), asio::detached);
    }

    // Runs an attempt up to the head of its answer. If the engine chooses the answer, relay() sends it to the caller.
    Task<void> runAttempt(std::shared_ptr<Session> self, std::shared_ptr<Exchange> exchange, std::shared_ptr<BackendAttempt> attempt)
    {
        // A named variable, because g++ 12 destroys an aggregate twice if it is a temporary in a co_await expression.
        const BodySource source { this->stream, this->buffer, this->parser };
        const AttemptHead head = co_await sendAndReadHead<DialectType>(this->worker, *exchange, *attempt, source);
        request::AttemptEnded ended { .request = exchange->id, .attempt = attempt->id, .result = head.result, .status = head.status, .retryAfter = head.retryAfter, .load = head.load, .connectTime = attempt->connectTime, .isServerLeaving = attempt->isServerLeaving, .isConnectionRefused = attempt->isConnectionRefused };
        if (head.result == core::AttemptResult::Answered) {
            self->worker.handle(request::AnswerStarted { .request = exchange->id, .attempt = attempt->id, .status = head.status, .isComplete = head.isComplete, .load = head.load, .retryAfter = head.retryAfter });
            if (attempt->isRelayed)
                co_return;
            if (attempt->cancelled)
                ended.result = core::AttemptResult::Cancelled;
            attempt->cancel();
        }
        logAttemptEnded(*exchange, *attempt, ended, steadyNow());
        self->worker.handle(ended);
    }

    // Waits for the engine's decision and executes it. Returns whether the connection can take another request.
    Task<bool> executeDecision(Exchange& exchange)
    {
        auto [error, decision] = co_await exchange.decision.async_receive(useResult);
        if (error)
            co_return false;
        if (const auto* reject = std::get_if<request::Reject>(&decision)) {
            this->countError(exchange, reject->error);
            logRefused(exchange, *reject, steadyNow());
            const bool keepAlive = this->parser->keep_alive() && this->parser->is_done() && !this->worker.isShuttingDown();
            co_return co_await this->writeResponse(DialectType::errorResponse(*reject), keepAlive);
        }
        co_return co_await this->relay(exchange, std::get<request::RelayAnswer>(decision));
    }

    Task<bool> relay(Exchange& exchange, const request::RelayAnswer& chosen)
    {
        const auto found = std::ranges::find_if(exchange.attempts, [&](const auto& candidate) { return candidate->id == chosen.attempt; });
        BackendAttempt& attempt = **found;
        const bool keepAlive = this->parser->keep_alive() && this->parser->is_done() && !this->worker.isShuttingDown();
        const std::uint16_t status = static_cast<std::uint16_t>(attempt.parser->get().result_int());
        const RelayTarget target { .stream = this->stream, .httpVersion = this->parser->get().version(), .keepAlive = keepAlive, .until = exchange.relayUntil };
        const RelayResult result = co_await relayAnswer<DialectType>(this->worker, attempt, target);
        this->countAnswer(exchange, status, result);
        logAnswered(exchange, status, result.attemptResult, steadyNow());
        this->worker.handle(request::AttemptEnded { .request = exchange.id, .attempt = attempt.id, .result = result.attemptResult, .status = status, .retryAfter = {}, .load = attempt.load, .bytes = result.bytes, .connectTime = attempt.connectTime, .isServerLeaving = attempt.isServerLeaving });
        co_return result.isCallerReusable&& keepAlive;
    }

    // The caller has closed its connection. A request in flight then has nobody to answer, whatever else has been received
    // on the connection.
    void onHangup()
    {
        if (const std::shared_ptr<Exchange> exchange = this->currentExchange.lock())
            this->worker.handle(request::CallerDisconnected { .request = exchange->id });
    }

    static TextResponse errorResponseFor(core::ErrorKind kind)
    {
        return DialectType::errorResponse({ .request = {}, .error = kind, .key = {}, .retryAfter = {} });
    }

    Task<bool> writeResponse(TextResponse response, bool keepAlive)
    {
        response.keep_alive(keepAlive);
        response.prepare_payload();
        if (this->parser->get().method() == http::verb::head)
            response.body().clear();
        this->stream.expires_after(this->worker.limits().progressTimeout);
        auto [error, count] = co_await http::async_write(this->stream, response, useResult);
        co_return !error && keepAlive;
    }

    // Writes an answer that tells the caller that the connection will be closed.
    Task<void> writeLastResponse(TextResponse response)
    {
        co_await this->writeResponse(std::move(response), false);
    }

    ClassMetrics& metricsFor(const Exchange& exchange)
    {
        return this->worker.metrics().classes[exchange.className];
    }

    void countError(const Exchange& exchange, core::ErrorKind kind) { ++this->metricsFor(exchange).errors[kind]; }

    void countAnswer(const Exchange& exchange, std::uint16_t status, const RelayResult& result)
    {
        ClassMetrics& counts = this->metricsFor(exchange);
        this->worker.metrics().bytesToCallers += result.bytes;
        if (result.attemptResult != core::AttemptResult::Answered) {
            ++counts.broken;
            return;
        }
        ++counts.answers[status];
        const std::chrono::duration<double> elapsed = steadyNow() - exchange.arrivedAt;
        counts.latency(elapsed.count());
    }

    Worker& worker;
    Stream stream;
    asio::ip::address address;
    core::CallerAddress caller;
    beast::flat_buffer buffer;
    std::shared_ptr<CallerParser> parser; // shared with attempts that outlive their request
    std::optional<Worker::IncomingRequest> incoming; // the request that is being read
    Timer readTimer;
    bool readTimedOut = false;
    std::uint64_t hangupNumber = 0; // of the watch of the caller's connection
    std::weak_ptr<Exchange> currentExchange;
};

// Serves the requests of one caller connection until either side closes it, or refuses the connection if its address
// already has as many as the worker's connection limiter allows.
template <Dialect DialectType>
void serveConnection(Worker& worker, Socket socket, const asio::ip::address& caller)
{
    if (!worker.connectionLimiter().tryOpen(caller)) {
        asio::co_spawn(worker.executor(), refuseConnection(std::move(socket)), asio::detached);
        return;
    }
    const auto session = std::make_shared<Session<DialectType>>(worker, std::move(socket), caller);
    asio::co_spawn(
        worker.executor(), [session]() -> Task<void> { co_await session->run(); }, asio::detached);
}

}
