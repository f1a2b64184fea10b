#pragma once

#include "admin/command_context.h"

#include <ostream>

namespace cranberryshed::admin {

// Prints what a command found and did, as text or as one JSON object. Returns the exit code, see core/errors.cpp.
int report(const Context& context, std::ostream& output);

// Prints an error in the chosen form and returns its exit code.
int reportError(const core::Error& error, OutputFormat form, std::ostream& output);

}
