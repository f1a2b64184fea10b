#pragma once

#include "capacity/report.h"

namespace cranberryshed::bench {

// Measures traffic, CPU time and memory of a member in a fleet of this size without changes, the ages of the domain
// digests that members hold, and the time until a change has reached all members.
void measureMembers(CapacityReport&, int members);

// Measures the time until a change has reached all members if 20 % of datagrams are lost; the longest of five.
void measureChangesUnderLoss(CapacityReport&, int members);

// Measures the same costs depending on the number of objects, and the bytes that a restarted member receives.
void measureObjects(CapacityReport&, int objects);

// Measures the costs depending on the number of classes and capacities in the load reports.
void measureDigests(CapacityReport&, int classes, int capacities);

// Measures the costs of many ejections at once, for example because all backend servers of a batch fail.
void measureEjections(CapacityReport&, int ejections);

// Measures the time until all members suspect, and declare dead, the members of one failure domain that crash at once.
void measureFailures(CapacityReport&, int members, int crashed);

// Separates a quarter of the members from the others for two minutes. Measures the time until all members regard all as
// alive again, and the costs in that time.
void measurePartition(CapacityReport&, int members);

// Counts how often members regard healthy members as suspect or dead while 20 % of datagrams are lost for five minutes.
void measureFalseDeaths(CapacityReport&, int members);

// Measures the time to encode and decode messages, and their sizes.
void measureEncoding(CapacityReport&);

// Measures the CPU time with real sockets on loopback, including system calls and coroutines.
void measurePeers(CapacityReport&, int members);

}
