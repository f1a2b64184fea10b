#include "app/crash_items.h"
#include "request/fingerprint.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

// Guards against VMs that read another number of crashes, or another time, than was published, and against an item of
// another program version, or a damaged one, that ends the process or counts as crashes.
TEST_CASE("the crashes of a request are read from an item as they were published", "[crash-items]")
{
    const core::TimePoint now { 1h };
    for (const unsigned count : { 1U, 2U, 3U, 70U }) {
        fleet::Item item = app::crashItem(core::Fingerprint { 0x2a7 }, count);
        CHECK(request::parseFingerprint(item.key) == core::Fingerprint { 0x2a7 });
        item.remaining -= 5s;
        const std::optional<core::CrashRecord> record = app::readCrashItem(item, now);
        REQUIRE(record);
        CHECK(record->count == count);
        CHECK(record->lastAt == now - 5s);
    }
    for (const char* content : { "", "0", "-1", "x", "99999999999999999999" })
        CHECK_FALSE(app::readCrashItem({ .kind = fleet::ItemKind::Crash, .remaining = 1s, .content = content }, now));
    CHECK(app::readCrashItem({ .kind = fleet::ItemKind::Crash, .remaining = 1h, .content = "2" }, now)->lastAt == now);
    CHECK(app::crashesForgottenItem(core::Fingerprint { 0x2a7 }).withdrawn);
    for (const char* key : { "", "x", "2a7 " })
        CHECK_FALSE(request::parseFingerprint(key));
}
