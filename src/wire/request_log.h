#pragma once

#include "wire/exchange.h"

namespace cranberryshed::wire {

// One structured log line for each decision about a request. The exchange gives the caller's id of the request.

void logSent(const Exchange&, const request::SendAttempt&, core::TimePoint now);
void logAttemptEnded(const Exchange&, const BackendAttempt&, const request::AttemptEnded&, core::TimePoint now);
void logAnswered(const Exchange&, std::uint16_t status, core::AttemptResult, core::TimePoint now);
void logRefused(const Exchange&, const request::Reject&, core::TimePoint now);

}
