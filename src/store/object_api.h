#pragma once

#include "store/stored_object.h"
#include "store/transport.h"

namespace cranberryshed::store {

// Statuses of the store's answers.
constexpr unsigned httpOk = 200;
constexpr unsigned httpCreated = 201;
constexpr unsigned httpBadRequest = 400;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpConflict = 409;
constexpr unsigned httpGone = 410;
constexpr unsigned httpTooLarge = 413;
constexpr unsigned httpTooManyRequests = 429;
constexpr unsigned httpServerError = 500;
constexpr unsigned httpUnavailable = 503;

// A part of the objects of a kind.
struct ObjectPage {
    ObjectBatch batch;
    std::string continueAfter; // continue after this name; empty: nothing follows
};

// How calls to the store are written and its answers read. Readers throw core::Error (BadMessage).
template <typename Candidate>
concept ObjectApi = requires(const std::string& kind, const std::string& name, const std::string& text, std::uint64_t from, core::Duration wait)
{
    // Objects of a kind whose names follow `name`.
    {
        Candidate::makeListRequest(kind, name)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodePage(text, kind)
        } -> std::same_as<ObjectPage>;
    // Changes after a version of the store.
    {
        Candidate::makeWatchRequest(kind, from, wait)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodeChanges(text, kind)
        } -> std::same_as<ObjectBatch>;
    // An object that must not exist yet. `text` is its content.
    {
        Candidate::makeCreateRequest(kind, name, text)
        } -> std::same_as<HttpRequest>;
};

// An API whose objects carry the mark of the write that made them.
template <typename Candidate>
concept ConditionalWriteApi = ObjectApi<Candidate> && requires(const std::string& kind, const std::string& name, const std::string& text, const StoredObject& stored, std::uint64_t version)
{
    {
        Candidate::makeGetRequest(kind, name)
        } -> std::same_as<HttpRequest>;
    // Replaces the object if the store's version of it is this one; 0: creates it.
    {
        Candidate::makePutRequest(stored, version)
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodeObject(text)
        } -> std::same_as<StoredObject>;
    // The list of backend servers, as JSON text.
    {
        Candidate::makeServerListRequest()
        } -> std::same_as<HttpRequest>;
    {
        Candidate::decodeServerList(text)
        } -> std::same_as<std::string>;
};

}
