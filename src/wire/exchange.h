#pragma once

#include "net/answer_parser.h"
#include "request/events.h"
#include "wire/asio.h"
#include "wire/connection_pool.h"
#include "wire/header.h"

#include <functional>
#include <memory>
#include <vector>

namespace cranberryshed::wire {

using CallerParser = http::request_parser<http::buffer_body>;
using BackendParser = net::AnswerParser<http::buffer_body>;

// One attempt to get an answer from a backend server. Shared by the coroutine that runs the attempt and the exchange.
struct BackendAttempt {
    core::AttemptId id {};
    std::string serverName;
    std::string address;
    core::TimePoint deadline {};
    core::TimePoint sentAt {};
    std::optional<core::Duration> connectTime {}; // time to open a new connection; none: no new one was opened
    bool isConnectionRefused = false; // no process listens on the server's address
    std::optional<request::LoadSample> load {}; // the server's load as reported in the answer
    std::string failureReason {}; // why the attempt got no answer, for logs; empty: unknown or answered
    std::unique_ptr<BackendConnection> connection;
    std::unique_ptr<BackendParser> parser;
    std::string bodyPrefix; // the start of the answer's body, read before the answer is relayed
    bool hasNoBody = false; // the request was HEAD: its answer has no body even if its header states a length
    bool requestSent = false; // the whole request was sent; otherwise the connection cannot be reused
    bool cancelled = false;
    bool isRelayed = false; // the engine chose this attempt's answer
    bool isServerLeaving = false; // the answer stated that the server is leaving

    // Closes the connection, which ends every wait on it. The backend server treats the close as a cancellation.
    void cancel()
    {
        this->cancelled = true;
        if (this->connection)
            this->connection->stream.close();
    }
};

// The engine's decision about a request: relay the answer of an attempt, or answer the caller with an error.
using EngineDecision = std::variant<request::RelayAnswer, request::Reject>;
using DecisionChannel = asio::experimental::basic_channel<Executor, asio::experimental::channel_traits<>, void(error_code, EngineDecision)>;

// One request of a caller, from the arrival of its header to the end of its answer.
struct Exchange {
    Exchange(const Executor& executor, core::RequestId requestId)
        : id(requestId)
        , decision(executor, 1)
        , timer(executor)
    {
    }

    core::RequestId id;
    RequestHeader header; // as sent to backend servers, but for the fields that differ for each attempt
    std::string bodyPrefix; // the start of the body, kept so that it can be sent again
    bool bodyComplete = true; // bodyPrefix is the whole body
    DecisionChannel decision;
    Timer timer;
    std::vector<std::shared_ptr<BackendAttempt>> attempts;
    // Numbers of the backend connections on which a server refused an attempt or was not the expected one. It can repeat
    // that answer late, and the copy would match any other attempt of this request, so none may use these connections.
    std::vector<std::uint64_t> refusedConnections;
    std::function<void(const request::SendAttempt&)> startAttempt;
    std::string callerRequestId; // request id that the caller stated, for logs; empty: none
    std::uint64_t objectHash = 0; // hash of the object that the request needs, for logs; 0: unknown
    std::string className;
    core::SteeringTablePointer table; // by which the request was last decided, for logs
    core::TimePoint arrivedAt {};
    core::TimePoint relayUntil = core::TimePoint::max(); // by then the caller has given up by its own statement
};

}
