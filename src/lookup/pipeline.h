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

// A caller's look-up: which entry VMs should it use for this class of requests?
struct Query {
    std::string className;
    core::CallerAddress caller {};
};

// The answer to a look-up.
struct Reply {
    std::vector<core::MemberIndex> entries; // best first
    core::Duration timeToLive {}; // time for which the caller can use the reply
    std::string requestKey; // empty for an idempotent class, or if no key was issued
};

// The state of a look-up as it passes through the look-up pipe.
struct Context {
    Query query;
    core::SteeringTablePointer table;
    core::ClassIndex classIndex {};
    std::uint8_t site = core::AddressBlockTable::unknownSite;
    Reply reply;
};

using Step = core::Outcome<Context, core::ErrorKind>;

// Filter: finds the class by its name. Ends the pipe with NoSuchClass if there is none.
struct FindClass {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: finds the site of the caller's address.
struct LocateCaller {
    Step operator()(Context, core::TimePoint now) const;
};

// Filter: lists the entry VMs for the caller, best first, and sets the reply's time to live.
struct RankMembers {
    Step operator()(Context, core::TimePoint now) const;
};

using LookupPipe = core::Pipe<FindClass, LocateCaller, RankMembers>;

}
