#include "request/engine.h"

#include <catch2/catch.hpp>

using cranberryshed::request::Engine;
using cranberryshed::request::RoundRobin;
template class cranberryshed::request::Engine<RoundRobin>;
