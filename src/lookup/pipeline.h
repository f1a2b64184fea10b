#pragma once

#include "core/errors.h"
#include "core/pipe.h"
#include "core/steering_table.h"
#include "lookup/address_blocks.h"
#include "lookup/rank.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::lookup {

// A caller's question: which entry VM should it use for this class of work?
struct Query {
    std::string className;
    core::CallerAddress caller {};
};

struct Reply {
    std::vector<core::MemberIndex> entries; // best first
    core::Duration timeToLive {}; // how long the caller may use the reply
    std::string requestKey; // only for a non-idempotent class
};

// A look-up on its way through the pipeline.
struct Context {
    Query query;
    core::SteeringTablePointer table;
    core::ClassIndex classIndex {};
    std::uint8_t site = core::AddressBlockTable::unknownSite;
    Reply reply;
};

using Step = core::Outcome<Context, core::ErrorKind>;

// Filter: finds the class by name.
struct FindClass {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: finds the caller's site by its address.
struct LocateCaller {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: orders the entry VMs for the caller.
struct RankMembers {
    Step operator()(Context, core::TimePoint now) const;
};

using LookupPipe = core::Pipe<FindClass, LocateCaller, RankMembers>;

}
