#pragma once

#include "admin/blocking_admin_client.h"

#include <ostream>

namespace cranberryshed::admin {

struct WaitResult {
    std::uint64_t revision = 0; // that was waited for
    std::vector<std::string> outdatedMembers; // members that have an older one in force
    std::vector<std::string> unresponsiveMembers; // members that do not answer
};

// Asks the members again and again until all have the revision in force or the deadline passes.
WaitResult waitForMembers(BlockingAdminClient& client, const Options& options);

int printWaitResult(const WaitResult& result, const Options& options, std::ostream& output);

}
