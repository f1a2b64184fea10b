#pragma once

#include "app/control_loop.h"
#include "app/health_poller.h"
#include "app/status_writer.h"
#include "app/store_sync.h"
#include "control/pipeline.h"

#include <set>

namespace cranberryshed::app {

// ControlInputs for operators who declare regions, classes, targets and batches as objects of cranberryshed's own kinds.
//
// Some members watch the store and share what it holds; the health endpoints of the home servers are polled.
class DeclaredFeed {
public:
    struct Options {
        StoreSync::Options store;
        HealthPoller::Options health;
    };

    using Pipe = control::ControlPipe;
    static Pipe makePipe() { return control::makeControlPipe(); }

    DeclaredFeed(wire::asio::io_context&, wire::Peer&, const ControlState&, Options);

    void start() { }
    void stop();
    void updateInputs(const fleet::Snapshot&, bool objectsChanged, control::ControlInputs&, core::TimePoint now);
    void onPublished();
    StoreState storeState(core::TimePoint now) const;

private:
    void readObjects(const fleet::Snapshot&, control::ControlInputs&);
    void publishLeavingServers();
    void pollHomeServers();
    std::optional<declare::Status> computeCurrentStatus() const;

    wire::Peer& peer;
    const ControlState& state;
    StoreSync store;
    std::vector<control::HealthReport> reports; // not yet read
    HealthPoller health;
    StatusWriter status;
    std::set<std::string> publishedLeavingServers; // servers whose leaving this VM has told the others
    std::uint64_t declarationsHash = 0; // of the declared objects' names and versions
    std::uint64_t addressBlocksHash = 0; // of those that the caller block table is built from
};

}
