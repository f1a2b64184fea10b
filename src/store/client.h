#pragma once

#include "core/declarations.h"
#include "store/client_policy.h"
#include "store/era_tracker.h"
#include "store/http_transport.h"
#include "store/object_api.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace cranberryshed::store {

struct ClientOptions {
    std::string writer; // id of this process, unique per start
    std::uint64_t seed = 0; // of random delays and nonces
    core::Duration attemptTimeout = std::chrono::seconds(2);
    core::Duration totalTimeout = std::chrono::seconds(10); // of a call with all its attempts; zero: only one attempt
    core::Duration watchTimeoutMargin = std::chrono::seconds(2); // added to the wait time of a watch
    BackoffOptions backoff;
    RateLimiterOptions rateLimit;
    CircuitBreakerOptions breaker;
};

struct WatchOptions {
    core::Duration wait {}; // for changes
    // For the answer, in addition to `wait`; zero: that of the client.
    core::Duration answerTimeout {};
    std::shared_ptr<ExchangeCancellation> cancellation {}; // null: never cancelled
};

// Client of the platform's store, with timeouts, retries, a rate limit and a circuit breaker. All calls must be made on
// one thread; several calls can be in flight at the same time.
//
// Each call throws core::Error: StoreUnavailable if the store does not answer (a write then had no effect), BadMessage
// if the request is invalid or the response is unexpected or cannot be decoded.
template <Transport TransportType, ObjectApi ApiType>
class Client {
public:
    // The transport must outlive the client, and the client its calls.
    Client(TransportType& transport, ClientOptions options);

    // Returns all objects of a kind, read page by page. The batch has the lowest store version of a page, so a watch from
    // that version misses no change: later pages can be newer, and if they are stale, also older.
    boost::asio::awaitable<ObjectBatch> list(std::string kind, Consistency = Consistency::Linearizable);

    // Waits for changes after store version `fromVersion` and returns them; the batch is empty if there were none. Does
    // not wait while the circuit breaker is open. Makes one attempt only.
    // Also throws HistoryGone if the store no longer holds the changes since that version. A watch that was cancelled
    // throws StoreUnavailable and doesn't count as a failure of the store.
    boost::asio::awaitable<ObjectBatch> watch(std::string kind, std::uint64_t fromVersion, WatchOptions);

    // Creates an object and returns true, or returns false if the object exists already. Makes one attempt only.
    boost::asio::awaitable<bool> create(std::string kind, std::string name, std::string content);

    // Returns the object, or a deleted object without a write id if the store holds none.
    boost::asio::awaitable<StoredObject> get(std::string kind, std::string name) requires ConditionalWriteApi<ApiType>;

    // Writes the object with its revision, on condition that the store holds version `ifVersion` of it (0: that it
    // holds none). Also throws WriteUnclear if it is unknown whether the write took effect.
    boost::asio::awaitable<WriteResult> put(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;
    // Replaces the object by a tombstone, under the same condition and with the same errors as `put`.
    boost::asio::awaitable<WriteResult> remove(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;

    // Returns the list of backend servers. The platform updates it with a delay. A list of a later era has a higher
    // version.
    boost::asio::awaitable<core::ServerList> fetchServerList() requires ConditionalWriteApi<ApiType>;

    // Lists the objects of the kinds and then watches them, also across failures and lost history, until it is
    // cancelled. Passes each object version that is newer than all seen before to `onObjects`. Calls `onAvailability`
    // with whether the store answers, after the first call and whenever that changes.
    boost::asio::awaitable<void> watchForever(std::vector<std::string> kinds, std::function<void(std::vector<core::Object>)> onObjects, std::function<void(bool)> onAvailability = {}) requires ConditionalWriteApi<ApiType>;

    // Whether the circuit breaker would admit a call at `now`.
    bool canSendNow(core::TimePoint now) const { return this->breaker->wouldAdmit(now); }
    bool isStoreDown() const { return this->breaker->isOpen(); }
    // The store's present era; 0 if no answer has stated one.
    std::uint64_t era() const { return this->eraTracker.current(); }
    // How many answers had this verdict.
    std::uint64_t answerCount(EraVerdict verdict) const { return this->answersByVerdict[static_cast<std::size_t>(verdict)]; }
    core::TimePoint now() const { return this->transport.now(); }

private:
    // A response with the era to which it belongs.
    struct Answer {
        HttpResponse response;
        std::uint64_t era = 0;
    };

    boost::asio::awaitable<Answer> attempt(HttpRequest request, core::Duration timeout);
    void readEra(Answer&);
    boost::asio::awaitable<Answer> read(HttpRequest request);
    boost::asio::awaitable<WriteResult> write(StoredObject stored, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>;
    boost::asio::awaitable<std::vector<core::Object>> runWatchStep(WatchCursor& cursor, std::span<const std::string> kinds) requires ConditionalWriteApi<ApiType>;
    WriteId nextWriteId();

    TransportType& transport;
    ClientOptions options;
    core::RandomEngine random;
    RateLimiter rateLimiter;
    EraTracker eraTracker;
    std::array<std::uint64_t, core::enumeratorCount<EraVerdict>()> answersByVerdict {};
    std::shared_ptr<CircuitBreaker> breaker;
    SeenVersions seenVersions;
};

}
