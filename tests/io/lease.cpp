#include "store/lease.h"

#include "platform/store_standin.h"

#include <catch2/catch.hpp>
#include <random>

namespace core = cranberryshed::core;
namespace platform = cranberryshed::platform;
namespace store = cranberryshed::store;
using namespace std::chrono_literals;
using store::LeaseStep;

namespace {

constexpr core::TimePoint start { 1h };

// Returns an object with a new write id, as the client makes it. The store takes a write with equal content for no
// change, so without a write id it would not assign a new version.
store::StoredObject object(const std::string& kind, const std::string& name, const std::string& content)
{
    static std::uint64_t writeCount = 0;
    return { .object = { .kind = kind, .name = name, .version = {}, .deleted = false, .content = content }, .writeId = { .writer = "test", .nonce = std::to_string(++writeCount) } };
}

// A process that competes for the lease to write the status object.
struct Writer {
    explicit Writer(const std::string& writerName)
        : name(writerName)
        , lease({ .holder = writerName, .duration = 30s, .renewInterval = 10s })
    {
    }

    // Makes the next step of the lease. The call to the store takes no time.
    void advanceLease(platform::InMemoryStore& store, core::TimePoint now)
    {
        LeaseStep step = this->lease.nextStep(now);
        if (step == LeaseStep::Read)
            this->lease.recordRead(platform::findNativeObject(store, "lease", "status"), now);
        else if (step == LeaseStep::Write)
            this->lease.recordWrite(platform::putNativeObject(store, object("lease", "status", this->lease.content()), this->lease.ifVersion()), now, now);
    }

    // Starts a status write. Returns the version on whose condition it will be sent, or nothing if this process does
    // not hold the lease.
    std::optional<std::uint64_t> startWrite(const platform::InMemoryStore& store, core::TimePoint now)
    {
        if (!this->lease.isHeld(now))
            return std::nullopt;
        std::optional<std::uint64_t> condition = this->writes.ifVersion(this->lease.term());
        if (!condition) {
            this->writes.recordRead(this->lease.term(), platform::findNativeObject(store, "status", "fleet").object.version.version);
            condition = this->writes.ifVersion(this->lease.term());
        }
        return condition;
    }

    // Sends the status write and returns whether it took effect.
    bool sendWrite(platform::InMemoryStore& store, std::uint64_t condition)
    {
        store::WriteResult result = platform::putNativeObject(store, object("status", "fleet", '"' + this->name + '"'), condition);
        this->writes.recordWrite(this->lease.term(), result);
        return result.written;
    }

    std::string name;
    store::Lease lease;
    store::FencedWrites writes;
};

}

// Guards against two status writers at a time, and against a job that no process takes over after its holder has
// stopped renewing the lease.
TEST_CASE("a lease is acquired, renewed and taken over after it has expired", "[lease]")
{
    platform::InMemoryStore store;
    Writer first("first");
    Writer second("second");
    for (core::TimePoint now = start; now < start + 60s; now += 1s) {
        first.advanceLease(store, now);
        first.advanceLease(store, now);
        second.advanceLease(store, now);
        CHECK_FALSE(second.lease.isHeld(now));
    }
    CHECK(first.lease.isHeld(start + 59s));
    CHECK(first.lease.term() == 1);
    core::TimePoint now = start + 60s;
    while (!second.lease.isHeld(now) && now < start + 120s) {
        now += 1s;
        second.advanceLease(store, now);
    }
    CHECK(second.lease.isHeld(now));
    CHECK_FALSE(first.lease.isHeld(now));
    CHECK(now - start < 91s);
}

// Guards against a holder that is paused in the middle of a write and, when it resumes, overwrites the status of its
// successor.
TEST_CASE("the writes of a paused holder have no effect after it resumes", "[lease]")
{
    platform::InMemoryStore store;
    Writer first("first");
    Writer second("second");
    first.advanceLease(store, start);
    first.advanceLease(store, start);
    std::optional<std::uint64_t> pending = first.startWrite(store, start);
    REQUIRE(pending);
    // During the pause, the second process takes over and writes.
    core::TimePoint now = start;
    for (; !second.lease.isHeld(now); now += 1s)
        second.advanceLease(store, now);
    std::optional<std::uint64_t> ownWrite = second.startWrite(store, now);
    REQUIRE(ownWrite);
    CHECK(second.sendWrite(store, *ownWrite));

    CHECK_FALSE(first.sendWrite(store, *pending)); // started before the pause
    CHECK(platform::findNativeObject(store, "status", "fleet").object.content == "\"second\"");
    CHECK_FALSE(first.startWrite(store, now)); // by its own clock, it no longer holds the lease
    // A renewal of the lease would fail, too, since the version has changed.
    CHECK_FALSE(platform::putNativeObject(store, object("lease", "status", first.lease.content()), first.lease.ifVersion()).written);
    first.advanceLease(store, now);
    CHECK_FALSE(first.lease.isHeld(now));
}

// Guards against two holders at the same time, for any order of pauses and failed calls, and against a status write
// that a former holder started before a pause and that takes effect after its successor's first write.
TEST_CASE("at most one process holds the lease despite pauses and failed calls", "[lease]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        core::RandomEngine random(seed);
        platform::InMemoryStore store;
        std::vector<Writer> writers { Writer("a"), Writer("b"), Writer("c") };
        std::vector<core::TimePoint> pausedUntil(writers.size(), start);
        std::vector<std::optional<std::uint64_t>> pending(writers.size());
        std::size_t lastWriter = 0;
        unsigned terms = 0;
        for (core::TimePoint now = start; now < start + 20min; now += 500ms) {
            unsigned holders = 0;
            for (std::size_t i = 0; i < writers.size(); ++i) {
                Writer& writer = writers[i];
                holders += writer.lease.isHeld(now) ? 1 : 0;
                if (now < pausedUntil[i])
                    continue;
                // A write that was started before a pause is sent after it, without checking the lease again.
                if (pending[i]) {
                    bool written = writer.sendWrite(store, *pending[i]);
                    if (written && !writer.lease.isHeld(now))
                        CHECK(lastWriter == i); // no other process has written since it was started
                    if (written)
                        lastWriter = i;
                    pending[i].reset();
                }
                if (random() % 20 == 0)
                    writer.lease.recordFailure(now);
                else
                    writer.advanceLease(store, now);
                pending[i] = writer.startWrite(store, now);
                if (random() % 100 == 0)
                    pausedUntil[i] = now + core::Duration(random() % 90'000'000);
            }
            CHECK(holders <= 1);
        }
        for (const Writer& writer : writers)
            terms += static_cast<unsigned>(writer.lease.term());
        CHECK(terms > 2);
    }
}
