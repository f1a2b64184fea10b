#pragma once

#include "admin/options.h"

#include <ostream>

namespace cranberryshed::admin {

// The operators' commands. Each prints its result to `output` and returns the exit code; it does not throw core::Error.
// Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another writer, 4 store unavailable, 5 unclear whether a
// write took effect, 6 not in force on every live member.

// Checks declarations in files, without the store.
int check(const Options& options, std::ostream& output);

// Prints how the declarations differ from those in the store.
int diff(const Options& options, std::ostream& output);

// Checks all declarations, prints how they differ from those in the store, and writes those that differ. A repeated
// command writes nothing.
int apply(const Options& options, std::ostream& output);

// Prints objects of the store: all objects, those of one kind, or a single one.
int get(const Options& options, std::ostream& output);

// Prints targets with the measurements in the status object, and drains with their dates.
int status(const Options& options, std::ostream& output);

// Waits until the accepted revision is in force on every given member. If the timeout expires, prints the members on
// which it is not in force.
int wait(const Options& options, std::ostream& output);

}
