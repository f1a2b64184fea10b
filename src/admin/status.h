#pragma once

#include "admin/blocking_admin_client.h"
#include "declare/fleet_status.h"

#include <ostream>

namespace cranberryshed::admin {

// Declared targets and batches, with the latest measurements from the status object.
struct StatusView {
    core::Declarations declarations;
    std::optional<declare::FleetStatus> measured; // nothing if no member has written a status yet
};

// Reads the targets, the batches and the status object from the store.
StatusView fetchStatus(BlockingAdminClient& client);

// Prints one line per class and per batch, or one JSON object. Marks targets that are not met. Returns the exit code,
// which is always 0.
int printStatus(const StatusView& view, const Options& options, std::ostream& output);

}
