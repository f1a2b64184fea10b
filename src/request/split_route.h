#pragma once

#include "request/state.h"

namespace cranberryshed::request {

// Filter: distributes the requests of a route over its classes in proportion to their weights.
//
// Each traffic thread uses smooth weighted round robin, which follows the weights exactly. The total of all threads and
// entry VMs follows them as well, without a shared counter.
struct SplitRoute {
    State& state;

    Step operator()(Context context, core::TimePoint) const
    {
        const std::string& route = context.classEntry().route;
        if (route.empty())
            return Step::pass(std::move(context));
        const std::vector<core::ClassEntry>& classes = context.table->classes;
        double total = 0;
        std::optional<core::ClassIndex> best;
        for (std::uint32_t i = 0; i < classes.size(); ++i) {
            if (classes[i].route != route || classes[i].weight <= 0)
                continue;
            total += classes[i].weight;
            double& credit = this->state.classStateOf(classes[i]).splitCredit;
            credit += classes[i].weight;
            if (!best || credit > this->state.classStateOf(context.table->at(*best)).splitCredit)
                best = core::ClassIndex { i };
        }
        if (best) {
            this->state.classStateOf(context.table->at(*best)).splitCredit -= total;
            context.classIndex = *best;
        }
        return Step::pass(std::move(context));
    }
};

}
