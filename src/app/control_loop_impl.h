#pragma once

// Definitions of the member functions of ControlLoop. Only for files that instantiate BasicEntryVm.

#include "app/control_loop.h"
#include "app/crash_items.h"
#include "request/fingerprint.h"
#include "wire/event_log.h"

namespace cranberryshed::app {

template <InputFeed FeedType>
wire::Task<void> ControlLoop<FeedType>::tickLoop()
{
    while (!this->stopped) {
        this->run();
        this->timer.expires_after(this->options.interval);
        co_await this->timer.async_wait(wire::useResult);
    }
}

// Schedules a run on the control thread. Changes that arrive before it starts share this run.
template <InputFeed FeedType>
void ControlLoop<FeedType>::scheduleRun()
{
    if (std::exchange(this->runScheduled, true))
        return;
    wire::asio::post(this->context, [this] {
        this->runScheduled = false;
        if (!this->stopped)
            this->run();
    });
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::run()
{
    const core::TimePoint now = wire::steadyNow();
    control::ControlInputs& inputs = this->state.inputs;
    const fleet::Snapshot snapshot = this->peerNode.node().snapshot(now);
    const fleet::ChangeCounts changes = this->peerNode.node().changes();
    const bool objectsChanged = !std::exchange(this->hasReadObjects, true) || changes.objects != this->lastChanges.objects;
    this->feed.updateInputs(snapshot, objectsChanged, inputs, now);
    this->updateMembers(snapshot);
    this->updateItems(snapshot, now);
    this->lastChanges = changes;
    inputs.localDemand = this->demandMeter.demand(now);
    inputs.digests = snapshot.digests;
    inputs.wallTime = wire::wallNow();
    core::Outcome outcome = this->pipe(inputs, now);
    inputs.healthReports.clear();
    inputs.attempts.clear();
    if (outcome.ended()) {
        wire::log(core::LogComponent::Control, spdlog::level::debug, "no new steering table: {}", core::nameOf(outcome.answer()));
        return;
    }
    this->state.published = std::move(outcome.output());
    this->onTable(this->state.published.table);
    this->peerNode.setLoad(this->demandMeter.loadDigest(*this->state.published.table, now));
    this->feed.onPublished();
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::updateMembers(const fleet::Snapshot& snapshot)
{
    this->state.inputs.members.clear();
    for (const fleet::MemberRecord& member : snapshot.members) {
        this->logMemberChange(member);
        if (member.fact.state == core::MemberState::Left)
            continue;
        this->state.inputs.members.push_back({ .name = member.name, .address = member.callerAddress, .domain = member.domain, .state = member.fact.state, .incarnation = member.fact.incarnation });
    }
}

// Logs a member that is new or whose state has changed since it was last logged.
template <InputFeed FeedType>
void ControlLoop<FeedType>::logMemberChange(const fleet::MemberRecord& member)
{
    const auto [known, added] = this->loggedMemberStates.try_emplace(member.name, member.fact.state);
    if (!added && std::exchange(known->second, member.fact.state) == member.fact.state)
        return;
    if (wire::tryAdmitEvent(wire::LogEvent::MemberState, member.fact.state != core::MemberState::Alive, wire::steadyNow()))
        wire::logEvent(wire::LogEvent::MemberState, { { wire::LogField::Member, member.name }, { wire::LogField::State, core::nameOf(member.fact.state) }, { wire::LogField::Domain, member.domain } });
}

// Copies the requests that may crash servers and the leaving servers, as published by all entry VMs, to the inputs.
template <InputFeed FeedType>
void ControlLoop<FeedType>::updateItems(const fleet::Snapshot& snapshot, core::TimePoint now)
{
    control::ControlInputs& inputs = this->state.inputs;
    inputs.quarantined.clear();
    inputs.suspects.clear();
    inputs.crashRecords.clear();
    inputs.leavingServers.clear();
    for (const fleet::Item& item : snapshot.items) {
        if (item.kind == fleet::ItemKind::Leaving) {
            inputs.leavingServers.push_back(item.key);
            continue;
        }
        const std::optional<core::Fingerprint> fingerprint = request::parseFingerprint(item.key);
        if (item.kind == fleet::ItemKind::Quarantine && fingerprint)
            inputs.quarantined.push_back(*fingerprint);
        if (item.kind == fleet::ItemKind::Suspect && fingerprint)
            inputs.suspects.push_back(*fingerprint);
        if (const std::optional<core::CrashRecord> record = item.kind == fleet::ItemKind::Crash ? readCrashItem(item, now) : std::nullopt; record && fingerprint)
            inputs.crashRecords.emplace(static_cast<std::uint64_t>(*fingerprint), *record);
    }
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::AttemptObserved& observed)
{
    this->state.inputs.attempts.push_back({ .server = observed.server, .at = wire::steadyNow(), .result = observed.result, .elapsed = observed.elapsed, .length = observed.length, .leaving = observed.isServerLeaving, .serverKey = observed.serverKey });
    if (observed.result == core::AttemptResult::Answered)
        this->demandMeter.addAttempt(observed.className, observed.slotTime);
}

// Publishes the requests that a backend server ran when it crashed. A suspect that ran there alone is quarantined on
// all entry VMs. Otherwise each of the requests becomes a suspect, because any of them can be the cause.
template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::CrashObserved& crash)
{
    const fleet::ItemKind kind = crash.isolated ? fleet::ItemKind::Quarantine : fleet::ItemKind::Suspect;
    for (const core::Fingerprint fingerprint : crash.inFlight) {
        wire::log(core::LogComponent::Control, spdlog::level::warn, "server {} broke while it ran request {}: {}", crash.server, request::formatFingerprint(fingerprint), core::nameOf(kind));
        this->peerNode.publish(fleet::Item { .kind = kind, .key = request::formatFingerprint(fingerprint), .remaining = fleet::itemLifetime });
    }
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::SuspectCleared& cleared)
{
    this->peerNode.publish(fleet::Item { .kind = fleet::ItemKind::Suspect, .key = request::formatFingerprint(cleared.fingerprint), .withdrawn = true, .remaining = fleet::itemLifetime });
}

// Another entry VM can have counted more crashes meanwhile; these must not be replaced by fewer.
template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::RequestCrashed& crash)
{
    wire::logEvent(wire::LogEvent::RequestCrashed, { { wire::LogField::Fingerprint, request::formatFingerprint(crash.fingerprint) }, { wire::LogField::Server, crash.server }, { wire::LogField::Crashes, std::int64_t { crash.count } } });
    const auto known = this->state.inputs.crashRecords.find(static_cast<std::uint64_t>(crash.fingerprint));
    if (known == this->state.inputs.crashRecords.end() || known->second.count < crash.count)
        this->peerNode.publish(crashItem(crash.fingerprint, crash.count));
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::CrashesForgotten& answered)
{
    if (this->state.inputs.crashRecords.erase(static_cast<std::uint64_t>(answered.fingerprint)) > 0)
        wire::logEvent(wire::LogEvent::CrashesForgotten, { { wire::LogField::Fingerprint, request::formatFingerprint(answered.fingerprint) } });
    this->peerNode.publish(crashesForgottenItem(answered.fingerprint));
}

template <InputFeed FeedType>
void ControlLoop<FeedType>::record(const request::DemandObserved& observed)
{
    this->demandMeter.addArrivals(observed.className, observed.arrived, observed.rejected, wire::steadyNow());
}

}
