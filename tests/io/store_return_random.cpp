// Random writes, copies and returns of a store, against what its writers state last.

#include "seeds.h"
#include "store_return_fixture.h"
#include "watch_fleet.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace cranberryshed::testing;
using namespace std::chrono_literals;

// Guards against an order of writes, copies, returns and late calls after which a VM's knowledge differs from the store's,
// and against knowledge that goes back on the way there.
TEST_CASE("a watcher ends with the store's objects after random returns", "[store-return-watcher]")
{
    const std::string kind = GENERATE(configurations, servers, evacuations);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO(kind << ", seed " << seed);
        ReturningStore store({ .reportsRemovalsWithLastRevision = seed % 2 == 0 });
        Writers writers(store, kind, seed);
        Follower vm(store, kind);
        store.keepCopy();
        for (int step = 0; step < 120; ++step) {
            switch (writers.below(12)) {
            case 0:
                store.keepCopy();
                break;
            case 1:
                store.comeBack();
                break;
            case 2:
                vm.fail();
                break;
            case 3:
                store.writeOthers(static_cast<std::uint64_t>(writers.below(20)));
                break;
            case 4:
                vm.run(std::chrono::milliseconds(writers.below(4000)));
                break;
            case 5:
            case 6:
            case 7:
                writers.change();
                break;
            default:
                vm.poll();
                vm.now += std::chrono::milliseconds(writers.below(300));
            }
        }
        writers.writeAll();
        vm.run(15s);
        CHECK(vm.contents() == writers.contents());
        CHECK_FALSE(vm.hasTurnedBack());
    }
}

// Guards against members that hold different states for good, because they met returns, cuts and kills in another order.
TEST_CASE("a fleet ends with the store's objects after random returns and kills", "[store-return-fleet]")
{
    for (const int size : { 1, 2, 3, 6 }) {
        for (const unsigned seed : test::seedsOr({ 1, 2, 3, 4, 5, 6, 7, 8, 15, 64, 122, 243, 277, 393, 397, 531, 586 })) {
            INFO(size << " members, seed " << seed);
            WatchFleet fleet({ .size = size, .seed = seed, .store = { .reportsRemovalsWithLastRevision = seed % 2 == 0 }, .watchers = { watcherOptions(configurations), watcherOptions(servers), watcherOptions(evacuations) } });
            std::vector<Writers> writers;
            for (const auto kind : { configurations, servers, evacuations })
                writers.emplace_back(fleet.storeState(), kind, seed);
            Writers& random = writers.front();
            fleet.keepCopy();
            for (int step = 0; step < 40; ++step) {
                const int member = random.below(size);
                switch (random.below(10)) {
                case 0:
                    fleet.keepCopy();
                    break;
                case 1:
                    fleet.comeBack(std::chrono::milliseconds(random.below(2000)));
                    break;
                case 2:
                    fleet.cutFromStore(member);
                    break;
                case 3:
                    fleet.reconnectToStore(member);
                    break;
                case 4:
                    fleet.silence(member);
                    break;
                case 5:
                    if (size == 1)
                        break;
                    fleet.crash(member);
                    fleet.run(std::chrono::milliseconds(random.below(5000)));
                    fleet.start(member);
                    break;
                default:
                    writers[static_cast<std::size_t>(random.below(3))].change();
                }
                fleet.run(std::chrono::milliseconds(random.below(1500)));
            }
            for (int member = 0; member < size; ++member)
                fleet.reconnectToStore(member);
            for (Writers& kindWriters : writers)
                kindWriters.writeAll();
            for (const auto kind : { configurations, servers, evacuations }) {
                INFO(kind);
                CHECK(fleet.agreementTime(60s, kind).has_value());
            }
        }
    }
}
