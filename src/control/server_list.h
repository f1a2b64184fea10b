#pragma once

#include "control/pipeline_types.h"

#include <map>
#include <string>

namespace cranberryshed::control {

// Filter: takes the backend servers as the platform's store lists them.
//
// It stands in place of MergeSources where the store's list is the authority: every server registers itself there, keeps
// its entry alive and states there that it leaves, so an entry that is gone means a server that is gone.
class ApplyServerList {
public:
    Step operator()(ControlInputs, core::TimePoint now);

private:
    void acceptDeclarations(ControlInputs&);
    void noteEvacuations(const ControlInputs&, core::TimePoint now);
    BackendServer serverOf(const Context&, const core::ServerListing&, core::DomainIndex, core::TimePoint now) const;

    std::shared_ptr<const core::Declarations> declarations;
    std::set<std::string> evacuated; // failure domains at the last run
    std::map<std::string, core::TimePoint> returnedAt; // when a failure domain's evacuation was taken back
};

// Filter: lets each class use all the regions that its target allows, without shares or limits per region.
struct AllowRegions {
    Step operator()(Context, core::TimePoint now) const;
};

}
