// Watches of the store by many members, in virtual time: what they cost, and how soon news arrives when connections go
// silent, members die or lose the store.

#include "fleet/rendezvous.h"
#include "fleet_simulation.h"
#include "store/object_watcher.h"

#include <catch2/catch.hpp>

using namespace cranberryshed;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration step = 20ms;
constexpr core::Duration roundTrip = 100ms; // to the store
constexpr core::Duration superviseInterval = 1s;
constexpr auto kindName = "servers";

// A fleet whose members watch one kind of objects, which has one object.
class WatchFleet {
public:
    explicit WatchFleet(int size, std::uint64_t seed = 1)
        : random(seed)
        , network({ .seed = seed })
    {
        this->network.startFleet(size);
        for (int i = 0; i < size; ++i)
            this->members.emplace(i, Member(this->startDelay()));
        this->run(40s); // the watches of members other than the first go on for 20 s
    }

    // All members' watches that are pending now get no answer. Later calls work.
    void silence()
    {
        for (auto& [number, member] : this->members) {
            if (member.pending)
                member.pending->isSilent = true;
        }
    }

    void silence(int number) { this->members.at(number).pending->isSilent = true; }

    // The member gets no answers from the store any more.
    void cutFromStore(int number) { this->members.at(number).isCut = true; }

    void crash(int number)
    {
        this->network.crash(number);
        this->members.erase(number);
    }

    void change() { ++this->revision; }

    // The time until all members know the last change, or nothing if that takes longer than `limit`.
    std::optional<core::Duration> spreadTime(core::Duration limit)
    {
        const core::TimePoint begin = this->network.now();
        while (this->network.now() < begin + limit) {
            if (std::ranges::all_of(this->members, [&](const auto& entry) { return this->knownRevision(entry.first) == this->revision; }))
                return this->network.now() - begin;
            this->advance();
        }
        return std::nullopt;
    }

    void run(core::Duration time)
    {
        for (const core::TimePoint end = this->network.now() + time; this->network.now() < end;)
            this->advance();
    }

    int firstRanked()
    {
        for (const auto& [number, member] : this->members) {
            if (this->rankOf(number) == 0)
                return number;
        }
        return -1;
    }

    double callsPerSecond(core::Duration time)
    {
        const std::uint64_t before = this->calls;
        this->run(time);
        return static_cast<double>(this->calls - before) / std::chrono::duration<double>(time).count();
    }

    // The oldest knowledge that a member has had since the last call.
    core::Duration takeOldestAge() { return std::exchange(this->oldestAge, core::Duration {}); }

private:
    struct Call {
        store::WatcherCall call;
        core::TimePoint sentAt {};
        bool isSilent = false;
    };

    struct Member {
        explicit Member(core::TimePoint firstCallAt)
            : superviseAt(firstCallAt)
        {
        }

        store::ObjectWatcher watcher { { .kind = kindName, .batchDelay = 300ms, .confirmInterval = 700ms } };
        std::optional<Call> pending;
        core::TimePoint superviseAt;
        bool isCut = false;
    };

    core::TimePoint startDelay() { return this->network.now() + std::uniform_int_distribution<int>(0, 1000)(this->random) * 1ms; }

    static core::StorePosition at(std::uint64_t revision) { return { .era = 0, .revision = revision }; }

    static core::Object objectAt(std::uint64_t revision)
    {
        return { .kind = kindName, .name = "a", .version = { .revision = 0, .version = core::packPosition(at(revision)) }, .deleted = false, .content = "{}" };
    }

    std::uint64_t knownRevision(int number)
    {
        const auto objects = this->network.snapshot(number).objects;
        return objects.empty() ? 0 : core::positionOf(objects[0]->version).revision;
    }

    std::size_t rankOf(int number)
    {
        const fleet::Snapshot snapshot = this->network.snapshot(number);
        return fleet::rankFor(kindName, snapshot.members, snapshot.self);
    }

    void advance()
    {
        this->network.run(step);
        for (auto& [number, member] : this->members) {
            if (member.pending)
                this->answer(number, member);
            if (!member.pending && member.watcher.nextCall().notBefore <= this->network.now() && member.superviseAt <= this->network.now() + superviseInterval)
                this->send(member);
            if (member.superviseAt <= this->network.now())
                this->supervise(number, member);
        }
    }

    void send(Member& member)
    {
        ++this->calls;
        member.pending = Call { .call = member.watcher.nextCall(), .sentAt = this->network.now(), .isSilent = member.isCut };
    }

    void answer(int number, Member& member)
    {
        const Call& pending = *member.pending;
        const core::TimePoint now = this->network.now();
        const bool isList = pending.call.kind == store::WatcherCallKind::List;
        if (pending.isSilent || member.isCut) {
            if (now < pending.sentAt + pending.call.wait + (isList ? core::Duration(1500ms) : pending.call.answerTimeout))
                return;
            member.pending.reset();
            return member.watcher.recordFailure(now, this->random);
        }
        const bool hasChanged = !isList && pending.call.fromVersion < this->revision;
        if (now < pending.sentAt + roundTrip + (hasChanged || isList ? core::Duration {} : pending.call.wait))
            return;
        member.pending.reset();
        std::vector<core::Object> accepted = isList ? member.watcher.handleList({ objectAt(this->revision) }, at(this->revision), now)
            : hasChanged                            ? member.watcher.handleChanges({ objectAt(this->revision) }, at(this->revision), now)
                                                    : member.watcher.handleChanges({}, at(this->revision), now);
        const fleet::Propagation propagation = this->rankOf(number) == 0 ? fleet::Propagation::Gossip : fleet::Propagation::OnSync;
        this->network.call(number, [&](auto& node, auto time, auto&) {
            for (core::Object& object : accepted)
                node.publish(std::move(object), time, propagation);
            if (!isList)
                node.confirm(kindName, core::packPosition(member.watcher.lastChange()), time);
        });
    }

    void supervise(int number, Member& member)
    {
        const core::TimePoint now = this->network.now();
        member.superviseAt = now + superviseInterval;
        const fleet::Snapshot snapshot = this->network.snapshot(number);
        const std::uint64_t known = snapshot.objects.empty() ? 0 : core::positionOf(snapshot.objects[0]->version).revision;
        const std::optional<fleet::Confirmation> confirmation = this->network.node(number).confirmation(kindName);
        std::optional<core::TimePoint> confirmedAt = member.watcher.confirmedAt();
        if (confirmation && confirmation->revision <= core::packPosition(at(known)))
            confirmedAt = std::max(confirmedAt.value_or(confirmation->at), confirmation->at);
        if (confirmedAt)
            this->oldestAge = std::max(this->oldestAge, now - *confirmedAt);
        member.watcher.setFleetKnowledge({ .rank = fleet::rankFor(kindName, snapshot.members, snapshot.self), .members = snapshot.members.size(), .newest = at(known), .confirmedAt = confirmedAt }, now);
        if (member.pending && member.pending->call.kind == store::WatcherCallKind::Watch && member.watcher.replacementTime() <= now) {
            member.pending.reset();
            member.watcher.recordReplacement(now);
        }
    }

    core::RandomEngine random;
    FleetSimulation network;
    std::map<int, Member> members;
    std::uint64_t revision = 1;
    std::uint64_t calls = 0;
    core::Duration oldestAge {};
};

}

// Guards against calls to the store that grow with the fleet as if each member had to ask often, and against members that
// don't know how old their knowledge is.
TEST_CASE("watches of a large fleet cost few calls, and no knowledge is old", "[watch-fleet]")
{
    for (const int size : { 1, 9, 40, 195 }) {
        WatchFleet fleet(size);
        fleet.takeOldestAge();
        const double calls = fleet.callsPerSecond(90s);
        const core::Duration oldest = fleet.takeOldestAge();
        INFO(size << " members");
        CHECK(calls < 1.5 + size / 15.0); // as many as if each asked every 15 s, and those of one that asks every second
        CHECK(oldest < 8s);
    }
}

// Guards against news that waits for the end of watches whose connections are dead without being closed.
TEST_CASE("a change reaches a fleet in time after all its store connections went silent", "[watch-fleet]")
{
    const core::Duration delay = GENERATE(as<core::Duration> {}, 0ms, 1000ms, 4000ms);
    for (const int size : { 1, 2, 9, 40, 195 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            WatchFleet fleet(size, seed);
            fleet.silence();
            fleet.run(delay);
            fleet.change();
            INFO(size << " members, seed " << seed);
            CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
        }
    }
}

// Guards against a fleet that depends on one member: it dies or loses the store just when the others' watches go silent.
TEST_CASE("a fleet whose first watcher fails still learns of changes", "[watch-fleet]")
{
    const bool dies = GENERATE(true, false);
    for (const int size : { 3, 9, 40 }) {
        WatchFleet fleet(size);
        const int first = fleet.firstRanked();
        fleet.silence();
        if (dies)
            fleet.crash(first);
        else
            fleet.cutFromStore(first);
        fleet.run(8s);
        fleet.change();
        INFO(size << " members, dies " << dies);
        CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
    }
}

// Guards against a member that relies on a dead watch although its peers know more.
TEST_CASE("a member with a silent watch replaces it when its peers know more", "[watch-fleet]")
{
    WatchFleet fleet(9);
    const int silent = fleet.firstRanked() == 3 ? 4 : 3;
    fleet.silence(silent);
    fleet.run(4s);
    fleet.change();
    CHECK(fleet.spreadTime(30s).value_or(30s) < 2500ms);
    fleet.takeOldestAge();
    fleet.run(10s);
    CHECK(fleet.takeOldestAge() < 5s);
}
