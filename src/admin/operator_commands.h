#pragma once

#include "admin/options.h"

#include <ostream>

namespace cranberryshed::admin {

// The operators' commands. Each writes its result to `output`, never throws core::Error and returns the exit code:
// 0 done, 1 failed, 2 bad input, 3 conflict with another writer, 4 store unavailable, 5 unclear whether a write
// took effect, 6 not in force on every live member.

// Checks files without the store.
int check(const Options& options, std::ostream& output);

// Shows how the declarations differ from the store's.
int diff(const Options& options, std::ostream& output);

// Shows the difference, checks everything, then writes what differs. Repeating it writes nothing.
int apply(const Options& options, std::ostream& output);

// Prints objects of the store: all, of one kind, or one.
int get(const Options& options, std::ostream& output);

// Prints targets beside the outcomes in the status object, and drains with their dates.
int status(const Options& options, std::ostream& output);

// Waits until the accepted revision is in force on every member given, or names those that lack it.
int wait(const Options& options, std::ostream& output);

}
