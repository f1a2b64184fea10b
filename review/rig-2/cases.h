#pragma once

#include "record.h"

namespace review {

// Each case returns whether the rule held.
using Case = bool (*)(Record&, bool hasTrouble);

bool repeatedStop(Record&, bool hasTrouble);
bool leavingDuringDownloads(Record&, bool hasTrouble);
bool crashingRequest(Record&, bool hasTrouble);
bool resetByClient(Record&, bool hasTrouble);

}
