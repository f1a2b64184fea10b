#pragma once

#include "lookup/pipeline.h"
#include "request/keys.h"

#include <algorithm>

namespace cranberryshed::lookup {

// Filter: adds a request key to the reply for a non-idempotent class.
//
// The key is valid only at this entry VM, so the filter moves this entry VM to the front of the list; any other one
// would reject the key. If this entry VM is not in the list (it is far from the caller, or leaving), no key is issued:
// the entry VM that the caller uses then answers KeyRequired with a key that it issues itself.
struct IssueKey {
    request::KeyRegistry& registry; // the request keys of this process, shared by the traffic threads

    Step operator()(Context context, core::TimePoint now) const
    {
        std::vector<core::MemberIndex>& entries = context.reply.entries;
        const auto self = std::ranges::find(entries, context.table->self);
        if (context.table->at(context.classIndex).idempotency == core::Idempotency::Idempotent || self == entries.end())
            return Step::pass(std::move(context));
        std::rotate(entries.begin(), self, self + 1);
        context.reply.requestKey = this->registry.issue(now);
        return Step::pass(std::move(context));
    }
};

// The look-up pipe of an entry VM.
using KeyedLookupPipe = core::Pipe<FindClass, LocateCaller, RankMembers, IssueKey>;

}
