#pragma once

#include "app/control_loop.h"
#include "wire/traffic_metrics.h"

#include <boost/json.hpp>

namespace cranberryshed::app {

// Returns the state of one entry VM as JSON for operators: the current steering table, the members and backend servers
// as this entry VM sees them, in-flight counts, drains, recent warnings and traffic counters.
boost::json::object dumpState(const ControlView&, const wire::TrafficMetrics&, core::TimePoint now);

}
