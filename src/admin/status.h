#pragma once

#include "admin/blocking_admin_client.h"
#include "declare/fleet_status.h"

#include <ostream>

namespace cranberryshed::admin {

// Targets and drains as declared, with what the status object says about them.
struct StatusView {
    core::Declarations declarations;
    std::optional<declare::FleetStatus> measured; // nothing if no member has written one yet
};

StatusView fetchStatus(BlockingAdminClient& client);

// Prints one line per class and per batch. A target that is not met is marked. Returns 0.
int printStatus(const StatusView& view, const Options& options, std::ostream& output);

}
