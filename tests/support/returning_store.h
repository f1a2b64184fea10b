#pragma once

#include "core/object_order.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// A model of a store that can come back from an older copy of itself. It keeps its objects with the revisions that their
// writers state, and reports them as the decoders of the store's answers do.
namespace cranberryshed::testing {

class ReturningStore {
public:
    struct Options {
        // Whether a removal is reported with the revision of the state that it ends.
        bool reportsRemovalsWithLastRevision = false;
    };

    ReturningStore() = default;

    explicit ReturningStore(Options storeOptions)
        : options(storeOptions)
    {
    }

    void write(const std::string& kind, const std::string& name, std::uint64_t writerRevision, std::string content = "{}")
    {
        ++this->present.revision;
        const State state { .writerRevision = writerRevision, .revision = this->present.revision, .isRemoved = false, .content = std::move(content) };
        this->present.objects[{ kind, name }] = state;
        this->history.push_back({ .kind = kind, .name = name, .state = state });
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const auto found = this->present.objects.find({ kind, name });
        if (found == this->present.objects.end())
            return;
        ++this->present.revision;
        State state = found->second;
        state.isRemoved = true;
        this->present.objects.erase(found);
        this->history.push_back({ .kind = kind, .name = name, .state = state, .removedAt = this->present.revision });
    }

    // Raises the revision without a change of any object that a test looks at.
    void writeOthers(std::uint64_t changes) { this->present.revision += changes; }

    void keepCopy() { this->copy = this->present; }

    void comeBack()
    {
        this->present = this->copy;
        this->history.clear();
        this->historyBegin = this->present.revision;
        ++this->era;
    }

    core::StorePosition position() const { return { .era = this->era, .revision = this->present.revision }; }

    bool contains(const std::string& kind, const std::string& name) const { return this->present.objects.contains({ kind, name }); }

    std::vector<core::Object> list(const std::string& kind) const { return this->list(kind, this->era); }

    // As in an answer that is read as one of `statedEra`.
    std::vector<core::Object> list(const std::string& kind, std::uint64_t statedEra) const
    {
        std::vector<core::Object> result;
        for (const auto& [key, state] : this->present.objects) {
            if (key.first == kind)
                result.push_back(this->toObject(kind, key.second, state, statedEra));
        }
        return result;
    }

    // The changes of a kind after the revision; nothing if the store doesn't hold this part of its history.
    std::optional<std::vector<core::Object>> changesSince(const std::string& kind, std::uint64_t revision) const { return this->changesSince(kind, revision, this->era); }

    std::optional<std::vector<core::Object>> changesSince(const std::string& kind, std::uint64_t revision, std::uint64_t statedEra) const
    {
        if (revision < this->historyBegin || revision > this->present.revision)
            return std::nullopt;
        std::vector<core::Object> result;
        for (const Change& change : this->history) {
            if (change.kind == kind && change.changedAt() > revision)
                result.push_back(this->toObject(kind, change.name, change.state, statedEra, change.removedAt));
        }
        return result;
    }

private:
    struct State {
        std::uint64_t writerRevision = 0;
        std::uint64_t revision = 0;
        bool isRemoved = false;
        std::string content;
    };

    struct Change {
        std::string kind;
        std::string name;
        State state;
        std::uint64_t removedAt = 0;

        std::uint64_t changedAt() const { return this->state.isRemoved ? this->removedAt : this->state.revision; }
    };

    struct Contents {
        std::map<std::pair<std::string, std::string>, State> objects; // by kind and name
        std::uint64_t revision = 0;
    };

    // An object belongs to the era of the answer that contains it.
    core::Object toObject(const std::string& kind, const std::string& name, const State& state, std::uint64_t statedEra, std::uint64_t removedAt = 0) const
    {
        const std::uint64_t revision = state.isRemoved && !this->options.reportsRemovalsWithLastRevision ? removedAt : state.revision;
        const core::PositionStage stage = state.isRemoved ? core::PositionStage::Removed : core::PositionStage::Written;
        const core::ObjectVersion version { .revision = state.writerRevision, .version = core::packPosition({ .era = statedEra, .revision = revision }, stage) };
        return { .kind = kind, .name = name, .version = version, .deleted = state.isRemoved, .content = state.isRemoved ? std::string() : state.content };
    }

    Options options;
    Contents present;
    Contents copy;
    std::vector<Change> history;
    std::uint64_t historyBegin = 0;
    std::uint64_t era = 1;
};

}
