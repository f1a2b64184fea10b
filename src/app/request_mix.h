#pragma once

#include "app/caller.h"

namespace cranberryshed::app {

// A load for the classes declared in a folder: short work takes 2 ms, long work 20 ms at the backend stand-in;
// answers have the declared typical size, up to 4 MB. Short classes get four times the weight of long ones.
// Throws core::Error (BadDeclaration).
std::vector<RequestTemplate> requestMix(const std::string& folder);

}
