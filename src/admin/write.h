#pragma once

#include "admin/command_context.h"

#include <algorithm>

namespace cranberryshed::admin {

// Filter: writes the objects that differ. Each write is conditional: the store must still have the version that was
// compared. All writes of one command have the same revision, one above the highest in the store and on the members.
// Stops at the first write that does not succeed; a repeated command continues there.
template <AdminClient ClientType>
struct WriteDifferences {
    ClientType& client;

    Step operator()(Context context, core::TimePoint) const
    {
        std::vector<const Difference*> toWrite;
        for (const Difference& difference : context.differences) {
            if (difference.change == Change::Added || difference.change == Change::Changed || difference.needsRewrite)
                toWrite.push_back(&difference);
        }
        if (toWrite.empty())
            return Step::pass(std::move(context));
        context.revision = std::max(context.maxStoreRevision, context.maxMemberRevision) + 1;
        for (const Difference* difference : toWrite) {
            core::Object object = difference->declared;
            object.version.revision = context.revision;
            WriteReport entry { .outcome = WriteOutcome::NotWritten, .declared = std::move(object), .stored = {} };
            if (!context.failure)
                this->write(context, entry, difference->stored.object.version.version);
            context.writes.push_back(std::move(entry));
        }
        return context.failure ? Step::end(std::move(context)) : Step::pass(std::move(context));
    }

private:
    void write(Context& context, WriteReport& entry, std::uint64_t expectedVersion) const
    {
        try {
            store::WriteResult result = this->client.put(entry.declared, expectedVersion);
            entry.outcome = result.written ? WriteOutcome::Written : WriteOutcome::Conflict;
            entry.stored = std::move(result.current);
            if (!result.written) {
                context.failure = core::ErrorKind::VersionConflict;
                context.failureText = entry.declared.kind + '/' + entry.declared.name + " was changed by another writer; look at both versions and run the command again";
            }
        } catch (const core::Error& error) {
            if (error.kind() == core::ErrorKind::WriteUnclear)
                entry.outcome = WriteOutcome::Unclear;
            context.failure = error.kind();
            context.failureText = error.what();
        }
    }
};

}
