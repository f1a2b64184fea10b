#pragma once

#include "control/region_plan.h"

namespace cranberryshed::control {

// Filter: moves this VM's region shares in bounded steps towards its row of the region plan.
//
// Per second, the share of a remote region grows by at most a fifth of the class's traffic and shrinks by at most a
// tenth. It shrinks at once where the receiving region's spare slots or the link's capacity require it. Changes below
// 3 % are ignored. A change of a class's allowed regions is a planned shift, so it moves at most the class's shift
// cap per minute.
class ShiftRegionShares {
public:
    Step operator()(Context, core::TimePoint now);

private:
    void matchDeclarations(const core::Declarations&);
    void updateMaxShares(const core::Declarations&, double minutes);
    void moveTowards(const RegionPlan&, std::size_t localRegion, double seconds);
    void limitToSpillSlots(const RegionPlanInput&, const RegionPlan&, std::size_t localRegion);
    void limitToLinks(const RegionPlanInput&, std::size_t localRegion);

    std::vector<std::string> classNames; // rows of the tables below
    std::vector<std::string> regionNames; // columns of the tables below
    std::vector<std::vector<double>> maxShares; // by class, by region
    std::vector<std::vector<double>> shares; // by class, by region; empty before the first plan
    bool isShiftPending = false; // a change of allowed regions is not complete yet
    core::TimePoint changedAt {};
};

}
