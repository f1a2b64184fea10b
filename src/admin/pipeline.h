#pragma once

#include "admin/check.h"
#include "admin/compare.h"
#include "admin/read.h"
#include "admin/report.h"
#include "admin/write.h"
#include "core/pipe.h"

namespace cranberryshed::admin {

// The commands on declarations, as chains of filters. Whichever filter ends a chain, `report` prints what was
// found and done up to there and gives the exit code.

// check FILE…: read → check → report
using CheckPipe = core::Pipe<ReadFiles, CheckObjects, CheckConsistency>;

// diff DIR: read → check → compare → report
template <AdminClient ClientType>
using DiffPipe = core::Pipe<ReadFiles, CheckObjects, ReadStore<ClientType>, CompareWithStore, CheckConsistency>;

// apply DIR: read → check → compare → write → report
template <AdminClient ClientType>
using ApplyPipe = core::Pipe<ReadFiles, CheckObjects, ReadStore<ClientType>, CompareWithStore, CheckConsistency, WriteDifferences<ClientType>>;

// Runs a chain and reports on its end.
template <typename Pipe>
int run(Pipe pipe, Options options, core::TimePoint now, std::ostream& output)
{
    Context context;
    context.options = std::move(options);
    Step step = pipe(std::move(context), now);
    return report(step.ended() ? step.answer() : step.output(), output);
}

}
