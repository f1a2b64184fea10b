#pragma once

#include "admin/check.h"
#include "admin/compare.h"
#include "admin/read.h"
#include "admin/report.h"
#include "admin/write.h"
#include "core/pipe.h"

namespace cranberryshed::admin {

// The commands check, diff and apply as pipes of filters. When a pipe ends, at its last filter or earlier, `report`
// prints what was found and done until then and returns the exit code.

// check FILE…: read files → check objects → check consistency → report
using CheckPipe = core::Pipe<ReadFiles, CheckObjects, CheckConsistency>;

// diff DIR: read files → check objects → read store → compare → check consistency → report
template <AdminClient ClientType>
using DiffPipe = core::Pipe<ReadFiles, CheckObjects, ReadStore<ClientType>, CompareWithStore, CheckConsistency>;

// apply DIR: read files → check objects → read store → compare → check consistency → write → report
template <AdminClient ClientType>
using ApplyPipe = core::Pipe<ReadFiles, CheckObjects, ReadStore<ClientType>, CompareWithStore, CheckConsistency, WriteDifferences<ClientType>>;

// Runs a pipe and prints its result. Returns the exit code.
template <typename Pipe>
int runPipe(Pipe pipe, Options options, core::TimePoint now, std::ostream& output)
{
    Context context;
    context.options = std::move(options);
    Step step = pipe(std::move(context), now);
    return report(step.ended() ? step.answer() : step.output(), output);
}

}
