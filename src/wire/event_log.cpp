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

    // PIPE_BUF on Linux: a pipe that is ready accepts this many bytes without blocking. Longer lines are cut off.
    constexpr std::size_t maxLineBytes = 4096;

    // Lines that standard output could not accept.
    std::atomic<std::uint64_t> droppedLines = 0;

    bool outputIsReady()
    {
        pollfd output { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
        return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            spdlog::memory_buf_t line;
            this->formatter_->format(message, line);
            const std::size_t length = std::min<std::size_t>(line.size(), maxLineBytes);
            if (!outputIsReady() || ::write(STDOUT_FILENO, line.data(), length) < 0)
                ++droppedLines;
        }

        void flush_() override { }
    };

    // Token bucket that limits the lines of one event. It holds at most the lines of one second.
    struct TokenBucket {
        double tokens = 0;
        core::TimePoint refilledAt {};
        std::uint64_t dropped = 0; // lines left out since the previous line
    };

    struct RateLimiter {
        std::mutex mutex;
        std::array<std::array<TokenBucket, 2>, core::enumeratorCount<LogEvent>()> buckets {}; // [event][isFailure]
    };

    RateLimiter& rateLimiter()
    {
        static RateLimiter limiter;
        return limiter;
    }

    void appendField(std::string& line, std::string_view name, const json::value& value)
    {
        line += ",\"";
        line += name;
        line += "\":";
        line += json::serialize(value);
    }

    json::value jsonValue(const LogFieldValue& entry)
    {
        if (const auto* text = std::get_if<std::string_view>(&entry.value))
            return json::value(json::string_view(text->data(), text->size()));
        if (const auto* whole = std::get_if<std::int64_t>(&entry.value))
            return json::value(*whole);
        return json::value(std::get<double>(entry.value));
    }

    std::uint64_t takeDroppedCount(LogEvent event)
    {
        RateLimiter& limiter = rateLimiter();
        const std::scoped_lock lock(limiter.mutex);
        std::uint64_t sum = 0;
        for (TokenBucket& bucket : limiter.buckets[static_cast<std::size_t>(event)])
            sum += std::exchange(bucket.dropped, 0);
        return sum;
    }

}

LogFieldValue knowledgeAge(const std::optional<core::ConfigurationOrigin>& origin, core::TimePoint now)
{
    constexpr std::int64_t unknown = -1;
    const bool isKnown = origin && origin->confirmedAt;
    return { LogField::KnowledgeAgeMs, isKnown ? wholeMilliseconds(now - *origin->confirmedAt) : unknown };
}

bool tryAdmitEvent(LogEvent event, bool failure, core::TimePoint now)
{
    const EventRateLimits limits;
    const double limit = failure ? limits.maxFailuresPerSecond : limits.maxRoutinePerSecond;
    RateLimiter& limiter = rateLimiter();
    const std::scoped_lock lock(limiter.mutex);
    TokenBucket& bucket = limiter.buckets[static_cast<std::size_t>(event)][failure ? 1 : 0];
    const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
    bucket.tokens = std::min(limit, bucket.tokens + std::min(1.0, elapsed.count()) * limit);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.dropped;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void logEvent(LogEvent event, std::initializer_list<LogFieldValue> entries, std::span<const LogFieldValue> more)
{
    const std::shared_ptr<spdlog::logger> logger = spdlog::get(eventLogger);
    if (!logger)
        return;
    std::string line = fmt::format("{{\"unixMs\":{},\"event\":\"{}\"", wallNow().time_since_epoch().count(), core::nameOf(event));
    for (const LogFieldValue& entry : entries)
        appendField(line, core::nameOf(entry.field), jsonValue(entry));
    for (const LogFieldValue& entry : more)
        appendField(line, core::nameOf(entry.field), jsonValue(entry));
    const std::uint64_t dropped = takeDroppedCount(event) + droppedLines.exchange(0);
    if (dropped > 0)
        appendField(line, core::nameOf(LogField::Dropped), json::value(dropped));
    line += '}';
    logger->info(line);
}

void startEventLog()
{
    const auto sink = std::make_shared<NonBlockingSink>();
    auto text = std::make_shared<spdlog::logger>("text", sink);
    spdlog::set_default_logger(text);
    auto events = std::make_shared<spdlog::logger>(eventLogger, std::make_shared<NonBlockingSink>());
    events->set_pattern("%v");
    spdlog::drop(eventLogger);
    spdlog::register_logger(events);
}

}
