#pragma once

// The bodies of store::Client. Included by platform/store_api.cpp and by tests that pass their own transport.

#include "core/errors.h"
#include "core/hash.h"
#include "declare/parse.h"
#include "store/client.h"

#include <algorithm>

namespace cranberryshed::store {

namespace asio = boost::asio;

constexpr core::Duration watchWait = std::chrono::seconds(30);

inline bool isServerFailure(const HttpReply& reply)
{
    return reply.end != ExchangeEnd::Answered || reply.status >= httpServerError || reply.status == httpTooManyRequests;
}

// A refusal with one of these has no effect; any other failure after sending may have had one.
inline bool isWithoutEffect(const HttpReply& reply)
{
    return reply.end == ExchangeEnd::NotSent
        || (reply.end == ExchangeEnd::Answered && (reply.status == httpUnavailable || reply.status == httpTooManyRequests));
}

inline core::Error storeDown(std::string_view detail = {})
{
    return { core::ErrorKind::StoreUnavailable, "the platform's store does not answer" + std::string(detail) };
}

inline core::Error storeFailed(const HttpReply& reply)
{
    return reply.end == ExchangeEnd::Answered ? storeDown(": status " + std::to_string(reply.status)) : storeDown();
}

inline core::Error unexpected(const HttpReply& reply)
{
    return { core::ErrorKind::BadMessage, "the store answered " + std::to_string(reply.status) + ": " + reply.body };
}

// The object of an answer to a read, an absent one as a deleted object.
template <MarkedApi ApiType>
StoredObject objectOf(const HttpReply& reply)
{
    if (reply.status == httpOk)
        return ApiType::readObject(reply.body);
    if (reply.status != httpNotFound)
        throw unexpected(reply);
    StoredObject absent;
    absent.object.deleted = true;
    return absent;
}

// The object that a refused write found in its place; nothing if there is none.
template <MarkedApi ApiType>
std::optional<StoredObject> conflictOf(const HttpReply& reply)
{
    return reply.status == httpConflict ? std::optional(ApiType::readObject(reply.body)) : std::nullopt;
}

template <Transport TransportType, Api ApiType>
Client<TransportType, ApiType>::Client(TransportType& clientTransport, ClientOptions clientOptions)
    : transport(clientTransport)
    , options(std::move(clientOptions))
    , random(core::hashBytes(this->options.writer, this->options.seed))
    , rate(this->options.rate)
    , breaker(this->options.breaker)
{
}

template <Transport TransportType, Api ApiType>
WriteMark Client<TransportType, ApiType>::nextMark()
{
    return { .writer = this->options.writer, .nonce = std::to_string(this->random()) };
}

// One exchange under rate limit and circuit breaker. Throws StoreUnavailable if the breaker is open.
template <Transport TransportType, Api ApiType>
asio::awaitable<HttpReply> Client<TransportType, ApiType>::attempt(HttpRequest request, core::Duration deadline)
{
    core::TimePoint now = this->transport.now();
    if (!this->breaker.allows(now))
        throw storeDown();
    core::TimePoint start = this->rate.reserve(now);
    if (start > now)
        co_await this->transport.waitUntil(start);
    HttpReply reply = co_await this->transport.exchange(std::move(request), std::max(now, start) + deadline);
    if (isServerFailure(reply))
        this->breaker.failed(this->transport.now(), this->random);
    else
        this->breaker.succeeded();
    co_return reply;
}

// Repeats a read until it is answered, the total deadline passes or the breaker opens.
template <Transport TransportType, Api ApiType>
asio::awaitable<HttpReply> Client<TransportType, ApiType>::read(HttpRequest request)
{
    core::TimePoint end = this->transport.now() + this->options.totalDeadline;
    Backoff backoff(this->options.backoff);
    while (true) {
        HttpReply reply = co_await this->attempt(request, this->options.callDeadline);
        if (!isServerFailure(reply))
            co_return reply;
        core::TimePoint again = this->transport.now() + backoff.next(this->random);
        if (again >= end)
            throw storeFailed(reply);
        co_await this->transport.waitUntil(again);
    }
}

template <Transport TransportType, Api ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::list(std::string kind)
{
    ObjectBatch batch;
    std::string after;
    bool first = true;
    do {
        HttpRequest request = ApiType::listCall(kind, after);
        HttpReply reply = co_await this->read(std::move(request));
        if (reply.status != httpOk)
            throw unexpected(reply);
        ObjectPage page = ApiType::readPage(reply.body, kind);
        batch.version = std::exchange(first, false) ? page.batch.version : batch.version;
        std::move(page.batch.objects.begin(), page.batch.objects.end(), std::back_inserter(batch.objects));
        after = std::move(page.next);
    } while (!after.empty());
    co_return batch;
}

template <Transport TransportType, Api ApiType>
asio::awaitable<ObjectBatch> Client<TransportType, ApiType>::watch(std::string kind, std::uint64_t from, core::Duration wait)
{
    // A watch that waits would keep all other calls from the store until it ends, if it is the breaker's probe.
    if (this->breaker.isOpen())
        wait = core::Duration::zero();
    HttpRequest request = ApiType::watchCall(kind, from, wait);
    HttpReply reply = co_await this->attempt(std::move(request), wait + this->options.watchGrace);
    if (isServerFailure(reply))
        throw storeFailed(reply);
    if (reply.status == httpGone)
        throw core::Error(core::ErrorKind::HistoryGone, "the store no longer holds the changes since version " + std::to_string(from));
    if (reply.status != httpOk)
        throw unexpected(reply);
    co_return ApiType::readChanges(reply.body, kind);
}

template <Transport TransportType, Api ApiType>
asio::awaitable<bool> Client<TransportType, ApiType>::create(std::string kind, std::string name, std::string content)
{
    HttpRequest request = ApiType::createCall(kind, name, content);
    HttpReply reply = co_await this->attempt(std::move(request), this->options.callDeadline);
    if (isServerFailure(reply))
        throw storeFailed(reply);
    if (reply.status != httpOk && reply.status != httpCreated && reply.status != httpConflict)
        throw unexpected(reply);
    co_return reply.status != httpConflict;
}

template <Transport TransportType, Api ApiType>
asio::awaitable<StoredObject> Client<TransportType, ApiType>::get(std::string kind, std::string name) requires MarkedApi<ApiType>
{
    HttpRequest request = ApiType::getCall(kind, name);
    HttpReply reply = co_await this->read(std::move(request));
    StoredObject stored = objectOf<ApiType>(reply);
    stored.object.kind = std::move(kind);
    stored.object.name = std::move(name);
    co_return stored;
}

template <Transport TransportType, Api ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::put(core::Object object, std::uint64_t ifVersion) requires MarkedApi<ApiType>
{
    return this->write({ .object = std::move(object), .mark = this->nextMark() }, ifVersion);
}

template <Transport TransportType, Api ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::remove(core::Object object, std::uint64_t ifVersion) requires MarkedApi<ApiType>
{
    // Named variables: g++ 12 destroys an aggregate that is a temporary of a co_await expression twice.
    if (ifVersion == 0) { // what does not exist can't be removed
        StoredObject current = co_await this->get(object.kind, object.name);
        co_return WriteResult { .written = false, .current = std::move(current) };
    }
    object.deleted = true;
    object.content.clear();
    StoredObject note { .object = std::move(object), .mark = this->nextMark() };
    co_return co_await this->write(std::move(note), ifVersion);
}

// Sends a write until its outcome is known or the total deadline passes, see WriteTracker. Where a new object finds
// the note of an earlier one's deletion, it replaces the note.
template <Transport TransportType, Api ApiType>
asio::awaitable<WriteResult> Client<TransportType, ApiType>::write(StoredObject stored, std::uint64_t ifVersion) requires MarkedApi<ApiType>
{
    if (stored.object.content.size() > largestContentBytes)
        throw core::Error(core::ErrorKind::BadMessage, "the content has more than " + std::to_string(largestContentBytes) + " bytes");
    core::TimePoint end = this->transport.now() + this->options.totalDeadline;
    Backoff backoff(this->options.backoff);
    WriteTracker tracker(stored.mark, ifVersion);
    WriteStep step = WriteStep::Send;
    std::optional<StoredObject> current;
    std::uint64_t replaced = ifVersion;
    const std::string id = stored.object.kind + '/' + stored.object.name;
    // The version to replace: of the note of a deletion, if a new object finds one.
    auto versionToReplace = [&] { return ifVersion == 0 && current && current->object.deleted ? current->object.version.version : ifVersion; };
    auto givenUp = [&] {
        return tracker.mayHaveRun() ? core::Error(core::ErrorKind::WriteUnclear, "the answer to the write of " + id + " was lost") : storeDown();
    };
    while (step == WriteStep::Send || step == WriteStep::ReadBack) {
        bool sends = step == WriteStep::Send;
        HttpReply reply;
        try {
            HttpRequest request = sends ? ApiType::putCall(stored, replaced) : ApiType::getCall(stored.object.kind, stored.object.name);
            reply = co_await this->attempt(std::move(request), this->options.callDeadline);
        } catch (const core::Error&) {
            throw givenUp();
        }
        bool failed = isServerFailure(reply);
        if (sends && (reply.status == httpOk || reply.status == httpCreated))
            co_return WriteResult { .written = true, .current = ApiType::readObject(reply.body) };
        if (sends && (reply.status == httpConflict || reply.status == httpNotFound)) {
            current = conflictOf<ApiType>(reply);
            const bool findsNote = versionToReplace() != ifVersion && !tracker.mayHaveRun();
            step = findsNote ? WriteStep::Send : tracker.attempted(WriteAttempt::Conflict, current);
            replaced = versionToReplace();
        } else if (sends && failed)
            step = tracker.attempted(isWithoutEffect(reply) ? WriteAttempt::NotSent : WriteAttempt::Unknown, std::nullopt);
        else if (sends)
            throw unexpected(reply);
        else if (!failed) {
            current = objectOf<ApiType>(reply);
            step = tracker.readBack(current);
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

template <Transport TransportType, Api ApiType>
asio::awaitable<core::ServerList> Client<TransportType, ApiType>::servers() requires MarkedApi<ApiType>
{
    HttpRequest request = ApiType::serverListCall();
    HttpReply reply = co_await this->read(std::move(request));
    if (reply.status != httpOk)
        throw unexpected(reply);
    co_return declare::parseServerList(ApiType::readServerList(reply.body), this->transport.now());
}

// One list of all kinds, one watch, or the check of the position. A watch covers the objects of all kinds. Returns what is newer than anything seen before.
template <Transport TransportType, Api ApiType>
asio::awaitable<std::vector<core::Object>> Client<TransportType, ApiType>::step(FollowPosition& position, std::span<const std::string> kinds) requires MarkedApi<ApiType>
{
    std::vector<core::Object> fresh;
    auto takeNew = [&](ObjectBatch& batch) {
        for (StoredObject& stored : batch.objects) {
            bool wanted = std::find(kinds.begin(), kinds.end(), stored.object.kind) != kinds.end();
            if (wanted && this->followed.accept(stored.object))
                fresh.push_back(std::move(stored.object));
        }
    };
    FollowStep next = position.step();
    if (next == FollowStep::Verify) {
        ObjectBatch batch = co_await this->watch({}, position.from() - 1, core::Duration(0));
        position.verified(batch);
        co_return fresh;
    }
    if (next == FollowStep::Watch) {
        ObjectBatch batch = co_await this->watch({}, position.from(), watchWait);
        position.watched(batch);
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
    position.listed(all);
    takeNew(all);
    co_return fresh;
}

template <Transport TransportType, Api ApiType>
asio::awaitable<void> Client<TransportType, ApiType>::follow(std::vector<std::string> kinds, std::function<void(std::vector<core::Object>)> take, std::function<void(bool)> up) requires MarkedApi<ApiType>
{
    FollowPosition position;
    Backoff backoff(this->options.backoff);
    std::optional<bool> wasUp;
    while (true) {
        std::optional<core::ErrorKind> failure;
        std::vector<core::Object> fresh;
        try {
            fresh = co_await this->step(position, kinds);
        } catch (const core::Error& error) {
            failure = error.kind();
        }
        if (failure == core::ErrorKind::HistoryGone)
            position.historyGone();
        else if (failure)
            position.failed();
        bool isUp = !failure || failure == core::ErrorKind::HistoryGone;
        if (up && wasUp != isUp)
            up(isUp);
        wasUp = isUp;
        if (!fresh.empty())
            take(std::move(fresh));
        if (!failure) {
            backoff.reset();
            continue;
        }
        // While the breaker is open there is no use in asking before its next probe.
        core::TimePoint now = this->transport.now();
        co_await this->transport.waitUntil(std::max(now + backoff.next(this->random), this->breaker.nextProbe().value_or(now)));
    }
}

}
