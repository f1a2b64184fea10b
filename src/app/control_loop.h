#pragma once

#include "app/health.h"
#include "app/status_writer.h"
#include "app/store_sync.h"
#include "control/demand.h"
#include "control/pipeline.h"
#include "request/events.h"
#include "wire/peer.h"

#include <functional>
#include <memory>

namespace cranberryshed::app {

// The control thread's state: gathers the sources, runs the control pipeline once a second and on changes,
// and hands out each new steering table. Every member is called on the control thread.
class ControlLoop {
public:
    struct Options {
        fleet::NodeOptions node;
        StoreSync::Options store;
        HealthPoller::Options health;
        core::Duration interval = std::chrono::seconds(1); // between runs without a change
    };

    using TakeTable = std::function<void(core::SteeringTablePointer)>;

    ControlLoop(wire::asio::io_context&, Options, TakeTable);

    // Joins the fleet. The address for callers has to be known by now.
    void start();

    // Takes what traffic observed.
    void observe(request::Observations);

    // Announces that this entry VM leaves: look-ups stop naming it.
    void leave();

    // Ends the membership and all waits.
    void stop();

    const core::SteeringTablePointer& table() const { return this->published.table; }
    const control::Published& lastPublished() const { return this->published; }
    const wire::Peer& peer() const { return this->peerNode; }
    bool storeIsUp() const { return this->store.storeIsUp(); }
    bool watchesStore() const { return this->store.isWatching(); }
    bool holdsStatusLease(core::TimePoint now) const { return this->status.holdsLease(now); }

private:
    wire::Task<void> tickLoop();
    void scheduleRun();
    void run();
    void readObjects(const fleet::Snapshot&);
    void readMembers(const fleet::Snapshot&);
    void readItems(const fleet::Snapshot&);
    void shareLeavingServers();
    void pollHomeServers();
    std::optional<declare::Status> measuredStatus() const;
    void take(const request::ServerObserved&);
    void take(const request::CrashObserved&);
    void take(const request::SuspectCleared&);
    void take(const request::DemandObserved&);

    wire::asio::io_context& context;
    Options options;
    TakeTable takeTable;
    wire::Peer peerNode;
    StoreSync store;
    HealthPoller health;
    StatusWriter status;
    wire::Timer timer;
    control::Sources sources;
    control::ControlPipe pipe = control::makeControlPipe();
    control::DemandMeter demand;
    std::set<std::string> sharedLeaving; // servers whose leaving this VM has told the others
    control::Published published;
    fleet::Changes seen;
    std::uint64_t declaredHash = 0; // of the declared objects' names and versions
    std::uint64_t placesHash = 0; // of those that the caller block table is built from
    bool objectsRead = false;
    bool runScheduled = false;
    bool stopped = false;
};

}
