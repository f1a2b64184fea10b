#pragma once

#include "request/choose.h"
#include "request/events.h"

#include <deque>
#include <unordered_map>

namespace cranberryshed::rig {

// A simple request engine, for comparison with request::Engine. It has no request keys, no retry budget and no
// suspects, retries every failed request immediately, up to three attempts, and reports "not run" when the last one
// fails.
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
            this->openRequests[arrived->request] = {};
            this->tryStart(arrived->request, now, commands);
        } else if (const auto* started = std::get_if<request::AnswerStarted>(&event)) {
            const auto found = this->openRequests.find(started->request);
            if (found == this->openRequests.end() || found->second.isRelayed)
                return;
            found->second.isRelayed = true;
            commands.emplace_back(request::RelayAnswer { .request = started->request, .attempt = started->attempt });
        } else if (const auto* ended = std::get_if<request::AttemptEnded>(&event)) {
            this->onEnded(*ended, now, commands);
        }
    }

    std::size_t activeRequestCount() const { return this->openRequests.size(); }
    std::size_t attemptCount() const { return this->openRequests.size() - this->waitingRequests.size(); }

private:
    struct OpenRequest {
        unsigned attempts = 0;
        bool isRelayed = false;
        std::shared_ptr<core::SlotCounter> slot;
    };

    void tryStart(core::RequestId id, core::TimePoint now, request::Commands& commands)
    {
        OpenRequest& request = this->openRequests[id];
        const auto server = this->chooser.choose({ .table = *this->table, .classIndex = core::ClassIndex { 0 } }, this->random, now);
        if (!server) {
            this->waitingRequests.push_back(id);
            return;
        }
        ++request.attempts;
        request.slot = this->table->at(*server).slotCounter;
        commands.emplace_back(request::SendAttempt { .request = id, .attempt = core::AttemptId { ++this->lastAttempt }, .server = *server, .table = this->table, .deadline = now + std::chrono::seconds(1) });
    }

    void onEnded(const request::AttemptEnded& ended, core::TimePoint now, request::Commands& commands)
    {
        const auto found = this->openRequests.find(ended.request);
        if (found == this->openRequests.end())
            return;
        if (found->second.slot)
            found->second.slot->release();
        if (found->second.isRelayed || found->second.attempts >= 3) {
            if (!found->second.isRelayed)
                commands.emplace_back(request::Reject { .request = ended.request, .error = core::ErrorKind::ServerUnreachable, .key = {}, .retryAfter = {} });
            this->openRequests.erase(found);
        } else {
            this->tryStart(ended.request, now, commands);
        }
        if (!this->waitingRequests.empty()) {
            const core::RequestId next = this->waitingRequests.front();
            this->waitingRequests.pop_front();
            this->tryStart(next, now, commands);
        }
    }

    core::RandomEngine random;
    core::SteeringTablePointer table;
    request::RoundRobin chooser;
    std::unordered_map<core::RequestId, OpenRequest> openRequests;
    std::deque<core::RequestId> waitingRequests;
    std::uint64_t lastAttempt = 0;
};

}
