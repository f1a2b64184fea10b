#pragma once

#include "capacity/gossip_simulation.h"

#include <boost/json.hpp>
#include <cmath>
#include <string_view>

namespace cranberryshed::bench {

// Prints rows as they are measured, as text or, at the end, as one JSON array.
class Report {
public:
    explicit Report(bool asJson)
        : json(asJson)
    {
    }

    void row(std::string_view section, boost::json::object fields);

    // Adds the mean over the members and the member that spends most, per second of the simulated time.
    void costs(std::string_view section, boost::json::object fields, const Simulation&, core::Duration);

    void finish() const;

private:
    bool json;
    boost::json::array rows;
};

inline double round1(double value) { return std::round(value * 10) / 10; }

// Seconds with two digits; -1 if the time limit passed.
inline double seconds(std::optional<core::Duration> time)
{
    return time ? std::round(std::chrono::duration<double>(*time).count() * 100) / 100 : -1;
}

}
