#pragma once

#include "record.h"

namespace rig {

int removalAfterCutWatch(bool hasTrouble, Record&);
int bodyReadLate(bool hasTrouble, Record&);
int lookupAfterLoss(bool hasTrouble, Record&);
int staleSeed(bool hasTrouble, Record&);

}
