#pragma once

#include "control/pipeline_types.h"
#include "lookup/rank.h"

#include <unordered_map>

namespace cranberryshed::control {

// Filter: builds the steering table. Keeps each backend server's slot count by name across tables, so that a new table
// counts the requests in flight of the last one.
class BuildSteeringTable {
public:
    core::Outcome<ControlOutput, SkipReason> operator()(Context, core::TimePoint now);

private:
    void addRegionsAndDomains(core::SteeringTable&, const Context&) const;
    void addServers(core::SteeringTable&, const Context&);
    static std::optional<double> serviceUtilization(const Context&, const std::string& service);
    void addClasses(core::SteeringTable&, const Context&) const;
    void addMembers(core::SteeringTable&, const Context&) const;
    void addLookup(core::SteeringTable&, Context&, core::TimePoint now);

    std::uint64_t generation = 0;
    std::unordered_map<std::string, std::shared_ptr<core::SlotCounter>> slotCounters; // by name of the server
    lookup::MemberShareController memberShareController;
    std::shared_ptr<const core::Declarations> blocksFrom; // the declarations that `blocks` was built from
    std::shared_ptr<const core::AddressBlockTable> blocks;
    std::string blocksError; // why `blocks` does not follow the last declarations; empty: it does
};

}
