#include "app/health_poller.h"

#include "wire/clock.h"
#include "wire/endpoint.h"
#include "wire/header.h"

namespace cranberryshed::app {

namespace {

    namespace asio = wire::asio;
    namespace http = wire::http;
    namespace json = wire::json;
    using wire::Task;
    using wire::useResult;

    constexpr std::uint64_t answerLimit = 16 * 1024; // bytes

    std::uint64_t numberOf(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
    }

    bool flagOf(const json::object& object, const char* key, bool otherwise)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_bool() ? value->get_bool() : otherwise;
    }

    // A server that answers but states nothing is taken as healthy.
    control::HealthReport parseHealth(const std::string& server, const http::response<http::string_body>& response, core::TimePoint now)
    {
        control::HealthReport report { .server = server, .receivedAt = now, .healthy = response.result_int() == 200 };
        wire::error_code error;
        const json::value body = json::parse(response.body(), error);
        if (error || !body.is_object())
            return report;
        const json::object& fields = body.get_object();
        report.healthy = report.healthy && flagOf(fields, "healthy", true);
        report.leaving = flagOf(fields, "leaving", false);
        report.inFlight = static_cast<std::uint32_t>(numberOf(fields, "inFlight"));
        if (fields.contains("uptimeMs"))
            report.uptime = std::chrono::milliseconds(numberOf(fields, "uptimeMs"));
        return report;
    }

}

struct HealthPoller::PolledServer {
    PolledServer(asio::io_context& context, std::string serverName, std::string serverAddress)
        : name(std::move(serverName))
        , address(std::move(serverAddress))
        , stream(context.get_executor())
        , timer(context.get_executor())
    {
    }

    // Sends one request. Returns nothing if the server did not answer in time.
    Task<std::optional<control::HealthReport>> requestHealth(const Options& asked)
    {
        this->stream.expires_after(asked.timeout);
        if (!this->connected) {
            this->stream.close();
            this->buffer.clear();
            auto [error] = co_await this->stream.async_connect(wire::parseEndpoint(this->address), useResult);
            if (error)
                co_return std::nullopt;
            this->connected = true;
        }
        http::request<http::empty_body> request(http::verb::get, asked.path, 11);
        request.set(http::field::host, this->address);
        http::response_parser<http::string_body> parser;
        parser.body_limit(answerLimit);
        auto [writeError, written] = co_await http::async_write(this->stream, request, useResult);
        if (!writeError) {
            auto [readError, count] = co_await http::async_read(this->stream, this->buffer, parser, useResult);
            if (!readError) {
                this->connected = parser.keep_alive();
                co_return parseHealth(this->name, parser.get(), wire::steadyNow());
            }
        }
        this->connected = false;
        co_return std::nullopt;
    }

    std::string name;
    std::string address;
    wire::Stream stream;
    wire::Timer timer;
    wire::beast::flat_buffer buffer;
    bool connected = false;
    bool stopped = false;
};

HealthPoller::HealthPoller(asio::io_context& owner, Options pollerOptions, ReportCallback reportCallback)
    : context(owner)
    , options(std::move(pollerOptions))
    , onReport(std::move(reportCallback))
{
}

HealthPoller::~HealthPoller()
{
    this->setServers({});
}

void HealthPoller::setServers(const std::map<std::string, std::string>& wanted)
{
    std::erase_if(this->polledServers, [&](const auto& entry) {
        const auto found = wanted.find(entry.first);
        const bool keep = found != wanted.end() && found->second == entry.second->address;
        if (!keep) {
            entry.second->stopped = true;
            entry.second->timer.cancel();
            entry.second->stream.close();
        }
        return !keep;
    });
    for (const auto& [name, address] : wanted) {
        if (this->polledServers.contains(name))
            continue;
        const auto probe = std::make_shared<PolledServer>(this->context, name, address);
        this->polledServers.emplace(name, probe);
        asio::co_spawn(this->context, this->poll(probe), asio::detached);
    }
}

Task<void> HealthPoller::poll(std::shared_ptr<PolledServer> probe)
{
    while (!probe->stopped) {
        const std::optional<control::HealthReport> answer = co_await probe->requestHealth(this->options);
        if (probe->stopped)
            co_return;
        this->onReport(answer.value_or(control::HealthReport { .server = probe->name, .receivedAt = wire::steadyNow(), .healthy = false }));
        probe->timer.expires_after(this->options.interval);
        co_await probe->timer.async_wait(useResult);
    }
}

}
