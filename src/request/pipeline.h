#pragma once

#include "core/pipe.h"
#include "request/choose.h"
#include "request/classify.h"
#include "request/context.h"

namespace cranberryshed::request {

// The filters that a request passes before a backend server is chosen, in their order.
using ArrivalPipe = core::Pipe<Classify>;

}
