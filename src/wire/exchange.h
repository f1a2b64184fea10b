#pragma once

#include "request/events.h"
#include "wire/asio.h"
#include "wire/connection_pool.h"
#include "wire/header.h"

#include <functional>
#include <memory>
#include <vector>

namespace cranberryshed::wire {

using CallerParser = http::request_parser<http::buffer_body>;
using BackendParser = http::response_parser<http::buffer_body>;

// One attempt to get an answer from a backend server.
struct BackendAttempt {
    core::AttemptId id {};
    std::string serverName;
    std::string address;
    core::TimePoint deadline {};
    core::TimePoint sentAt {};
    std::optional<core::Duration> connectTime {}; // of a new connection
    std::optional<request::LoadSample> load {}; // stated in the answer
    std::string failureReason {}; // why there is no answer, for logs
    std::unique_ptr<BackendConnection> connection;
    std::unique_ptr<BackendParser> parser;
    std::string bodyPrefix; // the part of the answer's body that was read before it is relayed
    bool hasNoBody = false; // the answer has no body, whatever its header says
    bool requestSent = false; // the whole request, so that the connection can take another one
    bool cancelled = false;
    bool isRelayed = false; // the engine chose this attempt's answer

    // Closes the connection, which ends each wait on it. The backend server takes that as a cancellation.
    void cancel()
    {
        this->cancelled = true;
        if (this->connection)
            this->connection->stream.close();
    }
};

// What the engine decided about a request: whose answer to pass on, or what to answer instead.
using EngineDecision = std::variant<request::RelayAnswer, request::Reject>;
using DecisionChannel = asio::experimental::basic_channel<Executor, asio::experimental::channel_traits<>, void(error_code, EngineDecision)>;

// One request of a caller, from its header to the end of its answer.
struct Exchange {
    Exchange(const Executor& executor, core::RequestId requestId)
        : id(requestId)
        , decision(executor, 1)
        , timer(executor)
    {
    }

    core::RequestId id;
    RequestHeader header; // as sent to backend servers
    std::string bodyPrefix; // the part of the body that can be sent again
    bool bodyComplete = true; // bodyPrefix is the whole body
    DecisionChannel decision;
    Timer timer;
    std::vector<std::shared_ptr<BackendAttempt>> attempts;
    std::function<void(const request::SendAttempt&)> startAttempt; // starts an attempt
    std::string callerRequestId; // the caller's name for the request, for logs; empty: none
    std::uint64_t objectHash = 0; // hash of what the request is about, for logs
    std::string className;
    core::TimePoint arrivedAt {};
};

}
