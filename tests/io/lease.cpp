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

// A write with a mark of its own, as the client makes it. The store would take one without for no change.
store::StoredObject object(const std::string& kind, const std::string& name, const std::string& content)
{
    static std::uint64_t writes = 0;
    return { .object = { .kind = kind, .name = name, .version = {}, .deleted = false, .content = content }, .mark = { .writer = "test", .nonce = std::to_string(++writes) } };
}

// A process that wants to write the status object.
struct Writer {
    explicit Writer(const std::string& writerName)
        : name(writerName)
        , lease({ .holder = writerName, .duration = 30s, .renewAfter = 10s })
    {
    }

    // Does what the lease asks for, with an immediate store.
    void step(platform::InMemoryStore& store, core::TimePoint now)
    {
        LeaseStep next = this->lease.step(now);
        if (next == LeaseStep::Read)
            this->lease.observed(platform::findNativeObject(store, "lease", "status"), now);
        else if (next == LeaseStep::Write)
            this->lease.written(platform::putNativeObject(store, object("lease", "status", this->lease.content()), this->lease.ifVersion()), now, now);
    }

    // Begins a status write: the condition it will be sent with, or nothing if this process may not write.
    std::optional<std::uint64_t> begin(const platform::InMemoryStore& store, core::TimePoint now)
    {
        if (!this->lease.isHeld(now))
            return std::nullopt;
        std::optional<std::uint64_t> condition = this->writes.ifVersion(this->lease.term());
        if (!condition) {
            this->writes.observed(this->lease.term(), platform::findNativeObject(store, "status", "fleet").object.version.version);
            condition = this->writes.ifVersion(this->lease.term());
        }
        return condition;
    }

    bool finish(platform::InMemoryStore& store, std::uint64_t condition)
    {
        store::WriteResult result = platform::putNativeObject(store, object("status", "fleet", '"' + this->name + '"'), condition);
        this->writes.written(this->lease.term(), result);
        return result.written;
    }

    std::string name;
    store::Lease lease;
    store::FencedWrites writes;
};

}

// Guards against two status writers, and against a job that nobody takes over.
TEST_CASE("a lease is taken, renewed and taken over after it lapsed", "[lease]")
{
    platform::InMemoryStore store;
    Writer first("first");
    Writer second("second");
    for (core::TimePoint now = start; now < start + 60s; now += 1s) {
        first.step(store, now);
        first.step(store, now);
        second.step(store, now);
        CHECK_FALSE(second.lease.isHeld(now));
    }
    CHECK(first.lease.isHeld(start + 59s));
    CHECK(first.lease.term() == 1);
    core::TimePoint now = start + 60s;
    while (!second.lease.isHeld(now) && now < start + 120s) {
        now += 1s;
        second.step(store, now);
    }
    CHECK(second.lease.isHeld(now));
    CHECK_FALSE(first.lease.isHeld(now));
    CHECK(now - start < 91s);
}

// Guards against a holder that was paused in the middle of a write, wakes, and overwrites its successor's status.
TEST_CASE("a paused holder does no harm when it wakes", "[lease]")
{
    platform::InMemoryStore store;
    Writer first("first");
    Writer second("second");
    first.step(store, start);
    first.step(store, start);
    std::optional<std::uint64_t> pending = first.begin(store, start);
    REQUIRE(pending);
    // The pause. The second process takes over and writes.
    core::TimePoint now = start;
    for (; !second.lease.isHeld(now); now += 1s)
        second.step(store, now);
    std::optional<std::uint64_t> own = second.begin(store, now);
    REQUIRE(own);
    CHECK(second.finish(store, *own));

    CHECK_FALSE(first.finish(store, *pending)); // on its way since before the pause
    CHECK(platform::findNativeObject(store, "status", "fleet").object.content == "\"second\"");
    CHECK_FALSE(first.begin(store, now)); // it no longer believes that it holds the lease
    // Its renewal, were it sent as well, fails on the version.
    CHECK_FALSE(platform::putNativeObject(store, object("lease", "status", first.lease.content()), first.lease.ifVersion()).written);
    first.step(store, now);
    CHECK_FALSE(first.lease.isHeld(now));
}

// Guards against two holders at one moment, for any order of pauses and failed calls, and against a status write
// that a former holder began before its pause and that lands after its successor's first write.
TEST_CASE("at most one process holds the lease, whatever pauses and fails", "[lease]")
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
                // A write that began before a pause is sent on waking, without another look at the lease.
                if (pending[i]) {
                    bool written = writer.finish(store, *pending[i]);
                    if (written && !writer.lease.isHeld(now))
                        CHECK(lastWriter == i); // nobody else has written since it began
                    if (written)
                        lastWriter = i;
                    pending[i].reset();
                }
                if (random() % 20 == 0)
                    writer.lease.failed(now);
                else
                    writer.step(store, now);
                pending[i] = writer.begin(store, now);
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
