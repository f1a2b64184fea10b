#include "decisions/bench.h"
#include "rig/engine_harness.h"

#include <chrono>

namespace cranberryshed::bench {

namespace {

    constexpr std::uint64_t requestCount = 300'000;

    // Time that the engine takes for one request with its answer, in nanoseconds. `records`: requests that have crashed
    // servers, none of which is among those that are measured.
    double nanosecondsPerRequest(request::CrashPolicy policy, std::uint64_t records)
    {
        rig::EngineHarness harness({ .servers = 250 }, {}, { .policy = policy });
        auto table = std::make_shared<core::SteeringTable>(*harness.table);
        for (std::uint64_t i = 0; i < records; ++i)
            table->crashRecords[UINT64_MAX - i] = { .count = 3, .lastAt = harness.now };
        harness.engine.setTable(table);
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t id = 1; id <= requestCount; ++id) {
            const auto sent = rig::findCommand<request::SendAttempt>(harness.arrive(id));
            harness.answer(*sent);
            harness.observations.clear();
        }
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / requestCount;
    }

}

// What it costs a request that crashes of other requests are counted.
void crashes(Report& report, std::uint64_t)
{
    constexpr std::uint64_t manyRecords = 1000;
    const double isolated = nanosecondsPerRequest(request::CrashPolicy::Isolate, 0);
    const double counted = nanosecondsPerRequest(request::CrashPolicy::Count, 0);
    const double withRecords = nanosecondsPerRequest(request::CrashPolicy::Count, manyRecords);
    report.add({ .benchmark = "crashes", .name = "request with its answer", .metrics = { { "isolate_ns", isolated }, { "count_ns", counted }, { "count_1000_records_ns", withRecords } } });
}

}
