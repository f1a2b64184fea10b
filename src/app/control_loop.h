#pragma once

#include "control/demand.h"
#include "control/pipeline_types.h"
#include "request/events.h"
#include "wire/asio.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/peer_node.h"

#include <functional>

namespace cranberryshed::app {

// Inputs of the control pipeline, and the output of the last run that published a steering table.
struct ControlState {
    control::ControlInputs inputs;
    control::ControlOutput published;
};

// The watch of one kind of objects in the platform's store.
struct WatchState {
    std::string kind;
    bool isUp = false; // the last call was answered
    std::optional<core::Duration> confirmedAgo; // since the store last answered with its newest state; empty: never
};

// Relation of this entry VM to the platform's store.
struct StoreState {
    bool isUp = false; // the store answers; only meaningful if isWatching
    bool isWatching = false; // this entry VM watches the store
    bool holdsStatusLease = false;
    std::uint64_t era = 0; // how often the store has come back from a copy; 0 if it doesn't state it
    std::vector<WatchState> watches {}; // empty if the feed doesn't track them
};

// Read access to the control thread's state for the admin pages. Valid during one call on that thread.
struct ControlView {
    const ControlState& state;
    const wire::PeerNode& peer;
    StoreState store;
};

// A feed sets the inputs of the control pipeline that do not come from the other entry VMs. It also determines the type
// of the pipeline.
template <typename Candidate>
concept InputFeed = requires(Candidate& feed, const fleet::Snapshot& snapshot, control::ControlInputs& inputs, core::TimePoint now)
{
    typename Candidate::Options;
    typename Candidate::Pipe;
    {
        Candidate::makePipe()
        } -> std::same_as<typename Candidate::Pipe>;
    feed.start();
    feed.stop();
    // Updates the inputs. `objectsChanged`: the fleet's objects differ from those of the last call.
    feed.updateInputs(snapshot, true, inputs, now);
    // Called after each publication of a steering table.
    feed.onPublished();
    {
        feed.storeState(now)
        } -> std::same_as<StoreState>;
};

// Gathers the inputs of the control pipeline, runs the pipeline once a second and after changes of the fleet, and
// passes on each new steering table. Owns the control thread's state; all member functions are called on that thread.
template <InputFeed FeedType>
class ControlLoop {
public:
    struct Options {
        fleet::NodeOptions node;
        typename FeedType::Options feed;
        core::Duration interval = std::chrono::seconds(1); // between two periodic runs
    };

    using TableCallback = std::function<void(core::SteeringTablePointer)>;

    ControlLoop(wire::asio::io_context& owner, Options loopOptions, TableCallback tableCallback)
        : context(owner)
        , options(std::move(loopOptions))
        , onTable(std::move(tableCallback))
        , peerNode(owner, this->options.node)
        , timer(owner.get_executor())
        , feed(owner, this->peerNode, this->state, this->options.feed)
    {
        this->state.inputs.self = this->options.node.name;
        this->state.inputs.selfDomain = this->options.node.domain;
    }

    // Joins the fleet. Options::node must already hold the bound address for callers.
    void start()
    {
        this->peerNode.start([this] { this->scheduleRun(); });
        this->feed.start();
        wire::asio::co_spawn(this->context, this->tickLoop(), wire::asio::detached);
    }

    // Records observations of the traffic threads as inputs of the next run.
    void observe(const request::Observations& observations)
    {
        for (const request::Observation& observation : observations)
            std::visit([this](const auto& typed) { this->record(typed); }, observation);
    }

    // Announces that this entry VM is leaving, so look-ups no longer return it.
    void leave()
    {
        this->peerNode.announceLeaving();
        this->state.inputs.leaving = true;
        this->run();
    }

    // Ends the membership in the fleet and cancels all pending waits.
    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
        this->feed.stop();
        this->peerNode.stop();
    }

    const ControlState& controlState() const { return this->state; }
    const wire::PeerNode& peer() const { return this->peerNode; }
    StoreState storeState(core::TimePoint now) const { return this->feed.storeState(now); }

private:
    wire::Task<void> tickLoop();
    void scheduleRun();
    void run();
    void updateMembers(const fleet::Snapshot&);
    void logMemberChange(const fleet::MemberRecord&);
    void updateItems(const fleet::Snapshot&, core::TimePoint now);
    void record(const request::AttemptObserved&);
    void record(const request::CrashObserved&);
    void record(const request::SuspectCleared&);
    void record(const request::RequestCrashed&);
    void record(const request::CrashesForgotten&);
    void record(const request::DemandObserved&);

    wire::asio::io_context& context;
    Options options;
    TableCallback onTable;
    ControlState state;
    wire::PeerNode peerNode;
    wire::Timer timer;
    FeedType feed;
    typename FeedType::Pipe pipe = FeedType::makePipe();
    control::DemandMeter demandMeter;
    std::map<std::string, core::MemberState> loggedMemberStates; // by member name
    fleet::ChangeCounts lastChanges; // at the last run
    bool hasReadObjects = false;
    bool runScheduled = false;
    bool stopped = false;
};

}
