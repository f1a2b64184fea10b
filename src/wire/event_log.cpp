#include "wire/event_log.h"

#include "wire/clock.h"

#include <atomic>
#include <boost/json.hpp>
#include <mutex>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace cranberryshed::wire {

namespace json = boost::json;

namespace {

    constexpr const char* eventLogger = "events";

    // A pipe that is ready takes this many bytes without blocking.
    constexpr std::size_t longestLine = 4096;

    // Lines that the output could not take.
    std::atomic<std::uint64_t> droppedLines = 0;

    bool outputIsReady()
    {
        pollfd output { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
        return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    class NonBlockingOutput : public spdlog::sinks::base_sink<std::mutex> {
    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            spdlog::memory_buf_t line;
            this->formatter_->format(message, line);
            const std::size_t length = std::min<std::size_t>(line.size(), longestLine);
            if (!outputIsReady() || ::write(STDOUT_FILENO, line.data(), length) < 0)
                ++droppedLines;
        }

        void flush_() override { }
    };

    // The lines that one event may write: a token bucket of one second's worth.
    struct EventBudget {
        double tokens = 0;
        core::TimePoint filledAt {};
        std::uint64_t dropped = 0; // since the last line
    };

    struct Budgets {
        std::mutex mutex;
        std::array<std::array<EventBudget, 2>, core::enumeratorCount<LogEvent>()> events {};
    };

    Budgets& budgets()
    {
        static Budgets all;
        return all;
    }

    void append(std::string& line, std::string_view name, const json::value& value)
    {
        line += ",\"";
        line += name;
        line += "\":";
        line += json::serialize(value);
    }

    json::value valueOf(const LogFieldValue& entry)
    {
        if (const auto* text = std::get_if<std::string_view>(&entry.value))
            return json::value(json::string_view(text->data(), text->size()));
        if (const auto* whole = std::get_if<std::int64_t>(&entry.value))
            return json::value(*whole);
        return json::value(std::get<double>(entry.value));
    }

    std::uint64_t takeDropped(LogEvent event)
    {
        Budgets& all = budgets();
        const std::scoped_lock lock(all.mutex);
        std::uint64_t sum = 0;
        for (EventBudget& budget : all.events[static_cast<std::size_t>(event)])
            sum += std::exchange(budget.dropped, 0);
        return sum;
    }

}

bool tryAdmitEvent(LogEvent event, bool failure, core::TimePoint now)
{
    const EventRateLimits limits;
    const double limit = failure ? limits.maxFailuresPerSecond : limits.maxRoutinePerSecond;
    Budgets& all = budgets();
    const std::scoped_lock lock(all.mutex);
    EventBudget& budget = all.events[static_cast<std::size_t>(event)][failure ? 1 : 0];
    const std::chrono::duration<double> passed = now - budget.filledAt;
    budget.tokens = std::min(limit, budget.tokens + std::min(1.0, passed.count()) * limit);
    budget.filledAt = now;
    if (budget.tokens < 1) {
        ++budget.dropped;
        return false;
    }
    budget.tokens -= 1;
    return true;
}

void logEvent(LogEvent event, std::initializer_list<LogFieldValue> entries)
{
    const std::shared_ptr<spdlog::logger> logger = spdlog::get(eventLogger);
    if (!logger)
        return;
    std::string line = fmt::format("{{\"unixMs\":{},\"event\":\"{}\"", wallNow().time_since_epoch().count(), core::nameOf(event));
    for (const LogFieldValue& entry : entries)
        append(line, core::nameOf(entry.field), valueOf(entry));
    const std::uint64_t dropped = takeDropped(event) + droppedLines.exchange(0);
    if (dropped > 0)
        append(line, core::nameOf(LogField::Dropped), json::value(dropped));
    line += '}';
    logger->info(line);
}

void startEventLog()
{
    const auto sink = std::make_shared<NonBlockingOutput>();
    auto text = std::make_shared<spdlog::logger>("text", sink);
    spdlog::set_default_logger(text);
    auto events = std::make_shared<spdlog::logger>(eventLogger, std::make_shared<NonBlockingOutput>());
    events->set_pattern("%v");
    spdlog::drop(eventLogger);
    spdlog::register_logger(events);
}

}
