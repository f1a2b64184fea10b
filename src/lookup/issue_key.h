#pragma once

#include "lookup/pipeline.h"
#include "request/keys.h"

#include <algorithm>

namespace cranberryshed::lookup {

// Filter: adds a request key to the reply for a non-idempotent class.
//
// The key is bound to this entry VM, so this entry VM is listed first; any other one would refuse the key.
// If it is not among the entries (far from the caller, or leaving), no key is issued: the entry VM that the
// caller then uses answers KeyRequired with a key of its own.
struct IssueKey {
    request::KeyRegistry& registry; // of this process, shared with the traffic threads

    Step operator()(Context context, core::TimePoint now) const
    {
        std::vector<core::MemberIndex>& entries = context.reply.entries;
        const auto self = std::ranges::find(entries, context.table->self);
        if (context.table->at(context.classIndex).repeat == core::Repeat::Idempotent || self == entries.end())
            return Step::pass(std::move(context));
        std::rotate(entries.begin(), self, self + 1);
        context.reply.requestKey = this->registry.issue(now);
        return Step::pass(std::move(context));
    }
};

// The look-up path of an entry VM, in its order.
using KeyedLookupPipe = core::Pipe<FindClass, LocateCaller, RankMembers, IssueKey>;

}
