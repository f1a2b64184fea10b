#pragma once

#include "core/pipe.h"
#include "request/abandon.h"
#include "request/answer.h"
#include "request/attempt_end.h"
#include "request/check_capacity.h"
#include "request/check_crashes.h"
#include "request/check_quarantine.h"
#include "request/check_shutdown.h"
#include "request/choose_server.h"
#include "request/claim_key.h"
#include "request/classify.h"
#include "request/count_crash.h"
#include "request/divert_suspect.h"
#include "request/isolate.h"
#include "request/notify_chooser.h"
#include "request/rebind.h"
#include "request/register_request.h"
#include "request/send.h"
#include "request/send_waiting.h"
#include "request/split_route.h"
#include "request/sweep.h"
#include "request/timer_due.h"

namespace cranberryshed::request {

// The pipes of the request engine, one for each kind of event. Engine only runs these.

// Handles RequestArrived: from Context to PendingAttempt.
using ArrivalPipe = core::Pipe<Classify, SplitRoute, CheckShutdown, CheckQuarantine, CheckCrashes, CheckCapacity, ClaimKey, RegisterRequest>;

// Sends a PendingAttempt, or lets its request wait or end.
template <Chooser ChooserType>
using SendPipe = core::Pipe<Rebind, DivertSuspect, WithholdAttempt, ChooseServer<ChooserType>, Send>;

// Handles AnswerStarted.
using AnswerPipe = core::Pipe<FindAnswered, Relay>;

// Handles AttemptEnded. The capacity pipe runs afterwards, because a slot may be free.
template <Chooser ChooserType>
using AttemptEndPipe = core::Pipe<TakeAttempt, ReleaseSlot, RecordResult, NotifyChooser<ChooserType>, RecordCrash, CountCrash, RetryOrEnd>;

// Handles TimerDue: from RequestId to PendingAttempt, for a retry or a hedge.
using TimerPipe = core::Pipe<FindRequest, EnforceDeadline, TakeDueAttempt>;

// Handles CallerDisconnected.
using CallerDisconnectedPipe = core::Pipe<FindRequest, Abandon>;

// Handles ServerChecked.
using ServerCheckedPipe = core::Pipe<RecordServerCheck>;

// Handles CapacityChanged, and runs after every other event: ends overdue attempts, sweeps, and sends waiting requests.
template <Chooser ChooserType>
using CapacityPipe = core::Pipe<EndOverdueAttempts<AttemptEndPipe<ChooserType>>, Sweep, SendCleared<SendPipe<ChooserType>>, IsolateSuspects, SendQueued<SendPipe<ChooserType>>>;

}
