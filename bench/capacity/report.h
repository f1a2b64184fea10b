#pragma once

#include "capacity/gossip_simulation.h"

#include <boost/json.hpp>
#include <cmath>
#include <string_view>

namespace cranberryshed::bench {

// Prints each row when it is added, as text, or all rows at the end as one JSON array.
class CapacityReport {
public:
    explicit CapacityReport(bool asJson)
        : printsJson(asJson)
    {
    }

    void row(std::string_view section, boost::json::object fields);

    // Adds a row with messages, bytes and CPU time per second of the simulated time: the mean over all members and the
    // highest bytes and CPU time of any member.
    void costs(std::string_view section, boost::json::object fields, const GossipSimulation&, core::Duration);

    void finish() const;

private:
    bool printsJson;
    boost::json::array rows;
};

inline double roundToTenths(double value) { return std::round(value * 10) / 10; }

// Returns seconds rounded to two decimals, or -1 if there is no time because the limit was reached.
inline double seconds(std::optional<core::Duration> time)
{
    return time ? std::round(std::chrono::duration<double>(*time).count() * 100) / 100 : -1;
}

}
