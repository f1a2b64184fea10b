#pragma once

#include "control/region_plan.h"

namespace cranberryshed::control {

// Filter: takes this VM's row of the region plan and moves towards it in bounded steps.
//
// A spill-over grows by at most a fifth of the class's traffic a second and shrinks by a tenth, and at once where
// the receiving region's room or the link requires it. Changes below 3 % are not followed. A change of a class's
// allowed regions is a planned shift: it moves at most the cap's share a minute.
class ShiftRegionShares {
public:
    Step operator()(Context, core::TimePoint now);

private:
    void matchDeclarations(const core::Declarations&);
    void admit(const core::Declarations&, double minutes);
    void moveTowards(const RegionPlan&, std::size_t own, double seconds);
    void limitToRoom(const RegionPlanInput&, const RegionPlan&, std::size_t own);
    void limitToLinks(const RegionPlanInput&, std::size_t own);

    std::vector<std::string> classNames; // whose state is kept below
    std::vector<std::string> regionNames;
    std::vector<std::vector<double>> allowedShares; // by class, by region
    std::vector<std::vector<double>> shares; // by class, by region; empty before the first plan
    bool shifting = false; // a change of allowed regions is under way
    core::TimePoint changedAt {};
};

}
