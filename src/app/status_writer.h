#pragma once

#include "control/pipeline_types.h"
#include "declare/status.h"
#include "platform/store_api.h"
#include "store/lease.h"
#include "wire/asio.h"

#include <functional>
#include <memory>

namespace cranberryshed::app {

// Writes the fleet's status object for operators, while this member holds the lease for it. The watchers of the
// store compete for the lease. Without a holder the status is old and nothing else happens.
// Runs on the control thread.
class StatusWriter {
public:
    struct Options {
        std::string holder; // unique per start of the process
        core::Duration interval = std::chrono::seconds(10); // between two writes
    };

    // Returns nothing while there is nothing to report yet.
    using StatusCallback = std::function<std::optional<declare::Status>()>;

    StatusWriter(wire::asio::io_context&, platform::OwnStoreClient&, Options, StatusCallback);

    // Competes for the lease from now on, or stops to.
    void setCompeting(bool);

    bool holdsLease(core::TimePoint now) const { return this->lease.isHeld(now); }

private:
    wire::asio::awaitable<void> loop(std::shared_ptr<bool> active);
    wire::asio::awaitable<void> advanceLease();
    wire::asio::awaitable<void> writeStatus();

    wire::asio::io_context& context;
    platform::OwnStoreClient& client;
    Options options;
    StatusCallback computeCurrentStatus;
    store::Lease lease;
    store::FencedWrites writes;
    std::shared_ptr<bool> activeFlag;
};

// What the digests of all failure domains and the drains say about the fleet as a whole.
declare::Status computeStatus(const control::ControlInputs&, const control::ControlOutput&, core::WallTime wallTime);

}
