#pragma once

#include "admin/command_context.h"

namespace cranberryshed::admin {

// Filter: checks each declared object against its kind's schema. Ends the pipe if any file or object is faulty.
struct CheckObjects {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: checks the declarations against each other, as they would be in the store. What is only in the store
// counts too. Objects found unchanged by CompareWithStore are not checked against the time again.
struct CheckConsistency {
    Step operator()(Context, core::TimePoint now) const;
};

}
