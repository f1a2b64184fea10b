#pragma once

#include "admin/command_context.h"

#include <ostream>

namespace cranberryshed::admin {

// Prints the problems, differences, writes and error of a command, as text or as one JSON object. Returns the exit
// code, see core/errors.cpp.
int report(const Context& context, std::ostream& output);

// Prints an error in the given format and returns its exit code.
int reportError(const core::Error& error, OutputFormat format, std::ostream& output);

}
