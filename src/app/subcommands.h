#pragma once

#include "app/arguments.h"

namespace cranberryshed::app {

// Each subcommand returns the exit code and throws core::Error for bad input.

int serveCommand(const Arguments&);
int devCommand(const Arguments&);
int loadCommand(const Arguments&);
int dumpCommand(const Arguments&);
int explainCommand(const Arguments&);
int checkCommand(const Arguments&);
int diffCommand(const Arguments&);
int applyCommand(const Arguments&);
int getCommand(const Arguments&);
int statusCommand(const Arguments&);
int waitCommand(const Arguments&);

}
