#include "decisions/bench.h"
#include "request/queue.h"

#include <chrono>

namespace cranberryshed::bench {

namespace {

    constexpr std::uint32_t rounds = 200'000;

    // Cost of one offer and one next at a queue of this length.
    double queueNanoseconds(std::uint32_t length, std::uint64_t seed)
    {
        core::RandomEngine random(seed);
        request::WaitQueue queue({});
        core::TimePoint now {};
        const auto offer = [&](std::uint64_t id) {
            queue.offer({ .request = core::RequestId { id }, .pool = 1, .classKey = random() % 4, .caller = core::CallerAddress { static_cast<std::uint32_t>(random() % 50) }, .arrival = now, .deadline = now + std::chrono::seconds(1), .serviceTime = std::chrono::milliseconds(5) },
                30, now);
        };
        for (std::uint32_t i = 0; i < length; ++i)
            offer(i);
        const auto start = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < rounds; ++i) {
            now += core::Duration(100);
            queue.next(now, [](const request::WaitingRequest&) { return true; });
            offer(length + i);
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        return elapsed.count() / rounds;
    }

}

void admission(Report& report, std::uint64_t seed)
{
    for (std::uint32_t length : { 10U, 100U, 1000U })
        report.add({ .bench = "admission", .name = "queue cost, length " + std::to_string(length), .figures = { { "ns", queueNanoseconds(length, seed) } }, .target = {} });
}

}
