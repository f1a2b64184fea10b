#pragma once

// The bodies of store::Client. Included by platform/store_api.cpp and by tests that pass their own transport.

#include "core/errors.h"
#include "core/hash.h"
#include "declare/load.h"
#include "store/client.h"

#include <algorithm>

namespace cranberryshed::store {

namespace asio = boost::asio;

constexpr core::Duration watchWait = std::chrono::seconds(30);

inline bool isServerFailure(const HttpResponse& response)
{
    return response.outcome != ExchangeOutcome::Answered || response.status >= httpServerError || response.status == httpTooManyRequests;
}

// A refusal with one of these has no effect; any other failure after sending may have had one.
inline bool isWithoutEffect(const HttpResponse& response)
{
    return response.outcome == ExchangeOutcome::NotSent
        || (response.outcome == ExchangeOutcome::Answered && (response.status == httpUnavailable || response.status == httpTooManyRequests));
}

inline core::Error storeDown(std::string_view detail = {})
{
    return { core::ErrorKind::StoreUnavailable, "the platform's store does not answer" + std::string(detail) };
}

inline core::Error storeFailed(const HttpResponse& response)
{
    return response.outcome == ExchangeOutcome::Answered ? storeDown(": status " + std::to_string(response.status)) : storeDown();
}

inline core::Error unexpected(const HttpResponse& response)
{
    return { core::ErrorKind::BadMessage, "the store answered " + std::to_string(response.status) + ": " + response.body };
}

// The object of an answer to a read, an absent one as a deleted object.
template <ConditionalWriteApi ApiType>
StoredObject objectOf(const HttpResponse& response)
{
    if (response.status == httpOk)
        return ApiType::decodeObject(response.body);
    if (response.status != httpNotFound)
        throw unexpected(response);
    StoredObject absent;
    absent.object.deleted = true;
    return absent;
}

// The object that a refused write found in its place; nothing if there is none.
template <ConditionalWriteApi ApiType>
std::optional<StoredObject> conflictOf(const HttpResponse& response)
{
    return response.status == httpConflict ? std::optional(ApiType::decodeObject(response.body)) : std::nullopt;
}

template <Transport TransportType, ObjectApi ApiType>
Client<TransportType, ApiType>::Client(TransportType& clientTransport, ClientOptions clientOptions)
    : transport(clientTransport)
    , options(std::move(clientOptions))
    , random(core::hashBytes(this->options.writer, this->options.seed))
    , rateLimiter(this->options.rateLimit)
    , breaker(this->options.breaker)
{
}

template <Transport TransportType, ObjectApi ApiType>
WriteId Client<TransportType, ApiType>::nextWriteId()
{
    return { .writer = this->options.writer, .nonce = std::to_string(this->random()) };
}

// One exchange under rate limit and circuit breaker. Throws StoreUnavailable if the breaker is open.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<HttpResponse> Client<TransportType, ApiType>::attempt(HttpRequest request, core::Duration deadline)
{
    core::TimePoint now = this->transport.now();
    if (!this->breaker.tryAdmit(now))
        throw storeDown();
    core::TimePoint start = this->rateLimiter.reserve(now);
    if (start > now)
        co_await this->transport.waitUntil(start);
    HttpResponse response = co_await this->transport.exchange(std::move(request), std::max(now, start) + deadline);
    if (isServerFailure(response))
        this->breaker.recordFailure(this->transport.now(), this->random);
    else
        this->breaker.recordSuccess();
    co_return response;
}

// Repeats a read until it is answered, the total deadline passes or the breaker opens.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<HttpResponse> Client<TransportType, ApiType>::read(HttpRequest request)
{
    core::TimePoint end = this->transport.now() + this->options.totalTimeout;
    Backoff backoff(this->options.backoff);
    while (true) {
        HttpResponse response = co_await this->attempt(request, this->options.attemptTimeout);
        if (!isServerFailure(response))
            co_return response;
        core::TimePoint again = this->transport.now() + backoff.next(this->random);
        if (again >= end)
            throw storeFailed(response);
        co_await this->transport.waitUntil(again);
    }
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::list(std::string kind)
{
    ObjectBatch batch;
    std::string after;
    bool first = true;
    do {
        HttpRequest request = ApiType::makeListRequest(kind, after);
        HttpResponse response = co_await this->read(std::move(request));
        if (response.status != httpOk)
            throw unexpected(response);
        ObjectPage page = ApiType::decodePage(response.body, kind);
        batch.version = std::exchange(first, false) ? page.batch.version : batch.version;
        std::move(page.batch.objects.begin(), page.batch.objects.end(), std::back_inserter(batch.objects));
        after = std::move(page.continueAfter);
    } while (!after.empty());
    co_return batch;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::watch(std::string kind, std::uint64_t from, core::Duration wait)
{
    // A watch that waits would keep all other calls from the store until it ends, if it is the breaker's probe.
    if (this->breaker.isOpen())
        wait = core::Duration::zero();
    HttpRequest request = ApiType::makeWatchRequest(kind, from, wait);
    HttpResponse response = co_await this->attempt(std::move(request), wait + this->options.watchTimeoutMargin);
    if (isServerFailure(response))
        throw storeFailed(response);
    if (response.status == httpGone)
        throw core::Error(core::ErrorKind::HistoryGone, "the store no longer holds the changes since version " + std::to_string(from));
    if (response.status != httpOk)
        throw unexpected(response);
    co_return ApiType::decodeChanges(response.body, kind);
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<bool> Client<TransportType, ApiType>::create(std::string kind, std::string name, std::string content)
{
    HttpRequest request = ApiType::makeCreateRequest(kind, name, content);
    HttpResponse response = co_await this->attempt(std::move(request), this->options.attemptTimeout);
    if (isServerFailure(response))
        throw storeFailed(response);
    if (response.status != httpOk && response.status != httpCreated && response.status != httpConflict)
        throw unexpected(response);
    co_return response.status != httpConflict;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<StoredObject> Client<TransportType, ApiType>::get(std::string kind, std::string name) requires ConditionalWriteApi<ApiType>
{
    HttpRequest request = ApiType::makeGetRequest(kind, name);
    HttpResponse response = co_await this->read(std::move(request));
    StoredObject stored = objectOf<ApiType>(response);
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
    // Named variables: g++ 12 destroys an aggregate that is a temporary of a co_await expression twice.
    if (ifVersion == 0) { // what does not exist can't be removed
        StoredObject current = co_await this->get(object.kind, object.name);
        co_return WriteResult { .written = false, .current = std::move(current) };
    }
    object.deleted = true;
    object.content.clear();
    StoredObject note { .object = std::move(object), .writeId = this->nextWriteId() };
    co_return co_await this->write(std::move(note), ifVersion);
}

// Sends a write until its outcome is known or the total deadline passes, see WriteTracker. Where a new object finds
// the note of an earlier one's deletion, it replaces the note.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::write(StoredObject stored, std::uint64_t ifVersion) requires ConditionalWriteApi<ApiType>
{
    if (stored.object.content.size() > maxContentBytes)
        throw core::Error(core::ErrorKind::BadMessage, "the content has more than " + std::to_string(maxContentBytes) + " bytes");
    core::TimePoint end = this->transport.now() + this->options.totalTimeout;
    Backoff backoff(this->options.backoff);
    WriteTracker tracker(stored.writeId, ifVersion);
    WriteStep step = WriteStep::Send;
    std::optional<StoredObject> current;
    std::uint64_t replaced = ifVersion;
    const std::string id = stored.object.kind + '/' + stored.object.name;
    // The version to replace: of the note of a deletion, if a new object finds one.
    auto versionToReplace = [&] { return ifVersion == 0 && current && current->object.deleted ? current->object.version.version : ifVersion; };
    auto givenUp = [&] {
        return tracker.mayHaveTakenEffect() ? core::Error(core::ErrorKind::WriteUnclear, "the answer to the write of " + id + " was lost") : storeDown();
    };
    while (step == WriteStep::Send || step == WriteStep::ReadBack) {
        bool sends = step == WriteStep::Send;
        HttpResponse response;
        try {
            HttpRequest request = sends ? ApiType::makePutRequest(stored, replaced) : ApiType::makeGetRequest(stored.object.kind, stored.object.name);
            response = co_await this->attempt(std::move(request), this->options.attemptTimeout);
        } catch (const core::Error&) {
            throw givenUp();
        }
        bool failed = isServerFailure(response);
        if (sends && (response.status == httpOk || response.status == httpCreated))
            co_return WriteResult { .written = true, .current = ApiType::decodeObject(response.body) };
        if (sends && (response.status == httpConflict || response.status == httpNotFound)) {
            current = conflictOf<ApiType>(response);
            const bool findsNote = versionToReplace() != ifVersion && !tracker.mayHaveTakenEffect();
            step = findsNote ? WriteStep::Send : tracker.recordAttempt(WriteAttemptOutcome::Conflict, current);
            replaced = versionToReplace();
        } else if (sends && failed)
            step = tracker.recordAttempt(isWithoutEffect(response) ? WriteAttemptOutcome::NotApplied : WriteAttemptOutcome::Unknown, std::nullopt);
        else if (sends)
            throw unexpected(response);
        else if (!failed) {
            current = objectOf<ApiType>(response);
            step = tracker.recordReadBack(current);
            replaced = versionToReplace();
        }
        if (!failed)
            continue;
        core::TimePoint again = this->transport.now() + backoff.next(this->random);
        if (again >= end)
            throw givenUp();
        co_await this->transport.waitUntil(again);
    }
    if (step == WriteStep::Unclear)
        throw core::Error(core::ErrorKind::WriteUnclear, "another writer changed " + id + " and the answer to this write was lost");
    co_return WriteResult { .written = step == WriteStep::Done, .current = current.value_or(StoredObject {}) };
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<core::ServerList> Client<TransportType, ApiType>::fetchServerList() requires ConditionalWriteApi<ApiType>
{
    HttpRequest request = ApiType::makeServerListRequest();
    HttpResponse response = co_await this->read(std::move(request));
    if (response.status != httpOk)
        throw unexpected(response);
    co_return declare::loadServers(ApiType::decodeServerList(response.body), this->transport.now());
}

// One list of all kinds, one watch, or the check of the position. A watch covers the objects of all kinds. Returns what is newer than anything seen before.
template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<std::vector<core::Object>> Client<TransportType, ApiType>::runWatchStep(WatchCursor& cursor, std::span<const std::string> kinds) requires ConditionalWriteApi<ApiType>
{
    std::vector<core::Object> fresh;
    auto takeNew = [&](ObjectBatch& batch) {
        for (StoredObject& stored : batch.objects) {
            bool wanted = std::find(kinds.begin(), kinds.end(), stored.object.kind) != kinds.end();
            if (wanted && this->seenVersions.acceptIfNewer(stored.object))
                fresh.push_back(std::move(stored.object));
        }
    };
    CursorStep next = cursor.nextStep();
    if (next == CursorStep::Verify) {
        ObjectBatch batch = co_await this->watch({}, cursor.fromVersion() - 1, core::Duration(0));
        cursor.recordVerification(batch);
        co_return fresh;
    }
    if (next == CursorStep::Watch) {
        ObjectBatch batch = co_await this->watch({}, cursor.fromVersion(), watchWait);
        cursor.recordWatch(batch);
        takeNew(batch);
        co_return fresh;
    }
    // The watch starts at the first list's version, so that no change between the lists is missed.
    ObjectBatch all;
    for (const std::string& kind : kinds) {
        ObjectBatch batch = co_await this->list(kind);
        all.version = &kind == kinds.data() ? batch.version : all.version;
        std::move(batch.objects.begin(), batch.objects.end(), std::back_inserter(all.objects));
    }
    cursor.recordList(all);
    takeNew(all);
    co_return fresh;
}

template <Transport TransportType, ObjectApi ApiType>
asio::awaitable<void> Client<TransportType, ApiType>::watchForever(std::vector<std::string> kinds, std::function<void(std::vector<core::Object>)> onObjects, std::function<void(bool)> onAvailability) requires ConditionalWriteApi<ApiType>
{
    WatchCursor cursor;
    Backoff backoff(this->options.backoff);
    std::optional<bool> wasUp;
    while (true) {
        std::optional<core::ErrorKind> failure;
        std::vector<core::Object> fresh;
        try {
            fresh = co_await this->runWatchStep(cursor, kinds);
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
        if (!fresh.empty())
            onObjects(std::move(fresh));
        if (!failure) {
            backoff.reset();
            continue;
        }
        // While the breaker is open there is no use in asking before its next probe.
        core::TimePoint now = this->transport.now();
        co_await this->transport.waitUntil(std::max(now + backoff.next(this->random), this->breaker.nextProbeTime().value_or(now)));
    }
}

}
