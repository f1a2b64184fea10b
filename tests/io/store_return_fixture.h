#pragma once

#include "store/object_watcher.h"
#include "support/returning_store.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryshed::testing {

inline constexpr auto configurations = "config";
inline constexpr auto servers = "servers";
inline constexpr auto evacuations = "evacuations";
inline constexpr core::Duration serverHoldTime = std::chrono::milliseconds(2200);
inline constexpr std::uint64_t startedAtMs = 1'796'606'580'990;

inline constexpr std::uint64_t noOrder = core::numberRevision(0);

constexpr std::uint64_t configuration(std::uint64_t number)
{
    return core::numberRevision(number);
}

constexpr std::uint64_t server(std::uint64_t sequence, std::uint64_t startedAt = startedAtMs)
{
    return core::lifecycleRevision(startedAt, sequence);
}

inline store::ObjectWatcher::Options watcherOptions(const std::string& kind)
{
    if (kind == configurations)
        return { .kind = kind, .writerOrder = core::WriterOrder::Number, .absenceHoldTime = std::chrono::hours(24) };
    if (kind == servers)
        return { .kind = kind, .writerOrder = core::WriterOrder::Lifecycle, .batchDelay = std::chrono::milliseconds(300), .removalHoldTime = serverHoldTime, .settleTime = serverHoldTime, .absenceHoldTime = serverHoldTime };
    return { .kind = kind };
}

// An entry VM with one watcher, and the objects that it would publish.
class Follower {
public:
    Follower(ReturningStore& watchedStore, const std::string& kind)
        : store(watchedStore)
        , watcher(watcherOptions(kind))
    {
    }

    // Makes the calls that are due. A watch is answered at once.
    void poll()
    {
        this->take(this->watcher.releaseHeldRemovals(this->now));
        for (int calls = 0; calls < 4; ++calls) {
            const store::WatcherCall call = this->watcher.nextCall();
            this->now = std::max(this->now, call.notBefore);
            if (call.kind == store::WatcherCallKind::List)
                return this->list();
            this->watch(call.fromVersion);
        }
    }

    // Lets the time pass while it polls every 100 ms.
    void run(core::Duration time)
    {
        for (const core::TimePoint end = this->now + time; this->now < end;) {
            this->poll();
            this->now += std::chrono::milliseconds(100);
        }
    }

    void fail() { this->watcher.recordFailure(this->now, this->random); }

    const core::Object* find(const std::string& name) const
    {
        const auto found = this->objects.find(name);
        return found == this->objects.end() || found->second.deleted ? nullptr : &found->second;
    }

    std::string contentOf(const std::string& name) const
    {
        const core::Object* object = this->find(name);
        return object ? object->content : std::string();
    }

    // The contents of the objects that exist, by name.
    std::map<std::string, std::string> contents() const
    {
        std::map<std::string, std::string> result;
        for (const auto& [name, object] : this->objects) {
            if (!object.deleted)
                result.emplace(name, object.content);
        }
        return result;
    }

    core::ObjectVersion versionOf(const std::string& name) const { return this->objects.at(name).version; }
    bool hasTurnedBack() const { return this->turnedBack; }
    store::ObjectWatcher& state() { return this->watcher; }

    core::TimePoint now { std::chrono::hours(1) };

private:
    void list()
    {
        this->take(this->watcher.handleList(this->store.list(this->watcher.kind()), this->store.position(), this->now));
    }

    void watch(std::uint64_t fromRevision)
    {
        const std::optional<std::vector<core::Object>> changes = this->store.changesSince(this->watcher.kind(), fromRevision);
        const core::StorePosition position = this->store.position();
        if (position.era != this->watcher.era())
            this->watcher.recordReturn(this->now, this->random);
        else if (!changes)
            this->watcher.recordHistoryGone(this->now);
        else
            this->take(this->watcher.handleChanges(*changes, position, this->now));
    }

    void take(std::vector<core::Object> changed)
    {
        for (core::Object& object : changed) {
            const auto found = this->objects.find(object.name);
            this->turnedBack |= found != this->objects.end() && object.version <= found->second.version;
            this->objects.insert_or_assign(object.name, std::move(object));
        }
    }

    ReturningStore& store;
    store::ObjectWatcher watcher;
    core::RandomEngine random { 1 };
    std::map<std::string, core::Object> objects; // as published, by name
    bool turnedBack = false; // a published version was no later than the one before
};

// A store with a watcher that has followed it until the copy was made.
struct FollowedStore {
    explicit FollowedStore(const std::string& kind, ReturningStore::Options options = {})
        : store(options)
        , vm(store, kind)
    {
    }

    void keepCopy()
    {
        this->store.keepCopy();
        this->vm.poll();
    }

    // Writes an object that the copy then holds.
    void keepCopyWith(const std::string& name, std::uint64_t writerRevision, const std::string& content = "{}")
    {
        this->store.write(this->vm.state().kind(), name, writerRevision, content);
        this->keepCopy();
    }

    ReturningStore store;
    Follower vm;
};

// The writers of the objects of one kind. They keep their last states, and write them again after a return.
class Writers {
public:
    Writers(ReturningStore& writtenStore, std::string writtenKind, std::uint64_t seed)
        : store(writtenStore)
        , kind(std::move(writtenKind))
        , random(seed)
    {
    }

    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(this->random); }

    // Lets a random writer write or remove its object.
    void change()
    {
        Writer& writer = this->writers[this->kind == configurations ? "main" : "o" + std::to_string(this->below(4))];
        const bool removes = this->kind != configurations && writer.content && this->below(3) == 0;
        if (this->kind == servers && !writer.content)
            writer = { .startedAt = writer.startedAt + 16 + static_cast<std::uint64_t>(this->below(9000)) };
        writer.number += 1 + static_cast<std::uint64_t>(this->below(3));
        writer.content = removes ? std::nullopt : std::optional(std::to_string(writer.startedAt) + '/' + std::to_string(writer.number));
        this->writeAll();
    }

    // Brings the store to the last states of all writers.
    void writeAll()
    {
        for (auto& [name, writer] : this->writers) {
            if (!writer.content)
                this->store.remove(this->kind, name);
            else if (writer.isWritten != writer.content || this->store.position().era != writer.writtenIn) {
                if (this->kind == servers)
                    ++writer.number; // a server counts its heartbeats
                this->store.write(this->kind, name, this->revisionOf(writer), *writer.content);
                writer.isWritten = writer.content;
                writer.writtenIn = this->store.position().era;
            }
        }
    }

    std::map<std::string, std::string> contents() const
    {
        std::map<std::string, std::string> result;
        for (const auto& [name, writer] : this->writers) {
            if (writer.content)
                result.emplace(name, *writer.content);
        }
        return result;
    }

private:
    struct Writer {
        std::uint64_t startedAt = startedAtMs;
        std::uint64_t number = 0;
        std::optional<std::string> content {}; // nothing: the object is removed
        std::optional<std::string> isWritten {};
        std::uint64_t writtenIn = 0; // the era
    };

    std::uint64_t revisionOf(const Writer& writer) const
    {
        if (this->kind == configurations)
            return configuration(writer.number);
        return this->kind == servers ? server(writer.number, writer.startedAt) : noOrder;
    }

    ReturningStore& store;
    std::string kind;
    core::RandomEngine random;
    std::map<std::string, Writer> writers; // by object name
};

}
