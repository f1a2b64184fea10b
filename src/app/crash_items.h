#pragma once

#include "core/steering_table.h"
#include "fleet/snapshot.h"

namespace cranberryshed::app {

// Items by which entry VMs tell each other how many backend servers a request has crashed. A request that has crashed
// only one is remembered for a shorter time, because each crash leaves several of them behind.

fleet::Item crashItem(core::Fingerprint, unsigned count);

// The item by which a request's crashes are forgotten.
fleet::Item crashesForgottenItem(core::Fingerprint);

// Returns the item's content, or nothing if it can't be read.
std::optional<core::CrashRecord> readCrashItem(const fleet::Item&, core::TimePoint now);

}
