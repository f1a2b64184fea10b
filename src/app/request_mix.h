#pragma once

#include "app/caller.h"

namespace cranberryshed::app {

// Returns request templates for the classes declared in a folder. The service time at the ServerStandIn is 2 ms for
// short classes and 20 ms for long ones; answers have the declared typical size, up to 4 MB. A short class gets four
// times the requests of a long one. Throws core::Error (BadDeclaration).
std::vector<RequestTemplate> requestMix(const std::string& folder);

}
