#pragma once

#include "wire/header.h"
#include "wire/text_response.h"

namespace cranberryshed::wire {

class Worker;

// Returns the answer to `GET /v1/entry?class=NAME[&client=IP]`. A resolver that asks on behalf of a client states the
// client's IPv4 address; otherwise the lookup uses the caller's address.
TextResponse lookupResponse(Worker&, const RequestHeader&, core::CallerAddress caller);

}
