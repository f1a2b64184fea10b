#pragma once

#include <string>
#include <vector>

namespace cranberryshed::app {

// Runs the subcommand that the first argument names. `arguments` excludes the program's name. Returns the exit code.
int runCommand(const std::vector<std::string>& arguments);

}
