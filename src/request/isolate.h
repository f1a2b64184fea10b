#pragma once

#include "request/send.h"

namespace cranberryshed::request {

// Filter: runs each waiting suspect isolated, on a server where no other request runs as far as this entry VM can tell.
//
// The candidates are ordered by these criteria: no recent failure (a server that just failed is idle too); idle; in the
// home subset, because other entry VMs send little work there; fewest requests in flight; a hash of fingerprint and
// server, so that two entry VMs are unlikely to isolate different suspects on the same server. A busy server is
// reserved: it gets no other requests from this process until the isolated run has ended, and so becomes idle.
struct IsolateSuspects {
    State& state;

    Next<Done> operator()(Done, core::TimePoint now) const;

private:
    bool tryRun(ActiveRequest&, core::TimePoint now) const;
    bool reserve(ActiveRequest&, core::TimePoint now) const;
    std::vector<core::ServerIndex> candidates(const ActiveRequest&, core::TimePoint now) const;
};

}
