#pragma once

#include "app/control_loop.h"
#include "wire/traffic_metrics.h"

#include <string>

namespace cranberryshed::app {

// Returns all metrics of one entry VM in the Prometheus text format.
std::string metricsText(const ControlView&, const wire::TrafficMetrics&);

}
