#pragma once

#include "control/sources.h"

namespace cranberryshed::control {

// Filter: merges the list, health reports and own traffic into one state per backend server.
class Merge {
public:
    Step operator()(Sources, core::TimePoint now);
};

}
