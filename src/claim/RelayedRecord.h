#pragma once

#include "claim/ClaimWaiter.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/claim/ClaimRecord.h"

namespace redwingseam::claim {

// A record that was relayed to the group's preferred writer, which has not replied yet that it is in the log.
struct RelayedRecord {
    ClaimRecord record;
    ClaimWaiter waiter;
    base::Instant sentAt;
};

} // namespace redwingseam::claim
