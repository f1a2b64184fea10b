#pragma once

#include "store/stored_object.h"
#include "store/transport.h"

#include <cstdint>

namespace cranberryshed::store {

// HTTP status codes of the store.
constexpr unsigned httpOk = 200;
constexpr unsigned httpCreated = 201;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpConflict = 409;
constexpr unsigned httpGone = 410;
constexpr unsigned httpTooManyRequests = 429;
constexpr unsigned httpServerError = 500;
constexpr unsigned httpUnavailable = 503;

// Which state a list shows. A stale list is cheaper for the store and can be some seconds old.
enum class Consistency : std::uint8_t { Linearizable,
    Stale };

// One page of a list of the objects of a kind.
struct ObjectPage {
    ObjectBatch batch;
    std::string continueAfter; // the next page starts after this name; empty: this is the last page
};

// An interface of the store: encodes requests and decodes the bodies of responses. The decode functions throw
// core::Error (BadMessage).
template <typename Candidate>
concept ObjectApi = requires(const std::string& kind, const std::string& name, const std::string& text, std::uint64_t era, std::uint64_t fromVersion, core::Duration wait)
{
    // Lists the objects of a kind whose names come after `name`.
    {
        Candidate::makeListRequest(kind, name, Consistency::Linearizable)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodePage(text, kind, era)
        } -> std::same_as<ObjectPage>;
    // Waits at most `wait` for changes after store version `fromVersion`.
    {
        Candidate::makeWatchRequest(kind, fromVersion, wait)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodeChanges(text, kind, era)
        } -> std::same_as<ObjectBatch>;
    // Creates an object with the content `text`. It must not exist yet.
    {
        Candidate::makeCreateRequest(kind, name, text)
        } -> std::same_as<HttpRequest>;
};

// An object API with conditional writes, whose objects carry the id of the write that made them.
template <typename Candidate>
concept ConditionalWriteApi = ObjectApi<Candidate> && requires(const std::string& kind, const std::string& name, const std::string& text, const StoredObject& stored, std::uint64_t ifVersion)
{
    {
        Candidate::makeGetRequest(kind, name)
        } -> std::same_as<HttpRequest>;
    // Replaces the object if the store holds it in version `ifVersion`; 0: creates it.
    {
        Candidate::makePutRequest(stored, ifVersion)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodeObject(text)
        } -> std::same_as<StoredObject>;
    {
        Candidate::makeServerListRequest()
        } -> std::same_as<HttpRequest>;
    {
        // Returns the list of backend servers as JSON text.
        Candidate::decodeServerList(text)
        } -> std::same_as<std::string>;
};

}
