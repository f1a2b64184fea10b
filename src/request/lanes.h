#pragma once

#include "core/steering_table.h"

namespace cranberryshed::request {

// Follows the slot time that short and long classes take, decayed over time.
class LaneDemand {
public:
    explicit LaneDemand(core::Duration memory = std::chrono::seconds(10))
        : decayTime(memory)
    {
    }

    // A request held a slot for this time.
    void add(core::WorkLength, core::Duration serviceTime, core::TimePoint now);

    // Mean number of slots that work of this length took lately.
    double slots(core::WorkLength, core::TimePoint now) const;

private:
    core::Duration decayTime;
    double shortTime = 0;
    double longTime = 0;
    core::TimePoint updatedAt {};
};

// Holds long classes to a part of each backend server's slots.
//
// Long work takes a slot only while fewer than its limit are taken in all (trunk reservation), so the last slot
// of a server never goes to long work. One shared atomic count per server is enough for this.
struct LaneLimits {
    double longShare = 2.0 / 3; // of a server's slots

    // Slots of the server that a class of this length may fill, counting those that other classes take.
    // With slow start, and at least 1 of 3 for either kind.
    std::uint32_t maxSlots(const core::ServerEntry&, core::WorkLength) const;

    // 2/3 while short work uses less than half of the slots, down to 1/3 when it uses more. Depends on short work alone: a backlogged long class
    // takes whatever it may, so what it takes says nothing about the part that it should have.
    static LaneLimits forShortUtilization(double shortSlots, double allSlots);
};

// Slots that may be used while the server warms up (slow start) or is drained.
std::uint32_t usableSlots(const core::ServerEntry&);

// The part of connections to a backend server that long classes may hold open from this entry VM.
std::uint32_t maxLongConnections(std::uint32_t connectionLimit, std::size_t entryVms, double longShare);

// How one link's bandwidth is shared between short and long classes.
struct LinkShare {
    double capacityMbit = 0; // of this entry VM's part of the link, each way
    double minShortShare = 1.0 / 3; // kept free for short work

    struct Limits {
        double shortMbit = 0;
        double longMbit = 0;
    };

    // Short work gets what it asks for up to the capacity; long work gets the rest, at most the part above the floor.
    Limits split(double shortDemandMbit, double longDemandMbit) const;

    // Rate of each of `transfers` long transfers.
    double mbitPerLongTransfer(double shortDemandMbit, double longDemandMbit, std::size_t transfers) const;
};

}
