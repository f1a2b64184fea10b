#pragma once

#include "platform/store_api.h"
#include "store/client_impl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

// A client of the native store API with a mocked transport, and the answers of a store as text.
namespace cranberryshed::test {

// A mock transport whose clock advances only when the client waits.
struct MockTransport {
    MAKE_MOCK2(exchange, boost::asio::awaitable<store::HttpResponse>(store::HttpRequest, core::TimePoint));

    boost::asio::awaitable<void> waitUntil(core::TimePoint until)
    {
        this->time = std::max(this->time, until);
        co_return;
    }
    core::TimePoint now() const { return this->time; }

    core::TimePoint time { std::chrono::hours(1) };
};

using MockedClient = store::Client<MockTransport, platform::NativeObjectApi>;

inline boost::asio::awaitable<store::HttpResponse> ready(store::HttpResponse response)
{
    co_return response;
}

inline store::HttpResponse answeredWith(unsigned status, std::string body)
{
    return { .outcome = store::ExchangeOutcome::Answered, .status = status, .body = std::move(body) };
}

inline store::HttpResponse answeredInEra(std::uint64_t era, unsigned status, std::string body)
{
    return { .outcome = store::ExchangeOutcome::Answered, .status = status, .body = std::move(body), .era = std::to_string(era) };
}

inline const store::HttpResponse lost { .outcome = store::ExchangeOutcome::Lost, .status = 0, .body = {} };
inline const store::HttpResponse notSent { .outcome = store::ExchangeOutcome::NotSent, .status = 0, .body = {} };

struct StopWatching { };

template <typename Result>
Result run(boost::asio::awaitable<Result> call)
{
    boost::asio::io_context context;
    auto future = boost::asio::co_spawn(context, std::move(call), boost::asio::use_future);
    context.run();
    return future.get();
}

inline core::Object target(std::uint64_t revision, std::uint64_t version = 0)
{
    return { .kind = "target", .name = "clone", .version = { .revision = revision, .version = version }, .deleted = false, .content = "{}" };
}

// Returns the JSON text of an object in the store with this `spec` and version.
inline std::string objectText(const std::string& name, const boost::json::value& spec, std::uint64_t version)
{
    return boost::json::serialize(boost::json::object { { "metadata", boost::json::object { { "name", name }, { "revision", version } } }, { "spec", spec }, { "status", nullptr } });
}

inline std::string objectText(const store::StoredObject& stored)
{
    return objectText(platform::NativeObjectApi::qualifiedName(stored.object.kind, stored.object.name), boost::json::parse(platform::NativeObjectApi::encodeSpec(stored)), stored.object.version.version);
}

// Returns the JSON text of the object that the store holds after this PUT.
inline std::string objectAfterPut(const store::HttpRequest& request, std::uint64_t version)
{
    const boost::json::value body = boost::json::parse(request.body);
    return objectText(std::string(body.at("metadata").at("name").as_string()), body.at("spec"), version);
}

// Returns the JSON text of an object that another process has written.
inline std::string objectOfOtherWriter(std::uint64_t version)
{
    return objectText({ .object = target(9, version), .writeId = { .writer = "other", .nonce = "1" } });
}

inline std::string listResponse(std::uint64_t version, const std::vector<core::Object>& objects)
{
    boost::json::array items;
    for (const core::Object& object : objects)
        items.push_back(boost::json::parse(objectText({ .object = object, .writeId = {} })));
    return boost::json::serialize(boost::json::object { { "items", std::move(items) }, { "has_more", false }, { "at", version } });
}

inline std::string changesResponse(std::uint64_t version, const std::vector<core::Object>& objects)
{
    boost::json::array events;
    for (const core::Object& object : objects)
        events.push_back(boost::json::object { { "deleted", false }, { "object", boost::json::parse(objectText({ .object = object, .writeId = {} })) } });
    return boost::json::serialize(boost::json::object { { "events", std::move(events) }, { "at", version } });
}

}
