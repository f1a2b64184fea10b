#include "request/state.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint start { 1h };

}

// Guards against retries that amplify an overload: the extra attempts of all entry VMs together are bounded in every
// window.
TEST_CASE("extra attempts stay within this entry VM's share of the bound", "[retry-allowance]")
{
    const request::RetryAllowance::Options options { .share = 0.2, .slack = 56, .usedFraction = 1 };
    request::RetryAllowance allowance;
    constexpr std::size_t members = 8;
    core::TimePoint now = start;
    int extra = 0;
    for (int i = 0; i < 400; ++i) {
        now += 25ms;
        allowance.countRequest(options, now);
        extra += allowance.trySpend(options, members, now) ? 1 : 0;
    }
    CHECK(extra <= 0.2 * 400 + 56.0 / members + 1);
    CHECK(extra >= 70);
    // After a window without requests, only this entry VM's share of the slack is available.
    now += 20s;
    int later = 0;
    for (int i = 0; i < 100; ++i)
        later += allowance.trySpend(options, members, now) ? 1 : 0;
    CHECK(later == 7);
}

// Guards against a window that ends too early: with the whole allowance taken at the end of one bucket and again when
// that bucket has just left the window, a span of the window's length contains twice the allowance.
TEST_CASE("extra attempts stay within the bound in any span of a window's length", "[retry-allowance]")
{
    const request::RetryAllowance::Options options { .share = 0.2, .slack = 56, .usedFraction = 1 };
    request::RetryAllowance allowance;
    const auto spendAll = [&](core::TimePoint now) {
        int extra = 0;
        while (allowance.trySpend(options, 8, now))
            ++extra;
        return extra;
    };
    CHECK(spendAll(start + 950ms) == 7);
    for (core::Duration passed = 1s; passed < options.window; passed += 50ms)
        CHECK(spendAll(start + 950ms + passed) == 0);
    CHECK(spendAll(start + 950ms + options.window + 1s) == 7);
}

// Guards against traffic threads that each take the whole part of their entry VM.
TEST_CASE("the traffic threads of a process share its part of the slack", "[retry-allowance]")
{
    const request::RetryAllowance::Options options { .share = 0.2, .slack = 64, .usedFraction = 1, .threads = 4 };
    request::RetryAllowance allowance;
    int extra = 0;
    while (allowance.trySpend(options, 8, start))
        ++extra;
    CHECK(extra == 2);
}

// Guards against retries that wait for a slot: taken from one window but sent in the next one, they add to its own.
TEST_CASE("an extra attempt counts when it is sent", "[retry-allowance]")
{
    const request::RetryAllowance::Options options { .share = 0.2, .slack = 8, .usedFraction = 1 };
    request::RetryAllowance allowance;
    REQUIRE(allowance.trySpend(options, 8, start));
    REQUIRE_FALSE(allowance.trySpend(options, 8, start));
    allowance.recordSent(options, start, start + 3s);
    CHECK_FALSE(allowance.trySpend(options, 8, start + 12s));
    CHECK(allowance.trySpend(options, 8, start + 14s));
}

// Guards against a process that spends a VM's part of the slack again which the process before it has just spent, and
// against one that can't retry at all at first, so that its callers are refused although another server is free.
TEST_CASE("in its first window a process has what its predecessor can't have spent", "[retry-allowance]")
{
    const request::RetryAllowance::Options options { .share = 0.2, .slack = 50, .usedFraction = 0.7 };
    const auto spendAll = [&](core::TimePoint startedAt, core::TimePoint now) {
        request::RetryAllowance allowance;
        int extra = 0;
        while (allowance.trySpend(options, 1, now, startedAt))
            ++extra;
        return extra;
    };
    CHECK(spendAll(start - 1min, start) == 35);
    CHECK(spendAll(start, start + 1s) == 15);
}

// Guards against the whole slack in each of several entry VMs: after a start, when a VM can't know yet how many others
// there are or what its last process has spent, and while it takes others for dead.
TEST_CASE("an entry VM has a part of the slack only while it knows how many share it", "[retry-allowance]")
{
    constexpr std::uint32_t fleetSize = 8;
    const request::EngineOptions options { .retryAllowance = { .share = 0.2, .slack = 56, .usedFraction = 1 } };
    request::State state(options, request::makeSharedState("vm", core::Incarnation { 1 }, 1), 1);
    auto table = std::make_shared<core::SteeringTable>();
    const core::ClassEntry entry { .name = "lookup", .service = "ledger" };
    request::Commands commands;
    request::Observations observations;
    const auto spendAll = [&](core::TimePoint now) {
        state.setTable(table);
        state.beginEvent(now, commands, observations);
        unsigned extra = 0;
        while (extra < 1000 && state.trySpendRetry(state.classStateOf(entry), now))
            ++extra;
        return extra;
    };
    table->members = { { .name = "vm" } };
    CHECK(spendAll(start) == 0);
    CHECK(spendAll(start + 11s) == 0); // it still knows nobody
    table->fleetSize = fleetSize;
    CHECK(spendAll(start + 12s) == 56 / fleetSize);
    for (int i = 0; i < 7; ++i)
        table->members.push_back({ .name = "lost", .state = core::MemberState::Dead });
    CHECK(spendAll(start + 40s) == 56 / fleetSize);
}
