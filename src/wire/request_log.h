#pragma once

#include "wire/exchange.h"

namespace cranberryshed::wire {

// Each function writes one structured log line about a request, unless the event's rate limit is exceeded. The request
// is identified by the id that its caller stated.

void logSent(const Exchange&, const request::SendAttempt&, core::TimePoint now);
void logAttemptEnded(const Exchange&, const BackendAttempt&, const request::AttemptEnded&, core::TimePoint now);
void logAnswered(const Exchange&, std::uint16_t status, core::AttemptResult, core::TimePoint now);
void logServerChecked(const core::ServerEntry&, core::Reachability, core::Duration elapsed, core::TimePoint now);
void logRefused(const Exchange&, const request::Reject&, core::TimePoint now);

}
