#pragma once

#include "request/send.h"

namespace cranberryshed::request {

// Filter: sends suspects, each to a server where nothing else runs as far as this entry VM can tell.
//
// A server that just failed is idle too, so it is taken last. An idle server is taken if there is one. Otherwise a busy one is closed to this process's other requests, so
// that it empties. Servers of the home part go first: other entry VMs send little work there. The others are
// ordered by a hash of fingerprint and server, so that two entry VMs are unlikely to isolate different suspects
// on the same server.
struct IsolateSuspects {
    State& state;

    Next<Done> operator()(Done, core::TimePoint now) const;

private:
    bool tryRun(ActiveRequest&, core::TimePoint now) const;
    bool reserve(ActiveRequest&, core::TimePoint now) const;
    std::vector<core::ServerIndex> candidates(const ActiveRequest&, core::TimePoint now) const;
};

}
