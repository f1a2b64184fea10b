#pragma once

#include "wire/header.h"
#include "wire/text_response.h"

namespace cranberryshed::wire {

class Worker;

// Answers `GET /v1/entry?class=NAME[&client=IP]`. A resolver that asks for someone else states `client`.
TextResponse lookupResponse(Worker&, const RequestHeader&, core::CallerAddress caller);

}
