#pragma once

#include "wire/exchange.h"

namespace cranberryshed::wire {

class Worker;

// How an attempt stands when its answer's head has arrived or can no longer arrive.
struct AttemptHead {
    core::AttemptResult result = core::AttemptResult::Broken; // Answered: the head is in the attempt's parser
    std::uint16_t status = 0;
    std::optional<core::Duration> retryAfter;
};

// The caller's side, from which the rest of a large body is read.
struct BodySource {
    Stream& stream;
    beast::flat_buffer& buffer;
    std::shared_ptr<CallerParser> parser;
};

// What became of an answer while it was passed on.
struct RelayResult {
    core::AttemptResult attempt = core::AttemptResult::Broken;
    bool callerUsable = false; // the caller got the whole answer and its connection is in step
    std::uint64_t bytes = 0; // written to the caller
};

// Turns a caller's header into the one that is sent to backend servers.
void prepareForBackend(RequestHeader&, const Socket& callerSocket);

// Connects or takes an idle connection, sends the request and reads up to the end of the answer's head.
Task<AttemptHead> sendAndReadHead(Worker&, Exchange&, Attempt&, BodySource);

// Streams the answer of an attempt to the caller in bounded memory. If either side breaks, the caller's
// connection is left in a state that it can't mistake for the end of the answer.
Task<RelayResult> relayAnswer(Worker&, Attempt&, Stream& caller, unsigned callerVersion, bool keepAlive);

}
