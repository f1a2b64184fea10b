#pragma once

#include "admin/command_context.h"

namespace cranberryshed::admin {

// Filter: checks each declared object against the schema of its kind and the store's size limit. Ends the pipe if there
// is a problem in any file or object.
struct CheckObjects {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: checks the declarations against each other, together with the objects that are only in the store. Checks that
// depend on the time are skipped for the objects that CompareWithStore found unchanged. Ends the pipe if there is a
// problem.
struct CheckConsistency {
    Step operator()(Context, core::TimePoint now) const;
};

}
