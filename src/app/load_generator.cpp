#include "app/load_generator.h"

#include "wire/clock.h"

#include <fmt/format.h>
#include <random>

namespace cranberryshed::app {

namespace asio = wire::asio;
namespace json = boost::json;
using wire::Task;
using wire::useResult;

namespace {

    // One run of a load.
    class LoadRun {
    public:
        explicit LoadRun(const LoadOptions& loadOptions)
            : options(loadOptions)
            , caller(this->context, loadOptions.caller)
            , random(loadOptions.seed)
        {
            for (const RequestTemplate& requestTemplate : loadOptions.mix)
                this->weights.push_back(requestTemplate.weight);
        }

        LoadResult run()
        {
            this->start = wire::steadyNow();
            this->end = this->start + this->options.maxDuration;
            if (this->options.rate > 0)
                asio::co_spawn(this->context, this->openLoop(), asio::detached);
            else {
                for (std::uint32_t i = 0; i < this->options.maxConcurrentRequests; ++i)
                    asio::co_spawn(this->context, this->closedLoop(), asio::detached);
            }
            this->context.run();
            this->result.elapsed = wire::steadyNow() - this->start;
            return std::move(this->result);
        }

    private:
        bool shouldContinue() const { return this->startedCount < this->options.maxRequests && wire::steadyNow() < this->end; }

        Task<void> closedLoop()
        {
            while (this->shouldContinue())
                co_await this->sendOne();
        }

        Task<void> openLoop()
        {
            wire::Timer timer(this->context.get_executor());
            std::exponential_distribution<double> gap(this->options.rate);
            core::TimePoint next = this->start;
            while (this->shouldContinue()) {
                next += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gap(this->random)));
                timer.expires_at(next);
                co_await timer.async_wait(useResult);
                if (this->runningCount < this->options.maxConcurrentRequests)
                    asio::co_spawn(this->context, this->sendOne(), asio::detached);
                else
                    ++this->result.skipped;
            }
        }

        Task<void> sendOne()
        {
            ++this->runningCount;
            const std::uint64_t number = ++this->startedCount;
            const RequestTemplate& requestTemplate = this->options.mix[this->weights.size() == 1 ? 0 : this->pickTemplate()];
            LoadClassResult& counts = this->result.classes[requestTemplate.className];
            if (this->options.lookupsOnly) {
                const core::TimePoint before = wire::steadyNow();
                const bool answered = co_await this->caller.lookup(requestTemplate.className);
                this->record(counts, { .outcome = answered ? "200" : "failed", .elapsed = wire::steadyNow() - before, .answered = answered });
            } else {
                const RequestResult requestResult = co_await this->caller.send(requestTemplate, this->options.prefix + std::to_string(this->options.seed) + '-' + std::to_string(number));
                this->record(counts, requestResult);
            }
            --this->runningCount;
        }

        void record(LoadClassResult& counts, const RequestResult& requestResult)
        {
            ++this->result.count;
            ++counts.outcomes[requestResult.outcome];
            counts.mismatches += requestResult.mismatch ? 1 : 0;
            counts.retried += requestResult.tryCount > 1 ? 1 : 0;
            if (!requestResult.answered)
                return;
            ++counts.answered;
            counts.latency(std::chrono::duration<double>(requestResult.elapsed).count());
        }

        std::size_t pickTemplate()
        {
            std::discrete_distribution<std::size_t> distribution(this->weights.begin(), this->weights.end());
            return distribution(this->random);
        }

        LoadOptions options;
        asio::io_context context { 1 };
        Caller caller;
        core::RandomEngine random;
        std::vector<double> weights;
        LoadResult result;
        core::TimePoint start;
        core::TimePoint end;
        std::uint64_t startedCount = 0;
        std::uint32_t runningCount = 0;
    };

}

LoadResult runLoad(const LoadOptions& options)
{
    return LoadRun(options).run();
}

json::object loadJson(const LoadResult& result)
{
    json::object classes;
    for (const auto& [name, counts] : result.classes) {
        json::object outcomes;
        for (const auto& [outcome, count] : counts.outcomes)
            outcomes[outcome] = count;
        classes[name] = json::object {
            { "answered", counts.answered },
            { "p50Ms", wire::quantile(counts.latency, 0.5) * 1e3 },
            { "p90Ms", wire::quantile(counts.latency, 0.9) * 1e3 },
            { "p99Ms", wire::quantile(counts.latency, 0.99) * 1e3 },
            { "p999Ms", wire::quantile(counts.latency, 0.999) * 1e3 },
            { "mismatches", counts.mismatches },
            { "retried", counts.retried },
            { "outcomes", std::move(outcomes) },
        };
    }
    const double seconds = std::chrono::duration<double>(result.elapsed).count();
    return {
        { "seconds", seconds },
        { "count", result.count },
        { "perSecond", static_cast<double>(result.count) / seconds },
        { "skipped", result.skipped },
        { "classes", std::move(classes) },
    };
}

std::string loadTable(const LoadResult& result)
{
    std::string text = fmt::format("{:<22} {:>9} {:>9} {:>9} {:>9} {:>9}  {}\n", "class", "answered", "p50 ms", "p90 ms", "p99 ms", "mismatch", "outcomes");
    for (const auto& [name, counts] : result.classes) {
        std::string outcomes;
        for (const auto& [outcome, count] : counts.outcomes)
            outcomes += fmt::format("{}{}: {}", outcomes.empty() ? "" : ", ", outcome, count);
        text += fmt::format("{:<22} {:>9} {:>9.3f} {:>9.3f} {:>9.3f} {:>9}  {}\n", name, counts.answered, wire::quantile(counts.latency, 0.5) * 1e3,
            wire::quantile(counts.latency, 0.9) * 1e3, wire::quantile(counts.latency, 0.99) * 1e3, counts.mismatches, outcomes);
    }
    const double seconds = std::chrono::duration<double>(result.elapsed).count();
    text += fmt::format("{} requests in {:.2f} s, {:.0f}/s\n", result.count, seconds, static_cast<double>(result.count) / seconds);
    return text;
}

}
