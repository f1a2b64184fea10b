#pragma once

#include "core/declarations.h"
#include "store/client_policy.h"
#include "store/http_transport.h"
#include "store/object_api.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <span>
#include <string_view>

namespace cranberryshed::store {

struct ClientOptions {
    std::string writer; // id of this process, unique per start
    std::uint64_t seed = 0; // of delays and nonces
    core::Duration attemptTimeout = std::chrono::seconds(2); // of one attempt
    core::Duration totalTimeout = std::chrono::seconds(10); // of a call with all its attempts; zero: one attempt
    core::Duration watchTimeoutMargin = std::chrono::seconds(2); // how long a watch may be late beyond its own waiting time
    BackoffOptions backoff;
    RateLimiterOptions rateLimit;
    CircuitBreakerOptions breaker;
};

// Calls to the store, with deadlines, repeated attempts, rate limit and circuit breaker. All use must be on one
// thread; several calls may be under way at the same time.
//
// Each call throws core::Error: StoreUnavailable if the store does not answer (a write then had no effect),
// BadMessage for an answer or a request that can't be understood.
template <Transport TransportType, ObjectApi ApiType>
class Client {
public:
    // The transport must outlive the client, and the client its calls.
    Client(TransportType& transport, ClientOptions options);

    // All objects of a kind. The version is that of the first part, so a watch from there misses nothing.
    boost::asio::awaitable<ObjectBatch> list(std::string kind);

    // Waits at most `wait` for changes after version `from`; an empty batch if there was none. Doesn't wait while the
    // store counts as down. One attempt only.
    // Also throws HistoryGone.
    boost::asio::awaitable<ObjectBatch> watch(std::string kind, std::uint64_t from, core::Duration wait);

    // Creates an object. Returns whether it did: not if the object exists. One attempt only.
    boost::asio::awaitable<bool> create(std::string kind, std::string name, std::string content);

    // Returns the object, or one that is marked as deleted and has no mark if the store has none.
    boost::asio::awaitable<StoredObject> get(std::string kind, std::string name) requires ConditionalWriteApi<ApiType>;

    // Writes the object with its revision if the store's version of it is `ifVersion` (0: it must not exist).
    // Also throws WriteUnclear if the write may or may not have taken effect.
    boost::asio::awaitable<WriteResult> put(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;
    // Replaces the object by a note of its deletion, under the same condition.
    boost::asio::awaitable<WriteResult> remove(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;

    // The list of backend servers. It lags.
    boost::asio::awaitable<core::ServerList> fetchServerList() requires ConditionalWriteApi<ApiType>;

    // Follows the objects of the kinds for good: hands over what is newer than anything seen before, first from
    // lists, then from watches. Takes up again after failures and lost history. Ends only by cancellation.
    // `up` is told whether the store answers, when that changes.
    boost::asio::awaitable<void> watchForever(std::vector<std::string> kinds, std::function<void(std::vector<core::Object>)> onObjects, std::function<void(bool)> onAvailability = {}) requires ConditionalWriteApi<ApiType>;

    // Whether a call would be sent now. While the store is down only one call at a time is, at growing intervals.
    bool canSendNow(core::TimePoint now) const { return this->breaker.wouldAdmit(now); }
    bool isStoreDown() const { return this->breaker.isOpen(); }
    core::TimePoint now() const { return this->transport.now(); }

private:
    boost::asio::awaitable<HttpResponse> attempt(HttpRequest request, core::Duration deadline);
    boost::asio::awaitable<HttpResponse> read(HttpRequest request);
    boost::asio::awaitable<WriteResult> write(StoredObject stored, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;
    boost::asio::awaitable<std::vector<core::Object>> runWatchStep(WatchCursor& position, std::span<const std::string> kinds) requires ConditionalWriteApi<ApiType>;
    WriteId nextWriteId();

    TransportType& transport;
    ClientOptions options;
    core::RandomEngine random;
    RateLimiter rateLimiter;
    CircuitBreaker breaker;
    SeenVersions seenVersions;
};

}
