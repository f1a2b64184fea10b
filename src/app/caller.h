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

// What one class of work in a load looks like.
struct RequestTemplate {
    std::string className;
    std::string method = "GET";
    std::string path;
    std::uint32_t weight = 1; // share of the requests
    bool requiresKey = false; // non-idempotent: each piece of work carries a request key
    std::uint64_t serviceMicroseconds = 0; // that the backend stand-in works
    std::uint64_t answerBytes = 0;
    std::uint64_t bodyBytes = 0; // of the request
};

// How one piece of work ended for the caller.
struct RequestResult {
    std::string outcome; // "200", or the name of an error kind, "broken", "unreachable"
    core::Duration elapsed {};
    bool answered = false; // a whole answer of a backend server
    bool mismatch = false; // the answer was not the one to this request
    std::uint32_t tryCount = 1;
};

// A caller: asks for entry VMs, keeps the answer for its time to live, sends its requests on kept-alive
// connections, and tries again only where the answer allows it. Used on one thread.
class Caller {
public:
    struct Options {
        std::vector<std::string> lookupAddresses; // any entry VMs, "IP:port"
        std::string directAddress; // send to this address without a look-up, for comparison
        std::uint32_t maxTries = 3;
        core::Duration timeout = std::chrono::seconds(60);
    };

    Caller(wire::asio::io_context&, Options);

    wire::Task<RequestResult> send(const RequestTemplate&, std::string workId);

    // Asks for entry VMs without using the kept answer. Returns false if that failed.
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

    struct Entries {
        std::vector<std::string> addresses;
        std::string requestKey;
        core::TimePoint expiry {};
    };

    struct Reply {
        bool sent = false; // a byte left for the entry VM
        bool whole = false;
        unsigned status = 0;
        std::string errorKind;
        bool retryAllowed = false;
        std::string requestKey;
        bool mismatch = false;
        std::string body;
    };

    wire::Task<std::optional<Entries>> entriesFor(const RequestTemplate&, std::uint32_t attempt);
    wire::Task<std::optional<Entries>> askForEntries(const std::string& className, std::string address);
    wire::Task<Reply> exchange(std::string address, std::string request, std::string workId, bool keepBody);
    wire::Task<std::unique_ptr<Connection>> connect(std::string address);

    wire::asio::io_context& context;
    Options options;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle;
    std::map<std::string, Entries> known; // by class
    std::size_t nextLookup = 0;
};

}
