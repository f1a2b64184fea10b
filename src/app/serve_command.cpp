#include "app/commands.h"
#include "app/entry_vm.h"
#include "core/errors.h"

namespace cranberryshed::app {

int serveCommand(const Arguments&)
{
    throw core::Error(core::ErrorKind::BadUsage, "serve is not available yet");
}

}
