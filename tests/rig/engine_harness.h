#pragma once

#include "request/engine.h"
#include "rig/tables.h"

#include <deque>

namespace cranberryshed::rig {

// Drives one engine event by event, with a clock under the test's control. Commands are returned, observations are
// collected.
struct EngineHarness {
    explicit EngineHarness(TableOptions tableOptions = {}, request::EngineOptions engineOptions = {}, request::CrashOptions crashOptions = {})
        : table(makeTable(tableOptions))
        , shared(request::makeSharedState("vm", core::Incarnation { 1 }, 1, {}, crashOptions))
        , engine(engineOptions, {}, shared, 1)
    {
        this->engine.setTable(this->table);
    }

    // Returns the commands that the engine issues for the event.
    request::Commands handle(const request::Event& event)
    {
        request::Commands commands;
        this->engine.handle(event, this->now, commands, this->observations);
        return commands;
    }

    // Handles the arrival of a request. Its fingerprint is `content`, or its id if `content` is 0.
    request::Commands arrive(std::uint64_t id, bool nonIdempotent = false, const std::string& key = {}, std::uint64_t content = 0, std::uint32_t caller = 0)
    {
        request::RequestArrived arrival;
        arrival.request = core::RequestId { id };
        arrival.method = "GET";
        arrival.target = nonIdempotent ? "/write" : "/read";
        arrival.key = key;
        arrival.fingerprint = core::Fingerprint { content == 0 ? id : content };
        arrival.caller = core::CallerAddress { caller };
        return this->handle(arrival);
    }

    request::Commands endAttempt(const request::SendAttempt& sent, core::AttemptResult result)
    {
        return this->handle(request::AttemptEnded { .request = sent.request, .attempt = sent.attempt, .result = result, .status = 0, .retryAfter = {} });
    }

    // Handles the result of a check of the attempt's server.
    request::Commands endCheck(const request::SendAttempt& sent, core::Reachability reachability)
    {
        return this->handle(request::ServerChecked { .serverKey = sent.table->at(sent.server).key, .reachability = reachability });
    }

    // Handles the start and the end of an answer with status 200.
    request::Commands answer(const request::SendAttempt& sent)
    {
        request::Commands commands = this->handle(request::AnswerStarted { .request = sent.request, .attempt = sent.attempt, .status = 200 });
        const request::Commands endCommands = this->endAttempt(sent, core::AttemptResult::Answered);
        commands.insert(commands.end(), endCommands.begin(), endCommands.end());
        return commands;
    }

    // Advances the clock by `elapsed` and fires the request's timer.
    request::Commands fireTimer(std::uint64_t id, core::Duration elapsed)
    {
        this->now += elapsed;
        return this->handle(request::TimerDue { .request = core::RequestId { id } });
    }

    std::uint32_t reservedSlots() const
    {
        std::uint32_t sum = 0;
        for (const core::ServerEntry& server : this->table->servers)
            sum += server.slotCounter->inFlight();
        return sum;
    }

    core::TimePoint now { std::chrono::hours(3) };
    std::shared_ptr<core::SteeringTable> table;
    request::SharedState shared;
    request::Engine<request::RoundRobin> engine;
    request::Observations observations;
};

// Returns the first command of the type, or nothing.
template <typename CommandType>
std::optional<CommandType> findCommand(const request::Commands& commands)
{
    for (const request::Command& command : commands) {
        if (const auto* typed = std::get_if<CommandType>(&command))
            return *typed;
    }
    return std::nullopt;
}

template <typename ObservationType>
std::vector<ObservationType> observationsOf(const request::Observations& observations)
{
    std::vector<ObservationType> found;
    for (const request::Observation& observation : observations) {
        if (const auto* typed = std::get_if<ObservationType>(&observation))
            found.push_back(*typed);
    }
    return found;
}

}
