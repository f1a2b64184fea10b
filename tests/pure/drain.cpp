#include "support/steering_model.h"

#include <catch2/catch.hpp>

namespace core = cranberryshed::core;
namespace control = cranberryshed::control;
using namespace std::chrono_literals;

namespace {

constexpr double cap = 0.1; // share of a class's traffic per minute
constexpr int entryVms = 9;
const core::WallTime contractEnd = core::WallTime(std::chrono::hours(500000));

// A context as MergeSources and EvaluateHealthAndLoad return it: 24 servers of one region, a third in each of three
// batches. The demand takes `demandShare` of the 72 slots.
control::Context makeContext(double demandShare)
{
    auto declarations = std::make_shared<core::Declarations>();
    declarations->regions = { { .name = "r", .links = {} } };
    declarations->domains = { { .name = "r-0", .region = "r" } };
    declarations->classes = { { .name = "stock", .host = {}, .methods = {}, .pathPrefix = {}, .service = "ledger", .deadline = 60s } };
    declarations->targets = { { .className = "stock", .headroom = 0.2, .allowedRegions = {}, .maxShiftPerMinute = cap } };
    declarations->batches = { { .name = "old", .service = "ledger", .contractEnd = contractEnd, .replacement = {} }, { .name = "mid", .service = "ledger", .replacement = {} }, { .name = "new", .service = "ledger", .replacement = {} } };
    control::Context context { .inputs = { .declarations = declarations } };
    for (int i = 0; i < 24; ++i) {
        const char* batch = i % 3 == 0 ? "old" : i % 3 == 1 ? "mid"
                                                            : "new";
        context.servers.push_back({ .listing = { .name = "s" + std::to_string(i), .address = {}, .service = "ledger", .batch = batch, .domain = "r-0" } });
    }
    context.demand = { { { .requestsPerSecond = demandShare * 72 * 100, .slots = demandShare * 72, .confidence = 1 } } };
    return context;
}

core::Declarations& edit(control::Context& context)
{
    auto copy = std::make_shared<core::Declarations>(context.declarations());
    context.inputs.declarations = copy;
    return *copy;
}

// Runs the drain filter of one entry VM once and returns the resulting context.
control::Context run(control::PlanDrains& plan, control::Context context, core::WallTime wallTime, core::TimePoint now)
{
    context.inputs.wallTime = wallTime;
    control::computeServiceLoads(context);
    return plan(std::move(context), now).output();
}

double shareOf(const control::Context& context, const std::string& batch)
{
    const auto found = std::ranges::find(context.drains, batch, &control::DrainReport::batch);
    return found == context.drains.end() ? 1 : found->share;
}

// The largest change within any minute of a history with one value per second.
double largestMinute(const std::vector<double>& history)
{
    double largest = 0;
    for (std::size_t i = 0; i < history.size(); ++i) {
        for (std::size_t j = i; j < std::min(history.size(), i + 61); ++j)
            largest = std::max(largest, std::abs(history[i] - history[j]));
    }
    return largest;
}

core::TimePoint timeAt(int second) { return core::TimePoint(1h) + std::chrono::seconds(second); }

}

// Guards against a target share that differs between entry VMs because it depends on more than declaration and time.
TEST_CASE("the target share falls linearly before the contract end", "[drain]")
{
    const control::Context context = makeContext(0.4);
    const core::BatchDeclaration& batch = context.declarations().batches[0];
    const control::DrainLimits limits = control::drainLimitsOf(context.declarations(), batch);
    const control::DrainWindow window = control::drainWindowOf(batch, limits);
    CHECK(limits.maxShiftPerMinute == cap);
    CHECK(window.finish == contractEnd - 60s - 2min);
    CHECK(std::chrono::duration<double>(window.finish - window.start).count() == Approx(750)); // 1 / (0.8 * 0.1) min
    CHECK(control::drainTargetShare(window, window.start - 1s) == 1);
    CHECK(control::drainTargetShare(window, window.start + 375s) == Approx(0.5));
    CHECK(control::drainTargetShare(window, window.finish) == 0);
}

// Guards against a drain that moves more than the cap within a minute, summed over all entry VMs. This comes about if
// entry VMs restart, miss runs, or have different clocks and declarations.
TEST_CASE("a drain ends in time with every step under the cap", "[drain]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        core::RandomEngine random(seed);
        const control::Context context = makeContext(0.4);
        std::vector<control::PlanDrains> plans(entryVms);
        std::vector<int> skew;
        std::vector<int> learned;
        for (int i = 0; i < entryVms; ++i) {
            skew.push_back(static_cast<int>(random() % 5) - 2);
            learned.push_back(static_cast<int>(random() % 30));
        }
        std::vector<double> sum;
        std::vector<double> last(entryVms, 1);
        const core::WallTime begin = contractEnd - 20min;
        control::Context unaware = context;
        edit(unaware).batches[0].contractEnd = {};
        for (int second = 0; second < 1139; ++second) {
            double moved = 0;
            for (int i = 0; i < entryVms; ++i) {
                if (random() % 400 == 0)
                    plans[i] = control::PlanDrains {};
                // After a missed run the last table stays in force.
                if (random() % 5 != 0)
                    last[i] = shareOf(run(plans[i], second < learned[i] ? unaware : context, begin + std::chrono::seconds(second + skew[i]), timeAt(second)), "old");
                moved += last[i] / entryVms;
            }
            // The batch has a third of the slots, so it carries a third of the traffic.
            sum.push_back(moved / 3);
        }
        INFO("seed " << seed);
        CHECK(largestMinute(sum) <= cap);
        CHECK(sum.back() == 0);
    }
}

// Guards against a drain that exceeds the cap because its contract end was declared too late to drain within the cap,
// and against a missed contract end that is not reported.
TEST_CASE("a drain that is declared too late keeps the cap and is reported", "[drain]")
{
    control::Context context = makeContext(0.4);
    const core::WallTime begin = contractEnd - 5min;
    edit(context).batches[0].declaredAt = begin;
    control::PlanDrains plan;
    std::vector<double> shares;
    bool late = false;
    for (int second = 0; second < 299; ++second) {
        const control::Context after = run(plan, context, begin + std::chrono::seconds(second), timeAt(second));
        shares.push_back(shareOf(after, "old") * 2 / 3); // at one entry VM, at most twice its share of the slots
        late |= after.drains[0].state == control::DrainState::Late;
        if (second == 100) {
            // An entry VM that starts now uses the share of the others, not the target share.
            control::PlanDrains restarted;
            CHECK(shareOf(run(restarted, context, begin + 100s, timeAt(100)), "old") == Approx(shareOf(after, "old")).margin(0.02));
        }
    }
    CHECK(late);
    CHECK(largestMinute(shares) <= cap + 1e-9);
    CHECK(shares.back() < 0.3);
    CHECK(shareOf(run(plan, context, contractEnd, timeAt(300)), "old") == 0);
}

// Guards against a drain that moves traffic to cold servers, which overloads them, and against one that stays blocked
// after they are warm. Here the replacement starts its warm-up in the middle of the drain.
TEST_CASE("a drain waits for the replacement's warm-up", "[drain]")
{
    control::Context context = makeContext(0.5);
    const core::WallTime begin = contractEnd - 20min;
    control::PlanDrains plan;
    double worst = 0;
    bool blocked = false;
    double share = 1;
    for (int second = 0; second < 1139; ++second) {
        for (control::BackendServer& server : context.servers) {
            if (server.listing.batch == "new")
                server.warmth = control::warmthAfter(std::chrono::seconds(second - 600), 2min);
        }
        const control::Context after = run(plan, context, begin + std::chrono::seconds(second), timeAt(second));
        const control::ServiceLoad& load = after.services.at("ledger")[0];
        if (shareOf(after, "old") < share)
            worst = std::max(worst, load.demandSlots / load.slots);
        share = shareOf(after, "old");
        blocked |= after.drains[0].state == control::DrainState::Blocked;
    }
    CHECK(blocked);
    CHECK(worst <= 0.8 + 1e-6);
    CHECK(share == 0);
}

// Guards against a drain that ends too late although the remaining servers could take the traffic within their
// headroom, and against one that overloads them to end in time.
TEST_CASE("an urgent drain uses the headroom but keeps five percent of the slots free", "[drain]")
{
    for (const double demandShare : { 0.6, 0.7 }) {
        const control::Context context = makeContext(demandShare);
        control::PlanDrains plan;
        control::Context after;
        for (int second = 0; second < 1139; ++second) {
            after = run(plan, context, contractEnd - 20min + std::chrono::seconds(second), timeAt(second));
            const control::ServiceLoad& load = after.services.at("ledger")[0];
            CHECK(load.demandSlots <= 0.95 * load.slots + 1e-6);
        }
        CHECK((shareOf(after, "old") == 0) == (demandShare == 0.6));
        CHECK((after.drains[0].state == control::DrainState::Late) == (demandShare == 0.7));
    }
}

// Guards against two overlapping drains that each use the whole cap of a class and together exceed it.
TEST_CASE("drains of one service share the cap", "[drain]")
{
    control::Context context = makeContext(0.2);
    edit(context).batches[1].contractEnd = contractEnd + 3min;
    control::PlanDrains plan;
    const core::WallTime begin = contractEnd - 40min;
    std::vector<double> moved;
    for (int second = 0; second < 2460; ++second) {
        const control::Context after = run(plan, context, begin + std::chrono::seconds(second), timeAt(second));
        moved.push_back((shareOf(after, "old") + shareOf(after, "mid")) / 3);
    }
    CHECK(largestMinute(moved) <= cap);
    CHECK(moved.back() == 0);
}

// Guards against a process that makes up for a pause in one step and thereby exceeds the cap.
TEST_CASE("a step after a pause keeps the cap", "[drain]")
{
    const control::Context context = makeContext(0.4);
    control::PlanDrains plan;
    const core::WallTime begin = contractEnd - 16min;
    const double before = shareOf(run(plan, context, begin, timeAt(0)), "old");
    const double after = shareOf(run(plan, context, begin + 10min, timeAt(600)), "old");
    CHECK(before - after <= cap / 60 * 2 * 1.5 + 1e-9);
}

// Guards against new requests to a batch whose drain ended, and against requests that the contract end cuts off.
TEST_CASE("a drained batch is leaving before the contract end can cut off its longest request", "[drain]")
{
    control::PlanDrains plan;
    const control::Context context = makeContext(0.4);
    const control::Context after = run(plan, context, contractEnd - 61s, timeAt(0));
    CHECK(after.drains[0].state == control::DrainState::Drained);
    for (const control::BackendServer& server : after.servers) {
        CHECK((server.state == core::ServerState::Leaving) == (server.listing.batch == "old"));
        CHECK((server.warmth == 0) == (server.listing.batch == "old"));
    }
}

// Guards against a new batch that takes over its whole share within its warm-up of two minutes, which exceeds the cap,
// and against new servers whose share is limited although the region needs their capacity.
TEST_CASE("a new batch takes traffic under the cap unless it is needed", "[drain]")
{
    for (const double demandShare : { 0.4, 0.65 }) {
        control::Context context = makeContext(demandShare);
        control::PlanWarmUps plan;
        std::vector<double> shares;
        int full = -1;
        for (int second = 0; second < 1200; ++second) {
            for (control::BackendServer& server : context.servers) {
                if (server.listing.batch != "new")
                    continue;
                server.warmth = control::warmthAfter(std::chrono::seconds(second), 2min);
                server.isSlowStarting = server.warmth < 1;
                server.state = server.isSlowStarting ? core::ServerState::Warming : core::ServerState::Active;
            }
            control::Context input = context;
            control::computeServiceLoads(input);
            const control::Context after = plan(std::move(input), timeAt(second)).output();
            double batch = 0;
            for (const control::BackendServer& server : after.servers)
                batch += server.listing.batch == "new" ? server.warmth * server.listing.slots : 0;
            shares.push_back(batch / after.services.at("ledger")[0].slots);
            if (full < 0 && batch == 24)
                full = second;
        }
        INFO("demand share " << demandShare);
        CHECK(full > 0);
        if (demandShare == 0.4)
            CHECK(largestMinute(shares) <= control::maxWarmUpShareOfCap * cap);
        else
            CHECK(full <= 120 + 400);
    }
}
