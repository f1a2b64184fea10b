#pragma once

#include "control/pipeline_types.h"
#include "declare/fleet_status.h"
#include "platform/store_api.h"
#include "store/lease.h"
#include "wire/asio.h"

#include <functional>
#include <memory>

namespace cranberryshed::app {

// Writes the fleet's status object, which operators read, while this member holds the status lease. The store watchers
// compete for the lease. Without a holder the status object becomes outdated, which has no other effect.
// Runs on the control thread.
class StatusWriter {
public:
    struct Options {
        std::string holder; // unique per start of the process
        core::Duration interval = std::chrono::seconds(10); // between two writes
    };

    // Returns nothing before the first steering table.
    using StatusCallback = std::function<std::optional<declare::FleetStatus>()>;

    StatusWriter(wire::asio::io_context&, platform::NativeStoreClient&, Options, StatusCallback);

    // Starts or stops competing for the lease.
    void setCompeting(bool);

    bool holdsLease(core::TimePoint now) const { return this->lease.isHeld(now); }

private:
    wire::asio::awaitable<void> writeLoop(std::shared_ptr<bool> active);
    wire::asio::awaitable<void> advanceLease();
    wire::asio::awaitable<void> writeStatus();

    wire::asio::io_context& context;
    platform::NativeStoreClient& client;
    Options options;
    StatusCallback computeCurrentStatus;
    store::Lease lease;
    store::FencedWrites writes;
    std::shared_ptr<bool> activeFlag;
};

// Computes the status of the whole fleet from the load digests of all failure domains and from the drains.
declare::FleetStatus computeStatus(const control::ControlInputs&, const control::ControlOutput&, core::WallTime wallTime);

}
