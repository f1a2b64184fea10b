#pragma once

#include "request/choose.h"
#include "request/events.h"

#include <deque>
#include <unordered_map>

namespace cranberryshed::rig {

// The request engine that one writes first: no keys, no budget, no suspects; sends every failed request again
// at once, up to three attempts, and says "not run" when it gives up. Kept as the reference for comparison.
class NaiveEngine {
public:
    explicit NaiveEngine(std::uint64_t seed)
        : random(seed)
    {
    }

    void setTable(core::SteeringTablePointer newTable) { this->table = std::move(newTable); }

    void handle(const request::Event& event, core::TimePoint now, request::Commands& commands, request::Observations&)
    {
        if (const auto* arrived = std::get_if<request::RequestArrived>(&event)) {
            this->pending[arrived->request] = {};
            this->start(arrived->request, now, commands);
        } else if (const auto* started = std::get_if<request::AnswerStarted>(&event)) {
            const auto found = this->pending.find(started->request);
            if (found == this->pending.end() || found->second.relayed)
                return;
            found->second.relayed = true;
            commands.emplace_back(request::RelayAnswer { .request = started->request, .attempt = started->attempt });
        } else if (const auto* ended = std::get_if<request::AttemptEnded>(&event)) {
            this->onEnded(*ended, now, commands);
        }
    }

    std::size_t activeRequestCount() const { return this->pending.size(); }
    std::size_t attemptCount() const { return this->pending.size() - this->waiting.size(); }

private:
    struct Pending {
        unsigned attempts = 0;
        bool relayed = false;
        std::shared_ptr<core::SlotCounter> slot;
    };

    void start(core::RequestId id, core::TimePoint now, request::Commands& commands)
    {
        Pending& request = this->pending[id];
        const auto server = this->chooser.choose({ .table = *this->table, .classIndex = core::ClassIndex { 0 } }, this->random, now);
        if (!server) {
            this->waiting.push_back(id);
            return;
        }
        ++request.attempts;
        request.slot = this->table->at(*server).slotCounter;
        commands.emplace_back(request::SendAttempt { .request = id, .attempt = core::AttemptId { ++this->lastAttempt }, .server = *server, .table = this->table, .deadline = now + std::chrono::seconds(1) });
    }

    void onEnded(const request::AttemptEnded& ended, core::TimePoint now, request::Commands& commands)
    {
        const auto found = this->pending.find(ended.request);
        if (found == this->pending.end())
            return;
        if (found->second.slot)
            found->second.slot->release();
        if (found->second.relayed || found->second.attempts >= 3) {
            if (!found->second.relayed)
                commands.emplace_back(request::Reject { .request = ended.request, .error = core::ErrorKind::ServerUnreachable, .key = {}, .retryAfter = {} });
            this->pending.erase(found);
        } else {
            this->start(ended.request, now, commands);
        }
        if (!this->waiting.empty()) {
            const core::RequestId next = this->waiting.front();
            this->waiting.pop_front();
            this->start(next, now, commands);
        }
    }

    core::RandomEngine random;
    core::SteeringTablePointer table;
    request::RoundRobin chooser;
    std::unordered_map<core::RequestId, Pending> pending;
    std::deque<core::RequestId> waiting;
    std::uint64_t lastAttempt = 0;
};

}
