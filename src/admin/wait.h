#pragma once

#include "admin/blocking_admin_client.h"

#include <ostream>

namespace cranberryshed::admin {

// The state of the members at the end of a wait.
struct WaitResult {
    std::uint64_t revision = 0; // the revision to wait for
    std::vector<std::string> outdatedMembers; // members with an older revision in force
    std::vector<std::string> unresponsiveMembers; // members without a valid answer to the last request
};

// Polls the members every 200 ms until all have the revision in force or the timeout expires.
WaitResult waitForMembers(BlockingAdminClient& client, const Options& options);

// Prints the members on which the revision is not in force. Returns the exit code.
int printWaitResult(const WaitResult& result, const Options& options, std::ostream& output);

}
