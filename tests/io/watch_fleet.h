#pragma once

#include "fleet/rendezvous.h"
#include "fleet_simulation.h"
#include "store/era_tracker.h"
#include "store/object_watcher.h"
#include "support/returning_store.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberryshed::testing {

// A fleet in virtual time whose members watch a store and share its objects, as the entry VMs do.
class WatchFleet {
public:
    struct Options {
        int size = 1;
        std::uint64_t seed = 1;
        ReturningStore::Options store {};
        // Of the kinds that each member watches.
        std::vector<store::ObjectWatcher::Options> watchers = { { .kind = "servers", .batchDelay = std::chrono::milliseconds(300), .confirmInterval = std::chrono::milliseconds(700) } };
    };

    explicit WatchFleet(Options fleetOptions)
        : options(std::move(fleetOptions))
        , random(this->options.seed)
        , network({ .seed = this->options.seed })
        , store(this->options.store)
    {
        this->write(this->options.watchers.front().kind, "a", core::numberRevision(0));
        this->network.startFleet(this->options.size);
        for (int i = 0; i < this->options.size; ++i)
            this->members.emplace(i, Member(this->options.watchers, this->startDelay()));
        this->run(std::chrono::seconds(40)); // the watches of members other than the first go on for 30 s
    }

    // All members' watches that are pending now get no answer. Later calls work.
    void silence()
    {
        for (auto& [number, member] : this->members)
            this->silence(number);
    }

    void silence(int number)
    {
        for (Watch& watch : this->members.at(number).watches) {
            if (watch.pending)
                watch.pending->isSilent = true;
        }
    }

    // The member gets no answers from the store any more.
    void cutFromStore(int number) { this->members.at(number).isCut = true; }
    void reconnectToStore(int number) { this->members.at(number).isCut = false; }

    // The next answer to the member states this era.
    void misstateEra(int number, std::string era) { this->members.at(number).misstatedEra = std::move(era); }

    void crash(int number)
    {
        this->network.crash(number);
        this->members.erase(number);
    }

    void start(int number)
    {
        const int seed = this->members.begin()->first;
        this->network.start(number, { seed }, ++this->incarnation);
        this->members.emplace(number, Member(this->options.watchers, this->network.now()));
    }

    void write(const std::string& kind, const std::string& name, std::uint64_t writerRevision, const std::string& content = "{}")
    {
        this->store.write(kind, name, writerRevision, content);
        this->lastWritten = { .kind = kind, .name = name, .version = {}, .deleted = false, .content = content };
    }

    void remove(const std::string& kind, const std::string& name) { this->store.remove(kind, name); }

    void writeOthers(std::uint64_t changes) { this->store.writeOthers(changes); }

    // Writes the object that all fleets have from their start.
    void change() { this->write(this->options.watchers.front().kind, "a", core::numberRevision(0), std::to_string(this->store.position().revision)); }

    ReturningStore& storeState() { return this->store; }

    void keepCopy() { this->store.keepCopy(); }

    // The store refuses calls for `outage` and ends all watches, then it comes back from the copy.
    void comeBack(core::Duration outage)
    {
        this->isStoreDown = true;
        this->run(outage);
        this->store.comeBack();
        this->isStoreDown = false;
        this->returnedAt = this->network.now();
    }

    // The time until all members know what was written last, or nothing if that takes longer than `limit`.
    std::optional<core::Duration> spreadTime(core::Duration limit)
    {
        return this->timeUntil([&](int number) { return this->contentAt(number, this->lastWritten.kind, this->lastWritten.name) == this->lastWritten.content; }, limit);
    }

    // The same until all members hold exactly the objects of the store, of one kind or of all kinds.
    std::optional<core::Duration> agreementTime(core::Duration limit, const std::string& kind = {})
    {
        return this->timeUntil([&](int number) { return this->contentsAt(number, kind) == this->contentsOfStore(kind); }, limit);
    }

    // The content of the object that a member holds; nothing if it holds none.
    std::optional<std::string> contentAt(int number, const std::string& kind, const std::string& name)
    {
        for (const auto& object : this->network.snapshot(number).objects) {
            if (object->kind == kind && object->name == name && !object->deleted)
                return object->content;
        }
        return std::nullopt;
    }

    void run(core::Duration time)
    {
        for (const core::TimePoint end = this->network.now() + time; this->network.now() < end;)
            this->advance();
    }

    int firstRanked() { return this->firstRanked(this->options.watchers.front().kind); }

    int firstRanked(const std::string& kind)
    {
        for (const auto& [number, member] : this->members) {
            if (this->rankOf(number, kind) == 0)
                return number;
        }
        return -1;
    }

    double callsPerSecond(core::Duration time)
    {
        const std::size_t before = this->calls.size();
        this->run(time);
        return static_cast<double>(this->calls.size() - before) / std::chrono::duration<double>(time).count();
    }

    // The calls to the store since it came back.
    struct CallCounts {
        std::size_t all = 0;
        std::size_t lists = 0;
        std::size_t mostIn1s = 0;
        std::size_t mostIn100ms = 0;
        std::size_t mostListsIn100ms = 0;
    };

    CallCounts callsSinceReturn() const
    {
        std::vector<core::TimePoint> all;
        std::vector<core::TimePoint> lists;
        for (const auto& [sentAt, kind] : this->calls) {
            if (sentAt < this->returnedAt)
                continue;
            all.push_back(sentAt);
            if (kind == store::WatcherCallKind::List)
                lists.push_back(sentAt);
        }
        return { .all = all.size(),
            .lists = lists.size(),
            .mostIn1s = mostWithin(std::chrono::seconds(1), all),
            .mostIn100ms = mostWithin(std::chrono::milliseconds(100), all),
            .mostListsIn100ms = mostWithin(std::chrono::milliseconds(100), lists) };
    }

    // The oldest knowledge that a member has had since the last call.
    core::Duration takeOldestAge() { return std::exchange(this->oldestAge, core::Duration {}); }

private:
    static constexpr core::Duration step = std::chrono::milliseconds(20);
    static constexpr core::Duration roundTrip = std::chrono::milliseconds(100); // to the store
    static constexpr core::Duration superviseInterval = std::chrono::seconds(1);
    static constexpr core::Duration listTimeout = std::chrono::milliseconds(1500);

    struct Call {
        store::WatcherCall call;
        core::TimePoint sentAt {};
        bool isSilent = false;
    };

    struct Watch {
        explicit Watch(store::ObjectWatcher::Options watcherOptions)
            : watcher(std::move(watcherOptions))
        {
        }

        store::ObjectWatcher watcher;
        std::optional<Call> pending;
    };

    struct Member {
        Member(const std::vector<store::ObjectWatcher::Options>& watchers, core::TimePoint firstCallAt)
            : watches(watchers.begin(), watchers.end())
            , superviseAt(firstCallAt)
        {
        }

        std::vector<Watch> watches;
        core::TimePoint superviseAt;
        store::EraTracker eraTracker;
        std::optional<std::string> misstatedEra; // of the next answer
        bool isCut = false;
    };

    using Contents = std::set<std::pair<std::pair<std::string, std::string>, std::string>>; // kind, name and content

    // The largest number of the sorted times that lie in a span of this length.
    static std::size_t mostWithin(core::Duration span, const std::vector<core::TimePoint>& times)
    {
        std::size_t most = 0;
        for (auto from = times.begin(); from != times.end(); ++from)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(from, times.end(), *from + span) - from));
        return most;
    }

    core::TimePoint startDelay() { return this->network.now() + std::uniform_int_distribution<int>(0, 1000)(this->random) * std::chrono::milliseconds(1); }

    template <typename Condition>
    std::optional<core::Duration> timeUntil(const Condition& holdsAt, core::Duration limit)
    {
        const core::TimePoint begin = this->network.now();
        while (this->network.now() < begin + limit) {
            if (std::ranges::all_of(this->members, [&](const auto& entry) { return holdsAt(entry.first); }))
                return this->network.now() - begin;
            this->advance();
        }
        return std::nullopt;
    }

    Contents contentsAt(int number, const std::string& kind)
    {
        Contents result;
        for (const auto& object : this->network.snapshot(number).objects) {
            if (!object->deleted && (kind.empty() || object->kind == kind))
                result.insert({ { object->kind, object->name }, object->content });
        }
        return result;
    }

    Contents contentsOfStore(const std::string& kind) const
    {
        Contents result;
        for (const auto& watcher : this->options.watchers) {
            if (!kind.empty() && watcher.kind != kind)
                continue;
            for (const core::Object& object : this->store.list(watcher.kind))
                result.insert({ { object.kind, object.name }, object.content });
        }
        return result;
    }

    std::size_t rankOf(int number, const std::string& kind)
    {
        const fleet::Snapshot snapshot = this->network.snapshot(number);
        return fleet::rankFor(kind, snapshot.members, snapshot.self);
    }

    void advance()
    {
        this->network.run(step);
        const core::TimePoint now = this->network.now();
        for (auto& [number, member] : this->members) {
            for (Watch& watch : member.watches) {
                if (watch.pending)
                    this->answer(number, member, watch);
                if (!watch.pending && watch.watcher.nextCall().notBefore <= now && member.superviseAt <= now + superviseInterval)
                    this->send(member, watch);
                if (const std::optional<core::TimePoint> release = watch.watcher.nextReleaseTime(); release && *release <= now)
                    this->publish(number, watch, watch.watcher.releaseHeldRemovals(now));
            }
            if (member.superviseAt <= now)
                this->supervise(number, member);
        }
    }

    void send(const Member& member, Watch& watch)
    {
        const store::WatcherCall call = watch.watcher.nextCall();
        this->calls.emplace_back(this->network.now(), call.kind);
        watch.pending = Call { .call = call, .sentAt = this->network.now(), .isSilent = member.isCut };
    }

    void answer(int number, Member& member, Watch& watch)
    {
        const Call& pending = *watch.pending;
        const core::TimePoint now = this->network.now();
        const bool isList = pending.call.kind == store::WatcherCallKind::List;
        if (pending.isSilent || member.isCut) {
            if (now < pending.sentAt + pending.call.wait + (isList ? listTimeout : pending.call.answerTimeout))
                return;
            watch.pending.reset();
            return watch.watcher.recordFailure(now, this->random);
        }
        if (now < pending.sentAt + roundTrip)
            return;
        if (this->isStoreDown) {
            watch.pending.reset();
            return watch.watcher.recordFailure(now, this->random);
        }
        if (isList)
            this->answerList(number, member, watch);
        else
            this->answerWatch(number, member, watch);
    }

    // The position of the store as the member reads it from an answer; nothing if the answer counts as lost.
    std::optional<core::StorePosition> readPosition(Member& member)
    {
        core::StorePosition position = this->store.position();
        const std::string stated = std::exchange(member.misstatedEra, std::nullopt).value_or(std::to_string(position.era));
        const store::EraReading reading = member.eraTracker.read(stated, this->network.now());
        position.era = reading.era;
        const bool isLost = reading.verdict == store::EraVerdict::Earlier || reading.verdict == store::EraVerdict::Unconfirmed;
        return isLost ? std::nullopt : std::optional(position);
    }

    void answerList(int number, Member& member, Watch& watch)
    {
        const core::TimePoint now = this->network.now();
        const std::optional<core::StorePosition> position = this->readPosition(member);
        watch.pending.reset();
        if (!position)
            return watch.watcher.recordFailure(now, this->random);
        if (watch.watcher.isReturn(*position))
            this->learnAllHeld(number, watch.watcher);
        const std::vector<core::Object> objects = this->store.list(watch.watcher.kind(), position->era);
        this->learnHeld(number, watch.watcher, objects);
        this->publish(number, watch, watch.watcher.handleList(objects, *position, now));
    }

    // Whether the watch goes on without an answer.
    bool isWaiting(const Member& member, const Watch& watch) const
    {
        const auto changes = this->store.changesSince(watch.watcher.kind(), watch.pending->call.fromVersion);
        const bool hasReturned = this->store.position().era > member.eraTracker.current();
        return !hasReturned && changes && changes->empty() && this->network.now() < watch.pending->sentAt + roundTrip + watch.pending->call.wait;
    }

    void answerWatch(int number, Member& member, Watch& watch)
    {
        const core::TimePoint now = this->network.now();
        if (this->isWaiting(member, watch))
            return;
        const std::uint64_t from = watch.pending->call.fromVersion;
        watch.pending.reset();
        const std::optional<core::StorePosition> position = this->readPosition(member);
        if (!position)
            return watch.watcher.recordFailure(now, this->random);
        const auto changes = this->store.changesSince(watch.watcher.kind(), from, position->era);
        if (position->era != watch.watcher.era())
            return watch.watcher.recordReturn(now, this->random);
        if (!changes)
            return watch.watcher.recordHistoryGone(now);
        this->learnHeld(number, watch.watcher, *changes);
        this->publish(number, watch, watch.watcher.handleChanges(*changes, *position, now));
        this->network.call(number, [&](auto& node, auto time, auto&) { node.confirm(watch.watcher.kind(), core::packPosition(watch.watcher.lastChange()), time); });
    }

    void learnHeld(int number, store::ObjectWatcher& watcher, const std::vector<core::Object>& reported)
    {
        for (const core::Object& object : reported) {
            if (const std::shared_ptr<const core::Object> held = this->network.node(number).find(object))
                watcher.learn(*held, this->network.now());
        }
    }

    void learnAllHeld(int number, store::ObjectWatcher& watcher)
    {
        for (const auto& object : this->network.snapshot(number).objects) {
            if (object->kind == watcher.kind())
                watcher.learn(*object, this->network.now());
        }
    }

    void publish(int number, const Watch& watch, std::vector<core::Object> changed)
    {
        if (changed.empty())
            return;
        const bool isGossiped = watch.watcher.kind() != "servers" || this->rankOf(number, watch.watcher.kind()) == 0;
        const auto propagation = isGossiped ? fleet::Propagation::Gossip : fleet::Propagation::OnSync;
        this->network.call(number, [&](auto& node, auto time, auto&) {
            for (core::Object& object : changed)
                node.publish(std::move(object), time, propagation);
        });
    }

    void supervise(int number, Member& member)
    {
        const core::TimePoint now = this->network.now();
        member.superviseAt = now + superviseInterval;
        const fleet::Snapshot snapshot = this->network.snapshot(number);
        for (Watch& watch : member.watches) {
            store::ObjectWatcher& watcher = watch.watcher;
            core::StorePosition newest { .era = member.eraTracker.current(), .revision = 0 };
            for (const auto& object : snapshot.objects) {
                if (object->kind == watcher.kind())
                    newest = std::max(newest, core::positionOf(object->version));
            }
            this->learnAllHeld(number, watcher);
            const std::optional<fleet::Confirmation> confirmation = this->network.node(number).confirmation(watcher.kind());
            std::optional<core::TimePoint> confirmedAt = watcher.confirmedAt();
            if (confirmation && confirmation->revision <= core::packPosition(std::max(newest, watcher.reached())))
                confirmedAt = std::max(confirmedAt.value_or(confirmation->at), confirmation->at);
            if (confirmedAt)
                this->oldestAge = std::max(this->oldestAge, now - *confirmedAt);
            watcher.setFleetKnowledge({ .rank = fleet::rankFor(watcher.kind(), snapshot.members, snapshot.self), .members = snapshot.members.size(), .newest = newest, .confirmedAt = confirmedAt }, now);
            if (watch.pending && watch.pending->call.kind == store::WatcherCallKind::Watch && watcher.replacementTime() <= now) {
                watch.pending.reset();
                watcher.recordReplacement(now);
            }
        }
    }

    Options options;
    core::RandomEngine random;
    FleetSimulation network;
    ReturningStore store;
    std::map<int, Member> members;
    std::uint64_t incarnation = 1;
    bool isStoreDown = false;
    core::TimePoint returnedAt {};
    core::Object lastWritten;
    std::vector<std::pair<core::TimePoint, store::WatcherCallKind>> calls;
    core::Duration oldestAge {};
};

}
