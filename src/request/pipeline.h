#pragma once

#include "core/pipe.h"
#include "request/abandon.h"
#include "request/answer.h"
#include "request/attempt_end.h"
#include "request/check_capacity.h"
#include "request/check_quarantine.h"
#include "request/check_shutdown.h"
#include "request/choose_server.h"
#include "request/claim_key.h"
#include "request/classify.h"
#include "request/divert_suspect.h"
#include "request/isolate.h"
#include "request/rebind.h"
#include "request/register_request.h"
#include "request/send.h"
#include "request/send_waiting.h"
#include "request/split_route.h"
#include "request/sweep.h"
#include "request/teach_chooser.h"
#include "request/timer_due.h"

namespace cranberryshed::request {

// The chains of the request engine, one for each kind of event. Engine runs them and nothing else.

// RequestArrived: from Context to PendingAttempt.
using ArrivalPipe = core::Pipe<Classify, SplitRoute, CheckShutdown, CheckQuarantine, CheckCapacity, ClaimKey, RegisterRequest>;

// From PendingAttempt to an attempt that is sent, or a request that waits.
template <Chooser ChooserType>
using SendPipe = core::Pipe<Rebind, DivertSuspect, ChooseServer<ChooserType>, Send>;

// AnswerStarted.
using AnswerPipe = core::Pipe<FindAnswered, Relay>;

// AttemptEnded. The capacity pipe follows, because a slot may be free.
template <Chooser ChooserType>
using AttemptEndPipe = core::Pipe<TakeAttempt, ReleaseSlot, RecordResult, NotifyChooser<ChooserType>, RecordCrash, RetryOrEnd>;

// TimerDue: from RequestId to PendingAttempt, for a retry or a second attempt.
using TimerPipe = core::Pipe<FindRequest, EnforceDeadline, TakeDueAttempt>;

// CallerGone.
using CallerDisconnectedPipe = core::Pipe<FindRequest, Abandon>;

// CapacityChanged, and the end of every other event.
template <Chooser ChooserType>
using CapacityPipe = core::Pipe<EndOverdueAttempts<AttemptEndPipe<ChooserType>>, Sweep, SendCleared<SendPipe<ChooserType>>, IsolateSuspects, SendQueued<SendPipe<ChooserType>>>;

}
