// Measures the calls per second of the store client and the store stand-in on one thread, and the cost of large
// declarations.

#include "decisions/bench.h"
#include "declare/parse.h"
#include "declare/serialize.h"
#include "platform/store_api.h"
#include "platform/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace cranberryshed::bench {

namespace {

    // Rates of the platform's store, in calls per second. A slower stand-in would limit the results of tests that use
    // it.
    constexpr double platformReads = 2000;
    constexpr double platformWrites = 500;

    struct StoreBench {
        explicit StoreBench(std::uint64_t seed)
            : standIn(this->context)
            , transport(this->context, this->standIn.endpoint())
            , client(this->transport, { .writer = "bench", .seed = seed, .rateLimit = { .callsPerSecond = 1e6, .burst = 1e6 } })
        {
        }

        // Runs `workers` coroutines until they have made `callCount` calls in total. Returns the calls per second.
        template <typename Call>
        double callsPerSecond(unsigned workers, unsigned callCount, const Call& call)
        {
            unsigned nextCall = 0;
            unsigned running = workers;
            auto worker = [&]() -> boost::asio::awaitable<void> {
                while (nextCall < callCount) {
                    unsigned number = nextCall++;
                    co_await call(number);
                }
                --running;
            };
            auto start = std::chrono::steady_clock::now();
            for (unsigned i = 0; i < workers; ++i)
                boost::asio::co_spawn(this->context, worker(), boost::asio::detached);
            for (std::size_t ran = 1; ran > 0 && running > 0;)
                ran = this->context.run_one();
            return callCount / std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        }

        boost::asio::io_context context;
        platform::StoreStandIn standIn;
        store::HttpTransport transport;
        platform::NativeStoreClient client;
    };

    core::Object object(const std::string& kind, unsigned number, std::string content)
    {
        return { .kind = kind, .name = std::to_string(number), .version = { .revision = 1, .version = 0 }, .deleted = false, .content = std::move(content) };
    }

    CaseResult rateResult(const std::string& name, double rate, double minRate)
    {
        CaseResult caseResult { .benchmark = "platform", .name = name, .metrics = { { "calls_per_s", rate } } };
        if (minRate > 0) {
            caseResult.target = "calls_per_s >= " + std::to_string(static_cast<int>(minRate));
            caseResult.isMet = rate >= minRate;
        }
        return caseResult;
    }

    double millisecondsOf(const auto& work)
    {
        auto start = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    }

    // Returns declarations of 32,768 caller address blocks: one object of about 0.6 MB.
    std::vector<core::Object> blocksObject()
    {
        core::Declarations declarations;
        for (std::uint32_t i = 0; i < 32'768; ++i)
            declarations.blocks.push_back({ .firstAddress = 0x0a000000U + (i << 8U), .prefixLength = 24, .site = "randers" });
        return declare::declarationObjects(declarations);
    }

}

void platformCalls(Report& report, std::uint64_t seed)
{
    StoreBench bench(seed);
    platform::NativeStoreClient& client = bench.client;
    std::string small = R"({"nearestDomains":["jyl-1","jyl-2"]})";
    report.add(rateResult("put, 1 at a time", bench.callsPerSecond(1, 5'000, [&](unsigned i) { return client.put(object("site", i, small), 0); }), platformWrites));
    report.add(rateResult("put, 16 at a time", bench.callsPerSecond(16, 10'000, [&](unsigned i) { return client.put(object("batch", i, small), 0); }), platformWrites));
    report.add(rateResult("get, 1 at a time", bench.callsPerSecond(1, 10'000, [&](unsigned i) { return client.get("site", std::to_string(i % 5'000)); }), platformReads));
    report.add(rateResult("get, 16 at a time", bench.callsPerSecond(16, 20'000, [&](unsigned i) { return client.get("site", std::to_string(i % 5'000)); }), platformReads));
    report.add(rateResult("list of 5,000", bench.callsPerSecond(1, 20, [&](unsigned) { return client.list("site"); }), 0));

    std::vector<core::Object> blocks = blocksObject();
    report.add(rateResult("put of blocks", bench.callsPerSecond(1, 40, [&](unsigned i) { return client.put(object("blocks", i, blocks.at(0).content), 0); }), 0));
    report.add(rateResult("get of blocks", bench.callsPerSecond(1, 100, [&](unsigned i) { return client.get("blocks", std::to_string(i % 40)); }), 0));
    double loadMs = millisecondsOf([&] { declare::parseDeclarations(blocks); });
    report.add({ .benchmark = "platform", .name = "load of blocks", .metrics = { { "bytes", static_cast<double>(blocks.at(0).content.size()) }, { "blocks", 32'768 }, { "ms", loadMs } } });
}

}
