#include "admin/blocking_admin_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <random>

namespace cranberryshed::admin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr core::Duration memberTimeout = std::chrono::seconds(2);

    // Higher than the rate of a member, because a command is short and is run by a single operator.
    constexpr store::RateLimiterOptions commandRate = { .callsPerSecond = 100, .burst = 100 };

    std::uint64_t randomBits()
    {
        std::random_device device;
        return static_cast<std::uint64_t>(device()) << 32 | device();
    }

    store::ClientOptions clientOptions(const Options& options)
    {
        std::uint64_t seed = randomBits();
        return {
            .writer = options.writer.empty() ? "command-" + std::to_string(seed) : options.writer,
            .seed = seed,
            .attemptTimeout = std::min<core::Duration>(options.storeTimeout, std::chrono::seconds(2)),
            .totalTimeout = options.storeTimeout,
            .backoff = {},
            .rateLimit = commandRate,
            // The total deadline limits the calls of a command. An open circuit breaker would end them earlier.
            .breaker = { .failuresToOpen = 1000, .probeBackoff = {} },
        };
    }

    // Returns the revision in the state dump of a member.
    std::optional<std::uint64_t> revisionOf(const store::HttpResponse& response)
    {
        if (response.outcome != store::ExchangeOutcome::Answered || response.status != 200)
            return std::nullopt;
        boost::system::error_code error;
        json::value dump = json::parse(response.body, error);
        const json::object* object = error ? nullptr : dump.if_object();
        const json::value* revision = object ? object->if_contains("configurationRevision") : nullptr;
        if (!revision || !revision->is_number())
            return std::nullopt;
        auto number = revision->to_number<std::uint64_t>(error);
        return error ? std::nullopt : std::optional(number);
    }

    asio::awaitable<void> requestRevision(asio::io_context& context, std::string member, std::optional<std::uint64_t>& answer)
    {
        store::HttpTransport transport(context, member);
        store::HttpRequest request { .method = store::HttpMethod::Get, .target = "/v1/dump", .body = {} };
        store::HttpResponse response = co_await transport.exchange(std::move(request), transport.now() + memberTimeout);
        answer = revisionOf(response);
    }

}

BlockingAdminClient::BlockingAdminClient(const Options& options)
    : transport(this->context, options.storeAddress, platform::eraField)
    , client(this->transport, clientOptions(options))
{
}

template <typename Result>
Result BlockingAdminClient::runToCompletion(asio::awaitable<Result> call)
{
    std::optional<Result> result;
    std::exception_ptr failure;
    asio::co_spawn(this->context, std::move(call), [&](const std::exception_ptr& error, Result value) {
        failure = error;
        result = std::move(value);
    });
    this->context.restart();
    this->context.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::move(*result);
}

store::ObjectBatch BlockingAdminClient::list(const std::string& kind)
{
    return this->runToCompletion(this->client.list(kind));
}

store::StoredObject BlockingAdminClient::get(const std::string& kind, const std::string& name)
{
    return this->runToCompletion(this->client.get(kind, name));
}

store::WriteResult BlockingAdminClient::put(const core::Object& object, std::uint64_t expectedVersion)
{
    return this->runToCompletion(this->client.put(object, expectedVersion));
}

core::ServerList BlockingAdminClient::serverList()
{
    return this->runToCompletion(this->client.fetchServerList());
}

std::map<std::string, std::optional<std::uint64_t>> BlockingAdminClient::revisionsInForce(const std::vector<std::string>& members)
{
    std::map<std::string, std::optional<std::uint64_t>> answers;
    for (const std::string& member : members)
        answers[member];
    for (auto& [member, answer] : answers)
        asio::co_spawn(this->context, requestRevision(this->context, member, answer), asio::detached);
    this->context.restart();
    this->context.run();
    return answers;
}

void BlockingAdminClient::waitUntil(core::TimePoint time)
{
    asio::co_spawn(this->context, this->transport.waitUntil(time), asio::detached);
    this->context.restart();
    this->context.run();
}

}
