#pragma once

#include "capacity/report.h"

namespace cranberryshed::bench {

// One member's traffic, CPU time and memory in a quiet fleet of this size, the ages of the sums that members
// hold, and the time for a change to reach all.
void measureMembers(Report&, int members);

// The time for a change to reach all with 20 % of datagrams lost; the worst of five.
void measureChangesUnderLoss(Report&, int members);

// The same costs over the number of objects, and what a replaced member receives.
void measureObjects(Report&, int objects);

void measureDigests(Report&, int classes, int capacities);

// A step in the backend servers, such as a batch that dies: many ejections at once.
void measureEjections(Report&, int ejections);

// Members of one failure domain that crash at once.
void measureFailures(Report&, int members, int crashed);

// A quarter of the members loses contact with the others for two minutes; the time until all hold all for alive
// again, and what a member sends and receives meanwhile.
void measurePartition(Report&, int members);

// Healthy members that any other one holds for dead while 20 % of datagrams are lost for five minutes.
void measureFalseDeaths(Report&, int members);

void measureEncoding(Report&);

// Real sockets on loopback: the cost with system calls and coroutines.
void measurePeers(Report&, int members);

}
