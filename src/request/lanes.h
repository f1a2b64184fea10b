#pragma once

#include "core/steering_table.h"

namespace cranberryshed::request {

// Measures the slot time used by the two lanes, short and long classes. The sums decay exponentially.
class LaneDemand {
public:
    explicit LaneDemand(core::Duration sumDecayTime = std::chrono::seconds(10))
        : decayTime(sumDecayTime)
    {
    }

    // Adds a request that occupied a slot for this time.
    void add(core::WorkLength, core::Duration slotTime, core::TimePoint now);

    // Mean number of slots that requests of this length occupied recently.
    double slots(core::WorkLength, core::TimePoint now) const;

private:
    core::Duration decayTime;
    double shortSlotSeconds = 0;
    double longSlotSeconds = 0;
    core::TimePoint updatedAt {};
};

// Limits long classes to a share of each backend server's slots.
//
// A long request only gets a slot while the total number of occupied slots, by all classes, is below the limit (trunk
// reservation), so it never gets the last slot of a server with several slots. One shared atomic counter per server is
// enough for this.
struct LaneLimits {
    double longShare = 2.0 / 3; // of a server's slots

    // Number of occupied slots, by all classes, up to which a class of this length can use the server. At most the
    // usable slots during slow start. With 3 slots, each lane can get at least 1.
    std::uint32_t maxSlots(const core::ServerEntry&, core::WorkLength) const;

    // The long share is 2/3 while short requests use less than 45 % of the slots and decreases to 1/3 at 60 %. It
    // depends on short requests only: a backlogged long class fills any limit, so its usage does not show its need.
    static LaneLimits forShortUtilization(double shortSlots, double allSlots);
};

// Number of slots that can be used, in proportion to the warmth while the server warms up (slow start) or is drained.
std::uint32_t usableSlots(const core::ServerEntry&);

// Maximum number of connections from this entry VM to a backend server that long classes can keep open.
std::uint32_t maxLongConnections(std::uint32_t connectionLimit, std::size_t entryVms, double longShare);

// Divides the bandwidth of one link between short and long classes.
struct LinkShare {
    double capacityMbitPerSecond = 0; // this entry VM's share of the link, in each direction
    double minShortShare = 1.0 / 3; // of the capacity, reserved for short classes

    struct Limits {
        double shortMbitPerSecond = 0;
        double longMbitPerSecond = 0;
    };

    // Short classes get their demand up to the capacity; long classes get the rest, at most 1 - minShortShare.
    Limits split(double shortDemandMbitPerSecond, double longDemandMbitPerSecond) const;

    // Rate in Mbit/s of each of `transfers` long transfers.
    double longTransferMbitPerSecond(double shortDemandMbitPerSecond, double longDemandMbitPerSecond, std::size_t transfers) const;
};

}
