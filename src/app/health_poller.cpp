#include "app/health_poller.h"

#include "net/answer_parser.h"
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

    constexpr std::uint64_t maxResponseBytes = 16 * 1024;

    std::uint64_t numberField(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
    }

    bool boolField(const json::object& object, const char* key, bool defaultValue)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_bool() ? value->get_bool() : defaultValue;
    }

    // A server whose answer has status 200 and no `healthy` field counts as healthy.
    control::HealthReport parseHealth(const std::string& server, const http::response<http::string_body>& response, core::TimePoint now)
    {
        control::HealthReport report { .server = server, .receivedAt = now, .healthy = response.result_int() == 200 };
        wire::error_code error;
        const json::value body = json::parse(response.body(), error);
        if (error || !body.is_object())
            return report;
        const json::object& fields = body.get_object();
        report.healthy = report.healthy && boolField(fields, "healthy", true);
        report.leaving = boolField(fields, "leaving", false);
        report.inFlight = static_cast<std::uint32_t>(numberField(fields, "inFlight"));
        if (fields.contains("uptimeMs"))
            report.uptime = std::chrono::milliseconds(numberField(fields, "uptimeMs"));
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

    // Sends one health request. Returns nothing if the server does not answer within the timeout.
    Task<std::optional<control::HealthReport>> requestHealth(const Options& pollerOptions)
    {
        this->stream.expires_after(pollerOptions.timeout);
        if (!this->connected) {
            this->stream.close();
            this->buffer.clear();
            auto [error] = co_await this->stream.async_connect(wire::parseEndpoint(this->address), useResult);
            if (error)
                co_return std::nullopt;
            this->connected = true;
        }
        http::request<http::empty_body> request(http::verb::get, pollerOptions.path, 11);
        request.set(http::field::host, this->address);
        std::optional<net::AnswerParser<http::string_body>> parser;
        auto [writeError, written] = co_await http::async_write(this->stream, request, useResult);
        if (!writeError) {
            const wire::error_code readError = co_await net::readAnswer(this->stream, this->buffer, parser, maxResponseBytes);
            if (!readError) {
                this->connected = parser->keep_alive();
                co_return parseHealth(this->name, parser->get(), wire::steadyNow());
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
        const auto polled = std::make_shared<PolledServer>(this->context, name, address);
        this->polledServers.emplace(name, polled);
        asio::co_spawn(this->context, this->poll(polled), asio::detached);
    }
}

Task<void> HealthPoller::poll(std::shared_ptr<PolledServer> polled)
{
    while (!polled->stopped) {
        const std::optional<control::HealthReport> answer = co_await polled->requestHealth(this->options);
        if (polled->stopped)
            co_return;
        this->onReport(answer.value_or(control::HealthReport { .server = polled->name, .receivedAt = wire::steadyNow(), .healthy = false }));
        polled->timer.expires_after(this->options.interval);
        co_await polled->timer.async_wait(useResult);
    }
}

}
