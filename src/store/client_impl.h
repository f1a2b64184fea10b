#pragma once

// Definitions of the member functions of store::Client. Included by platform/store_api.cpp, which instantiates them,
// and by tests that use a transport of their own.

#include "core/errors.h"
#include "core/hash.h"
#include "declare/parse.h"
#include "store/client.h"

#include <algorithm>

namespace cranberryshed::store {

namespace asio = boost::asio;

// A watch whose connection is dead without being closed reports nothing until it ends. The changes that it misses must
// still be in force within 18 s.
constexpr core::Duration maxWatchWait = std::chrono::seconds(5);

// Ends an admitted call that is cancelled, or that ends with an exception, so that its probe does not keep all later
// calls from the store.
struct AdmittedCall {
    explicit AdmittedCall(std::shared_ptr<CircuitBreaker> admittingBreaker)
        : breaker(std::move(admittingBreaker))
    {
    }

    AdmittedCall(const AdmittedCall&) = delete;
    AdmittedCall& operator=(const AdmittedCall&) = delete;

    ~AdmittedCall()
    {
        if (!this->hasResult)
            this->breaker->recordAbandoned();
    }

    std::shared_ptr<CircuitBreaker> breaker; // shared, because a call can outlive its client
    bool hasResult = false;
};

inline bool isServerFailure(const HttpResponse& response)
{
    return response.outcome != ExchangeOutcome::Answered || response.status >= httpServerError || response.status == httpTooManyRequests;
}

// Whether a failed write certainly had no effect: it was not sent, or the store refused it with status 503 or 429.
// After any other failure it may have taken effect.
inline bool hadNoEffect(const HttpResponse& response)
{
    return response.outcome == ExchangeOutcome::NotSent
        || (response.outcome == ExchangeOutcome::Answered && (response.status == httpUnavailable || response.status == httpTooManyRequests));
}

inline core::Error storeUnavailable(std::string_view detail = {})
{
    return { core::ErrorKind::StoreUnavailable, "the platform's store does not answer" + std::string(detail) };
}

inline core::Error storeUnavailable(const HttpResponse& response)
{
    return response.outcome == ExchangeOutcome::Answered ? storeUnavailable(": HTTP status " + std::to_string(response.status)) : storeUnavailable();
}

inline core::Error unexpectedStatus(const HttpResponse& response)
{
    return { core::ErrorKind::BadMessage, "the store answered with HTTP status " + std::to_string(response.status) + ": " + response.body };
}

// Decodes the response to a read. An absent object is returned as a deleted one.
template <ConditionalWriteApi ApiType>
StoredObject decodeRead(const HttpResponse& response)
{
    if (response.status == httpOk)
        return ApiType::decodeObject(response.body);
    if (response.status != httpNotFound)
        throw unexpectedStatus(response);
    StoredObject absent;
    absent.object.deleted = true;
    return absent;
}

// Returns the object that conflicts with a rejected write, or nothing if the store holds none.
template <ConditionalWriteApi ApiType>
std::optional<StoredObject> decodeConflict(const HttpResponse& response)
{
    return response.status == httpConflict ? std::optional(ApiType::decodeObject(response.body)) : std::nullopt;
}

template <Transport TransportType, ObjectApi ApiType>
Client<TransportType, ApiType>::Client(TransportType& clientTransport, ClientOptions clientOptions)
    : transport(clientTransport)
    , options(std::move(clientOptions))
    , random(core::hashBytes(this->options.writer, this->options.seed))
    , rateLimiter(this->options.rateLimit)
    , breaker(std::make_shared<CircuitBreaker>(this->options.breaker))
{
}

template <Transport TransportType, ObjectApi ApiType>
WriteId Client<TransportType, ApiType>::nextWriteId()
{
    return { .writer = this->options.writer, .nonce = std::to_string(this->random()) };
}

// Makes one HTTP exchange, subject to the rate limit and the circuit breaker. Throws StoreUnavailable if the breaker is
// open.
template <Transport TransportType, ObjectApi ApiType>
auto Client<TransportType, ApiType>::attempt(HttpRequest request, core::Duration timeout) -> asio::awaitable<Answer>
{
    core::TimePoint now = this->transport.now();
    if (!this->breaker->tryAdmit(now))
        throw storeUnavailable();
    AdmittedCall admitted(this->breaker);
    core::TimePoint start = this->rateLimiter.reserve(now);
    if (start > now)
        co_await this->transport.waitUntil(start);
    Answer answer;
    answer.response = co_await this->transport.exchange(std::move(request), std::max(now, start) + timeout);
    if (answer.response.outcome == ExchangeOutcome::Cancelled)
        co_return answer;
    admitted.hasResult = true;
    if (isServerFailure(answer.response))
        this->breaker->recordFailure(this->transport.now(), this->random);
    else
        this->breaker->recordSuccess();
    if (answer.response.outcome == ExchangeOutcome::Answered)
        this->readEra(answer);
    co_return answer;
}

// Sets the era to which the answer belongs. An answer of an earlier era counts as lost: what it reports, or has done to
// the store, need not hold in the present one. So does one of a later era that is not confirmed.
template <Transport TransportType, ObjectApi ApiType>
void Client<TransportType, ApiType>::readEra(Answer& answer)
{
    const EraReading reading = this->eraTracker.read(answer.response.era, this->transport.now());
    ++this->answersByVerdict[static_cast<std::size_t>(reading.verdict)];
    answer.era = reading.era;
    if (reading.verdict == EraVerdict::Earlier || reading.verdict == EraVerdict::Unconfirmed)
        answer.response = { .outcome = ExchangeOutcome::Lost, .status = 0, .body = {} };
}

// Retries a read until it is answered, the total timeout expires or the circuit breaker opens.
template <Transport TransportType, ObjectApi ApiType>
auto Client<TransportType, ApiType>::read(HttpRequest request) -> asio::awaitable<Answer>
{
    core::TimePoint deadline = this->transport.now() + this->options.totalTimeout;
    Backoff backoff(this->options.backoff);
    while (true) {
        Answer answer = co_await this->attempt(request, this->options.attemptTimeout);
        if (!isServerFailure(answer.response))
            co_return answer;
        core::TimePoint retryTime = this->transport.now() + backoff.next(this->random);
        if (retryTime >= deadline)
            throw storeUnavailable(answer.response);
        co_await this->transport.waitUntil(retryTime);
    }
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::list(std::string kind, Consistency consistency)
{
    ObjectBatch batch;
    std::string after;
    bool first = true;
    do {
        HttpRequest request = ApiType::makeListRequest(kind, after, consistency);
        const Answer answer = co_await this->read(std::move(request));
        if (answer.response.status != httpOk)
            throw unexpectedStatus(answer.response);
        ObjectPage page = ApiType::decodePage(answer.response.body, kind, answer.era);
        if (!first && answer.era != batch.era)
            throw storeUnavailable(": it came back from a copy between two pages of a list");
        batch.era = answer.era;
        batch.version = std::exchange(first, false) ? page.batch.version : std::min(batch.version, page.batch.version);
        std::move(page.batch.objects.begin(), page.batch.objects.end(), std::back_inserter(batch.objects));
        if (!after.empty() && page.continueAfter == after)
            throw core::Error(core::ErrorKind::BadMessage, "the store repeats a page of its list of kind " + kind);
        after = std::move(page.continueAfter);
    } while (!after.empty());
    co_return batch;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::watch(std::string kind, std::uint64_t fromVersion, WatchOptions watchOptions)
{
    // While the circuit breaker is open, the watch can be its probe and keeps all other calls from the store until it
    // ends, so it does not wait for changes.
    if (this->breaker->isOpen())
        watchOptions.wait = core::Duration::zero();
    const core::Duration answerTimeout = watchOptions.answerTimeout > core::Duration::zero() ? watchOptions.answerTimeout : this->options.watchTimeoutMargin;
    HttpRequest request = ApiType::makeWatchRequest(kind, fromVersion, watchOptions.wait);
    request.cancellation = std::move(watchOptions.cancellation);
    const Answer answer = co_await this->attempt(std::move(request), watchOptions.wait + answerTimeout);
    if (isServerFailure(answer.response))
        throw storeUnavailable(answer.response);
    if (answer.response.status == httpGone)
        throw core::Error(core::ErrorKind::HistoryGone, "the store no longer holds the changes since version " + std::to_string(fromVersion));
    if (answer.response.status != httpOk)
        throw unexpectedStatus(answer.response);
    ObjectBatch changes = ApiType::decodeChanges(answer.response.body, kind, answer.era);
    changes.era = answer.era;
    co_return changes;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<bool> Client<TransportType, ApiType>::create(std::string kind, std::string name, std::string content)
{
    HttpRequest request = ApiType::makeCreateRequest(kind, name, content);
    const Answer answer = co_await this->attempt(std::move(request), this->options.attemptTimeout);
    const HttpResponse& response = answer.response;
    if (isServerFailure(response))
        throw storeUnavailable(response);
    if (response.status != httpOk && response.status != httpCreated && response.status != httpConflict)
        throw unexpectedStatus(response);
    co_return response.status != httpConflict;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<StoredObject> Client<TransportType, ApiType>::get(std::string kind, std::string name) requires ConditionalWriteApi<ApiType>
{
    HttpRequest request = ApiType::makeGetRequest(kind, name);
    const Answer answer = co_await this->read(std::move(request));
    StoredObject stored = decodeRead<ApiType>(answer.response);
    stored.object.kind = std::move(kind);
    stored.object.name = std::move(name);
    co_return stored;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::put(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>
{
    return this->write({ .object = std::move(object), .writeId = this->nextWriteId() }, ifVersion);
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::remove(core::Object object, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>
{
    // The variables below are named because g++ 12 destroys an aggregate twice if it is a temporary of a co_await
    // expression.
    if (ifVersion == 0) { // the caller expects no object, so there is nothing to remove
        StoredObject current = co_await this->get(object.kind, object.name);
        co_return WriteResult { .written = false, .current = std::move(current) };
    }
    object.deleted = true;
    object.content.clear();
    StoredObject tombstone { .object = std::move(object), .writeId = this->nextWriteId() };
    co_return co_await this->write(std::move(tombstone), ifVersion);
}

// Sends a write until its outcome is known or the total timeout expires, see WriteTracker. An object that is created
// under the name of a deleted one replaces its tombstone.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::write(StoredObject stored, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>
{
    if (stored.object.content.size() > maxContentBytes)
        throw core::Error(core::ErrorKind::BadMessage, "the content of " + stored.object.kind + '/' + stored.object.name + " has " + std::to_string(stored.object.content.size()) + " bytes; at most " + std::to_string(maxContentBytes) + " are allowed");
    core::TimePoint deadline = this->transport.now() + this->options.totalTimeout;
    Backoff backoff(this->options.backoff);
    WriteTracker tracker(stored.writeId, ifVersion);
    const std::uint64_t returnsBefore = this->answerCount(EraVerdict::Advanced);
    WriteStep step = WriteStep::Send;
    std::optional<StoredObject> current;
    std::uint64_t replacedVersion = ifVersion;
    const std::string id = stored.object.kind + '/' + stored.object.name;
    // The version that the write replaces: `ifVersion`, or that of a tombstone if a new object conflicts with one.
    auto versionToReplace = [&] { return ifVersion == 0 && current && current->object.deleted ? current->object.version.version : ifVersion; };
    auto giveUpError = [&] {
        return tracker.mayHaveTakenEffect() ? core::Error(core::ErrorKind::WriteUnclear, "the answer to the write of " + id + " was lost") : storeUnavailable();
    };
    while (step == WriteStep::Send || step == WriteStep::ReadBack) {
        bool isWrite = step == WriteStep::Send;
        HttpResponse response;
        try {
            HttpRequest request = isWrite ? ApiType::makePutRequest(stored, replacedVersion) : ApiType::makeGetRequest(stored.object.kind, stored.object.name);
            Answer answer = co_await this->attempt(std::move(request), this->options.attemptTimeout);
            response = std::move(answer.response);
        } catch (const core::Error&) {
            throw giveUpError();
        }
        if (this->answerCount(EraVerdict::Advanced) != returnsBefore)
            tracker.recordReturn();
        bool hasFailed = isServerFailure(response);
        if (isWrite && (response.status == httpOk || response.status == httpCreated))
            co_return WriteResult { .written = true, .current = ApiType::decodeObject(response.body) };
        if (isWrite && (response.status == httpConflict || response.status == httpNotFound)) {
            current = decodeConflict<ApiType>(response);
            const bool conflictsWithTombstone = versionToReplace() != ifVersion && !tracker.mayHaveTakenEffect();
            step = conflictsWithTombstone ? WriteStep::Send : tracker.recordAttempt(WriteAttemptOutcome::Conflict, current);
            replacedVersion = versionToReplace();
        } else if (isWrite && hasFailed)
            step = tracker.recordAttempt(hadNoEffect(response) ? WriteAttemptOutcome::NotApplied : WriteAttemptOutcome::Unknown, std::nullopt);
        else if (isWrite)
            throw unexpectedStatus(response);
        else if (!hasFailed) {
            current = decodeRead<ApiType>(response);
            step = tracker.recordReadBack(current);
            replacedVersion = versionToReplace();
        }
        if (!hasFailed)
            continue;
        core::TimePoint retryTime = this->transport.now() + backoff.next(this->random);
        if (retryTime >= deadline)
            throw giveUpError();
        co_await this->transport.waitUntil(retryTime);
    }
    if (step == WriteStep::Unclear)
        throw core::Error(core::ErrorKind::WriteUnclear, "another writer changed " + id + " and the answer to this write was lost");
    co_return WriteResult { .written = step == WriteStep::Done, .current = current.value_or(StoredObject {}) };
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<core::ServerList> Client<TransportType, ApiType>::fetchServerList() requires ConditionalWriteApi<ApiType>
{
    HttpRequest request = ApiType::makeServerListRequest();
    const Answer answer = co_await this->read(std::move(request));
    if (answer.response.status != httpOk)
        throw unexpectedStatus(answer.response);
    core::ServerList list = declare::parseServerList(ApiType::decodeServerList(answer.response.body), this->transport.now());
    list.version = core::packPosition({ .era = answer.era, .revision = list.version });
    co_return list;
}

// Makes the next step of a watch loop: a list of each kind, a watch, or a verification of the cursor. A watch covers
// the objects of all kinds. Returns the objects whose versions are newer than all seen before.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<std::vector<core::Object>> Client<TransportType, ApiType>::runWatchStep(WatchCursor& cursor, std::span<const std::string> kinds) requires ConditionalWriteApi<ApiType>
{
    std::vector<core::Object> newer;
    auto collectNewer = [&](ObjectBatch& batch) {
        for (StoredObject& stored : batch.objects) {
            bool isWatchedKind = std::find(kinds.begin(), kinds.end(), stored.object.kind) != kinds.end();
            if (isWatchedKind && this->seenVersions.acceptIfNewer(stored.object))
                newer.push_back(std::move(stored.object));
        }
    };
    const CursorStep next = cursor.nextStep(this->era());
    if (next == CursorStep::Verify) {
        const WatchOptions withoutWaiting {};
        ObjectBatch batch = co_await this->watch({}, cursor.fromVersion() - 1, withoutWaiting);
        cursor.recordVerification(batch);
        co_return newer;
    }
    if (next == CursorStep::Watch) {
        const WatchOptions watchOptions { .wait = maxWatchWait };
        ObjectBatch batch = co_await this->watch({}, cursor.fromVersion(), watchOptions);
        cursor.recordWatch(batch);
        collectNewer(batch);
        co_return newer;
    }
    // The watch starts at the version of the first list, so no change between the lists is missed.
    ObjectBatch all;
    for (const std::string& kind : kinds) {
        ObjectBatch batch = co_await this->list(kind);
        if (&kind == kinds.data()) {
            all.era = batch.era;
            all.version = batch.version;
        }
        std::move(batch.objects.begin(), batch.objects.end(), std::back_inserter(all.objects));
    }
    cursor.recordList(all);
    collectNewer(all);
    co_return newer;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<void> Client<TransportType, ApiType>::watchForever(std::vector<std::string> kinds, std::function<void(std::vector<core::Object>)> onObjects, std::function<void(bool)> onAvailability) requires ConditionalWriteApi<ApiType>
{
    WatchCursor cursor;
    Backoff backoff(this->options.backoff);
    std::optional<bool> wasUp;
    while (true) {
        std::optional<core::ErrorKind> failure;
        std::vector<core::Object> newer;
        try {
            newer = co_await this->runWatchStep(cursor, kinds);
        } catch (const core::Error& error) {
            failure = error.kind();
        }
        if (failure == core::ErrorKind::HistoryGone)
            cursor.recordHistoryGone();
        else if (failure)
            cursor.recordFailure();
        bool isUp = !failure || failure == core::ErrorKind::HistoryGone;
        if (onAvailability && wasUp != isUp)
            onAvailability(isUp);
        wasUp = isUp;
        if (!newer.empty())
            onObjects(std::move(newer));
        if (!failure) {
            backoff.reset();
            continue;
        }
        // While the circuit breaker is open, no call is admitted before the next probe.
        core::TimePoint now = this->transport.now();
        co_await this->transport.waitUntil(std::max(now + backoff.next(this->random), this->breaker->nextProbeTime().value_or(now)));
    }
}

}
