#include "app/entry_vm_impl.h"
#include "wire/session.h"

namespace cranberryshed::app {

DeclaredFeed::Options NativeSetup::feedOptions(const EntryVmOptions& options, const std::string& writer)
{
    return { .store = { .endpoint = options.storeAddress, .writer = writer, .seed = options.randomSeed }, .health = {} };
}

void NativeSetup::listen(const EntryVmOptions&, wire::Worker& worker, wire::tcp::endpoint& caller)
{
    caller = worker.listen(caller, wire::serveNativeCaller);
}

template class BasicEntryVm<NativeSetup>;

}
