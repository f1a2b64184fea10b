#pragma once

#include "request/enrol.h"

#include <algorithm>

namespace cranberryshed::request {

// Filter: moves a request that waited to the steering table now in force. Its class is found by name, since
// indexes change between tables.
struct Rebind {
    State& state;

    Next<Launch> operator()(Launch launch, core::TimePoint now) const
    {
        Context& context = launch.request->context;
        if (context.table == this->state.table)
            return Next<Launch>::pass(launch);
        const std::vector<core::ClassEntry>& classes = this->state.table->classes;
        const auto found = std::ranges::find(classes, context.classEntry().name, &core::ClassEntry::name);
        if (found == classes.end()) {
            if (launch.reason != LaunchReason::Hedge)
                this->state.reject(*launch.request, core::ErrorKind::NoSuchClass, now);
            return Next<Launch>::end({});
        }
        context.classIndex = core::ClassIndex { static_cast<std::uint32_t>(found - classes.begin()) };
        context.table = this->state.table;
        return Next<Launch>::pass(launch);
    }
};

}
