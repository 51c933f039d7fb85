#pragma once

#include "claim/ClaimRecordId.h"
#include "claim/ClaimWaiter.h"

namespace redwingseam::claim {

// Notifies a waiter that its record is in the log. `effectiveRecord` is the record that now applies to its key.
struct ClaimNotice {
    ClaimRecordId recordId;
    ClaimRecord effectiveRecord;
    ClaimWaiter waiter;
};

} // namespace redwingseam::claim
