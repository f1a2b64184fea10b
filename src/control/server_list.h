#pragma once

#include "control/pipeline_types.h"

#include <map>
#include <string>
#include <unordered_map>

namespace cranberryshed::control {

// Filter: uses the backend servers exactly as the platform's store lists them.
//
// It replaces MergeSources where the store's list is authoritative: every server registers itself there, renews its
// entry and marks it before it leaves, so a missing entry means that the server has ended. A server also announces in
// its answers that it leaves; this is known here without the store and holds whatever the list says.
class ApplyServerList {
public:
    Step operator()(ControlInputs, core::TimePoint now);

private:
    void acceptDeclarations(ControlInputs&);
    void trackEvacuations(const ControlInputs&, core::TimePoint now);
    void trackLeavingServers(const ControlInputs&, core::TimePoint now);
    BackendServer serverOf(const Context&, const core::ServerListing&, core::DomainIndex, core::TimePoint now) const;

    std::shared_ptr<const core::Declarations> declarations;
    std::set<std::string> evacuated; // failure domains evacuated at the last run
    std::map<std::string, core::TimePoint> returnedAt; // when the evacuation of a failure domain was revoked
    // The servers that announced their end in an answer to this entry VM, with the time of their last mention by the
    // store or by an answer. A server that starts again has another key, so the mark does not apply to it.
    std::unordered_map<std::uint64_t, core::TimePoint> leavingServers; // by core::serverKey()
};

// Filter: allows each class all regions of its target, without shares or limits per region.
struct AllowRegions {
    Step operator()(Context, core::TimePoint now) const;
};

}
