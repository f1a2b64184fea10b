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
    core::TimePoint now = start;
    for (; !first.lease.isHeld(now); now += 1s)
        first.advanceLease(store, now);
    std::optional<std::uint64_t> pending = first.startWrite(store, now);
    REQUIRE(pending);
    // During the pause, the second process takes over and writes.
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
        std::vector<unsigned> writeCountAtStart(writers.size());
        unsigned writeCount = 0; // of writes that took effect
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
                    if (writer.sendWrite(store, *pending[i])) {
                        CHECK(writeCount == writeCountAtStart[i]); // no other process has written since it was started
                        ++writeCount;
                    }
                    pending[i].reset();
                }
                if (random() % 20 == 0)
                    writer.lease.recordFailure(now);
                else
                    writer.advanceLease(store, now);
                pending[i] = writer.startWrite(store, now);
                writeCountAtStart[i] = writeCount;
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

namespace {

// Processes that compete for the lease while the store comes back from copies of itself.
struct Competition {
    explicit Competition(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            this->writers.emplace_back("writer-" + std::to_string(i));
    }

    // Makes the next steps of all writers. `canReach`: whether the calls of a writer reach the store.
    template <typename CanReach>
    void advance(core::TimePoint now, const CanReach& canReach)
    {
        for (std::size_t i = 0; i < this->writers.size(); ++i) {
            for (int step = 0; step < 2; ++step) { // a read, and the write that follows it
                if (canReach(i))
                    this->writers[i].advanceLease(this->store, now);
                else if (this->writers[i].lease.nextStep(now) != LeaseStep::Wait)
                    this->writers[i].lease.recordFailure(now);
            }
        }
    }

    auto holderCount(core::TimePoint now) const
    {
        return std::ranges::count_if(this->writers, [&](const Writer& writer) { return writer.lease.isHeld(now); });
    }

    // Changes of other objects, which use up revisions.
    void writeOthers(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            this->store.create("other", std::to_string(++this->otherCount), "{}");
    }

    platform::InMemoryStore store;
    std::vector<Writer> writers;
    std::uint64_t otherCount = 0;
};

// When the calls of a writer don't reach the store.
enum class Outage { None,
    BeforeReturn, // while the states are written that the return undoes
    AfterReturn };

struct ReturnCase {
    core::Duration copyAt; // since the start
    core::Duration age; // of the copy at the return
    bool isFirstStopped; // the first writer ends, so that another one takes over
    std::vector<Outage> outages; // by writer
};

bool canReach(const ReturnCase& testCase, std::size_t writer, core::Duration elapsed)
{
    constexpr core::Duration outageTime = 60s;
    const core::Duration returnAt = testCase.copyAt + testCase.age;
    if (testCase.isFirstStopped && writer == 0 && elapsed > 20s)
        return false;
    switch (testCase.outages[writer]) {
    case Outage::None:
        break;
    case Outage::BeforeReturn:
        return elapsed < testCase.copyAt - 10s || elapsed >= returnAt;
    case Outage::AfterReturn:
        return elapsed < returnAt || elapsed >= returnAt + outageTime;
    }
    return true;
}

// Returns the greatest number of holders at one time.
std::ptrdiff_t maxHolders(const ReturnCase& testCase)
{
    Competition competition(testCase.outages.size());
    platform::InMemoryStore::Copy copy;
    std::ptrdiff_t result = 0;
    for (core::Duration elapsed {}; elapsed < testCase.copyAt + testCase.age + 80s; elapsed += 1s) {
        const core::TimePoint now = start + elapsed;
        if (elapsed == testCase.copyAt)
            copy = competition.store.copy();
        if (elapsed == testCase.copyAt + testCase.age)
            competition.store.restore(copy);
        competition.writeOthers(1);
        competition.advance(now, [&](std::size_t writer) { return canReach(testCase, writer, elapsed); });
        result = std::max(result, competition.holderCount(now));
    }
    return result;
}

// All combinations of outages of this many writers.
std::vector<std::vector<Outage>> outageCombinations(std::size_t writers)
{
    std::vector<std::vector<Outage>> all { {} };
    for (std::size_t i = 0; i < writers; ++i) {
        std::vector<std::vector<Outage>> longer;
        for (const std::vector<Outage>& outages : all) {
            for (const Outage next : { Outage::None, Outage::BeforeReturn, Outage::AfterReturn }) {
                longer.push_back(outages);
                longer.back().push_back(next);
            }
        }
        all = std::move(longer);
    }
    return all;
}

}

// Guards against two holders after the store has come back from a copy: the lease of the holder is absent or older there,
// while the holder still believes in its own.
TEST_CASE("at most one process holds the lease when the store comes back from a copy", "[lease]")
{
    const std::size_t writers = GENERATE(2, 3);
    const bool isFirstStopped = GENERATE(false, true);
    for (const std::vector<Outage>& outages : outageCombinations(writers)) {
        std::vector<std::pair<core::Duration, core::Duration>> failures; // time of the copy, its age
        for (core::Duration copyAt = 0s; copyAt <= 80s; copyAt += 1s) {
            for (const core::Duration age : { 1s, 4s, 12s, 35s }) {
                if (maxHolders({ .copyAt = copyAt, .age = age, .isFirstStopped = isFirstStopped, .outages = outages }) > 1)
                    failures.emplace_back(copyAt, age);
            }
        }
        CAPTURE(writers, isFirstStopped, outages.size());
        CHECK(failures.size() == 0);
    }
}

// Guards against two holders because revisions are given out again: a holder's condition can then hold for the lease of
// its successor.
TEST_CASE("at most one process holds the lease while the store returns again and again", "[lease]")
{
    unsigned terms = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        core::RandomEngine random(seed);
        Competition competition(3);
        platform::InMemoryStore::Copy copy;
        std::vector<core::TimePoint> cutOffUntil(3, start);
        std::ptrdiff_t holders = 0;
        for (core::TimePoint now = start; now < start + 10min; now += 500ms) {
            if (random() % 20 == 0)
                copy = competition.store.copy();
            if (random() % 60 == 0)
                competition.store.restore(copy);
            competition.writeOthers(random() % 2);
            for (core::TimePoint& until : cutOffUntil) {
                if (random() % 100 == 0)
                    until = now + core::Duration(random() % 40'000'000);
            }
            competition.advance(now, [&](std::size_t writer) { return now >= cutOffUntil[writer]; });
            holders = std::max(holders, competition.holderCount(now));
        }
        CAPTURE(seed);
        CHECK(holders <= 1);
        for (const Writer& writer : competition.writers)
            terms += static_cast<unsigned>(writer.lease.term());
    }
    CHECK(terms > 400);
}

// Guards against a job that nobody does for long after the first start, or after the store has come back from a copy
// without the lease or with an older one.
TEST_CASE("the lease is soon held again after a first start and after a return of the store", "[lease]")
{
    Competition competition(3);
    core::TimePoint now = start;
    const auto advanceWhile = [&](const auto& condition) {
        const core::TimePoint from = now;
        do {
            competition.advance(now, [](std::size_t) { return true; });
            now += 500ms;
        } while (condition() && now - from < 2min);
        return now - from;
    };
    const auto isHeld = [&] { return competition.holderCount(now) == 1; };
    const auto isNotHeld = [&] { return competition.holderCount(now) == 0; };
    const platform::InMemoryStore::Copy empty = competition.store.copy();
    CHECK(advanceWhile(isNotHeld) <= 16s);
    const platform::InMemoryStore::Copy held = competition.store.copy();
    advanceWhile([&] { return now < start + 60s; });
    CHECK(isHeld());
    const bool isLeaseInCopy = GENERATE(false, true);
    competition.store.restore(isLeaseInCopy ? held : empty);
    CHECK(advanceWhile(isHeld) <= 11s); // the holder notices at its next renewal
    CHECK(advanceWhile(isNotHeld) <= (isLeaseInCopy ? 36s : 21s));
}

// Guards against a holder that believes in a lease, or writes on a condition, of a time before the store came back from
// a copy.
TEST_CASE("a lease ends with the store's era", "[lease]")
{
    platform::InMemoryStore store;
    Writer writer("writer");
    writer.lease.recordEra(1);
    core::TimePoint now = start;
    for (; !writer.lease.isHeld(now); now += 1s)
        writer.advanceLease(store, now);
    const std::optional<std::uint64_t> condition = writer.startWrite(store, now);
    REQUIRE(condition);
    REQUIRE(writer.sendWrite(store, *condition));
    writer.lease.recordEra(1);
    CHECK(writer.lease.isHeld(now));
    const std::uint64_t term = writer.lease.term();
    writer.lease.recordEra(2);
    CHECK_FALSE(writer.lease.isHeld(now));
    for (; !writer.lease.isHeld(now); now += 1s)
        writer.advanceLease(store, now);
    CHECK(writer.lease.term() == term + 1);
    CHECK_FALSE(writer.writes.ifVersion(writer.lease.term()));
}

// Guards against a living holder whose lease is claimed: after a return of the store its lease can have the version that
// another one had before.
TEST_CASE("a lease of another write is new even if its version was seen before", "[lease]")
{
    store::Lease lease({ .holder = "writer" });
    store::StoredObject seen = object("lease", "status", "{}");
    seen.object.version.version = 5;
    lease.recordRead(seen, start);
    REQUIRE(lease.nextStep(start + 15s) == LeaseStep::Write);
    seen.writeId.nonce = "of another write";
    lease.recordRead(seen, start + 15s);
    CHECK(lease.nextStep(start + 29s) == LeaseStep::Read);
    CHECK(lease.nextStep(start + 30s) == LeaseStep::Write);
}
