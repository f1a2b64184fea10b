#pragma once

#include "control/demand.h"
#include "control/pipeline_types.h"
#include "request/events.h"
#include "wire/asio.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/peer.h"

#include <functional>

namespace cranberryshed::app {

// What the control thread knows and what it made of it last.
struct ControlState {
    control::ControlInputs inputs;
    control::ControlOutput published;
};

// How this entry VM stands to the platform's store.
struct StoreState {
    bool isUp = false; // the store answers; only meaningful while watching
    bool isWatching = false;
    bool holdsStatusLease = false;
};

// What the pages for operators show of the control thread. Valid during one call on that thread.
struct ControlView {
    const ControlState& state;
    const wire::Peer& peer;
    StoreState store;
};

// Fills the inputs of the control pipeline that do not come from the other entry VMs, and names the pipeline type.
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
    // Fills in the inputs. `objectsChanged`: the fleet's objects differ from those of the last call.
    feed.updateInputs(snapshot, true, inputs, now);
    // A new steering table has been published.
    feed.onPublished();
    {
        feed.storeState(now)
        } -> std::same_as<StoreState>;
};

// The control thread's state: gathers the inputs, runs the control pipeline once a second and on changes,
// and hands out each new steering table. Every member is called on the control thread.
template <InputFeed FeedType>
class ControlLoop {
public:
    struct Options {
        fleet::NodeOptions node;
        typename FeedType::Options feed;
        core::Duration interval = std::chrono::seconds(1); // between runs without a change
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

    // Joins the fleet. The address for callers has to be known by now.
    void start()
    {
        this->peerNode.start([this] { this->scheduleRun(); });
        this->feed.start();
        wire::asio::co_spawn(this->context, this->tickLoop(), wire::asio::detached);
    }

    // Takes what traffic observed.
    void observe(const request::Observations& observations)
    {
        for (const request::Observation& observation : observations)
            std::visit([this](const auto& typed) { this->record(typed); }, observation);
    }

    // Announces that this entry VM leaves: look-ups stop naming it.
    void leave()
    {
        this->peerNode.announceLeaving();
        this->state.inputs.leaving = true;
        this->run();
    }

    // Ends the membership and all waits.
    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
        this->feed.stop();
        this->peerNode.stop();
    }

    const ControlState& controlState() const { return this->state; }
    const wire::Peer& peer() const { return this->peerNode; }
    StoreState storeState(core::TimePoint now) const { return this->feed.storeState(now); }

private:
    wire::Task<void> tickLoop();
    void scheduleRun();
    void run();
    void readMembers(const fleet::Snapshot&);
    void noteMember(const fleet::MemberRecord&);
    void readItems(const fleet::Snapshot&);
    void record(const request::AttemptObserved&);
    void record(const request::CrashObserved&);
    void record(const request::SuspectCleared&);
    void record(const request::DemandObserved&);

    wire::asio::io_context& context;
    Options options;
    TableCallback onTable;
    ControlState state;
    wire::Peer peerNode;
    wire::Timer timer;
    FeedType feed;
    typename FeedType::Pipe pipe = FeedType::makePipe();
    control::DemandMeter demand;
    std::map<std::string, core::MemberState> memberStates; // as last logged, by name
    fleet::ChangeCounts seen;
    bool objectsRead = false;
    bool runScheduled = false;
    bool stopped = false;
};

}
