// Random writes, copies and returns of a store, against what its writers state last.

#include "store_return_fixture.h"

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
