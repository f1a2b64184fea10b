#pragma once

#include "app/control_loop.h"
#include "app/health_poller.h"
#include "app/status_writer.h"
#include "app/store_sync.h"
#include "control/pipeline.h"

#include <set>

namespace cranberryshed::app {

// Feed for operators who declare regions, classes, targets and batches as objects of cranberryshed's own kinds.
//
// Some members watch the platform's store and publish its objects to the fleet, so the load on the store does not grow
// with the fleet. Each member polls the health endpoints of the servers of its home subset.
class DeclaredFeed {
public:
    struct Options {
        StoreSync::Options store;
        HealthPoller::Options health;
    };

    using Pipe = control::ControlPipe;
    static Pipe makePipe() { return control::makeControlPipe(); }

    DeclaredFeed(wire::asio::io_context&, wire::PeerNode&, const ControlState&, Options);

    void start() { }
    void stop();
    void updateInputs(const fleet::Snapshot&, bool objectsChanged, control::ControlInputs&, core::TimePoint now);
    void onPublished();
    StoreState storeState(core::TimePoint now) const;

private:
    void readObjects(const fleet::Snapshot&, control::ControlInputs&);
    void publishLeavingServers();
    void pollHomeServers();
    std::optional<declare::FleetStatus> computeCurrentStatus() const;

    wire::PeerNode& peer;
    const ControlState& state;
    StoreSync storeSync;
    std::vector<control::HealthReport> pendingReports; // received since the last call of updateInputs()
    HealthPoller healthPoller;
    StatusWriter statusWriter;
    std::set<std::string> publishedLeavingServers; // leaving servers that this VM has published to the fleet
    std::uint64_t declarationsHash = 0; // over names and versions of all declared objects
    std::uint64_t addressBlocksHash = 0; // over those objects that the address block table is built from
};

}
