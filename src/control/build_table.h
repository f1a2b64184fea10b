#pragma once

#include "control/pipeline_types.h"
#include "lookup/rank.h"

#include <unordered_map>

namespace cranberryshed::control {

// Filter: builds the steering table. Keeps each backend server's slot count by name across tables.
class BuildSteeringTable {
public:
    core::Outcome<ControlOutput, SkipReason> operator()(Context, core::TimePoint now);

private:
    void addPlaces(core::SteeringTable&, const Context&) const;
    void addServers(core::SteeringTable&, const Context&);
    static std::optional<double> serviceUtilization(const Context&, const std::string& service);
    void addClasses(core::SteeringTable&, const Context&) const;
    void addMembers(core::SteeringTable&, const Context&) const;
    void addLookup(core::SteeringTable&, Context&, core::TimePoint now);

    std::uint64_t generation = 0;
    std::unordered_map<std::string, std::shared_ptr<core::SlotCounter>> slotCounters;
    lookup::MemberShareController memberShareController;
    std::shared_ptr<const core::Declarations> blocksFrom; // the declarations that `blocks` was built from
    std::shared_ptr<const core::AddressBlockTable> blocks;
    std::string blocksError; // why the blocks of the last declarations are not in force
};

}
