#pragma once

// The precompiled header of the I/O library. Decisions never include it.

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>
