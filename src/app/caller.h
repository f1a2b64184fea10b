#pragma once

#include "core/types.h"
#include "wire/asio.h"
#include "wire/traffic_metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::app {

// Describes the requests of one class in a generated load.
struct RequestTemplate {
    std::string className;
    std::string method = "GET";
    std::string path;
    std::uint32_t weight = 1; // share of the requests, relative to the other templates
    bool requiresKey = false; // non-idempotent: each request carries a request key
    std::uint64_t serviceMicroseconds = 0; // service time at the ServerStandIn
    std::uint64_t answerBytes = 0; // body size of an answer
    std::uint64_t bodyBytes = 0; // body size of a request
};

// How a request ended for its caller, after all tries.
struct RequestResult {
    std::string outcome; // HTTP status, name of an error kind, "broken" (incomplete answer) or "unreachable"
    core::Duration elapsed {}; // from the start of the first try to the end of the last one
    bool answered = false; // with a complete answer of a backend server
    bool mismatch = false; // the answer is not the one to this request
    std::uint32_t tryCount = 1;
};

// A caller of the fleet, for load and tests: looks up entry VMs, caches the result for its time to live, sends requests
// over kept-alive connections, and tries again only if the error answer allows it. Used on one thread.
class Caller {
public:
    struct Options {
        std::vector<std::string> lookupAddresses; // any entry VMs, "IP:port"
        std::string directAddress; // if set, requests go to this address without a look-up, for comparison
        std::uint32_t maxTries = 3;
        core::Duration timeout = std::chrono::seconds(60); // of one try
    };

    Caller(wire::asio::io_context&, Options);

    wire::Task<RequestResult> send(const RequestTemplate&, std::string workId);

    // Looks up entry VMs without using the cache. Returns false if that fails or returns none.
    wire::Task<bool> lookup(const std::string& className);

private:
    struct Connection {
        explicit Connection(const wire::Executor& executor)
            : stream(executor)
        {
        }
        wire::Stream stream;
        wire::beast::flat_buffer buffer;
    };

    struct LookupResult {
        std::vector<std::string> addresses;
        std::string requestKey;
        core::TimePoint expiry {};
    };

    struct Reply {
        bool sent = false; // at least one byte was sent to the entry VM
        bool isComplete = false;
        unsigned status = 0;
        std::string errorKind;
        bool retryAllowed = false;
        std::string requestKey;
        bool mismatch = false;
        std::string body;
    };

    // Returns the cached or a new look-up. Classes with request keys need a new one for each request, because a key is
    // used once.
    wire::Task<std::optional<LookupResult>> entryVmsFor(const RequestTemplate&, std::uint32_t attempt);
    wire::Task<std::optional<LookupResult>> requestLookup(const std::string& className, std::string address);
    wire::Task<Reply> exchange(std::string address, std::string request, std::string workId, bool keepBody);
    wire::Task<std::unique_ptr<Connection>> connect(std::string address);

    wire::asio::io_context& context;
    Options options;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idleConnections;
    std::map<std::string, LookupResult> lookupCache; // by class
    std::size_t nextLookup = 0;
};

}
