#pragma once

#include "admin/command_context.h"
#include "declare/kinds.h"

#include <algorithm>

namespace cranberryshed::admin {

// Filter: reads the declarations of the given files and directories.
struct ReadFiles {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: reads the operators' objects and the list of VMs from the store, and the revisions in force on the given
// members.
template <AdminClient ClientType>
struct ReadStore {
    ClientType& client;

    Step operator()(Context context, core::TimePoint) const
    {
        try {
            for (std::size_t i = 0; i < declare::operatorKindCount; ++i) {
                for (store::StoredObject& stored : this->client.list(std::string(core::nameOf(static_cast<declare::Kind>(i)))).objects) {
                    context.maxStoreRevision = std::max(context.maxStoreRevision, stored.object.version.revision);
                    context.stored[{ stored.object.kind, stored.object.name }] = std::move(stored);
                }
            }
            context.servers = this->client.serverList();
        } catch (const core::Error& error) {
            return fail(std::move(context), error.kind(), error.what());
        }
        for (const auto& [member, revision] : this->client.revisionsInForce(context.options.memberAddresses))
            context.maxMemberRevision = std::max(context.maxMemberRevision, revision.value_or(0));
        return Step::pass(std::move(context));
    }
};

}
