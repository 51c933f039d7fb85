#pragma once

#include "claim/ClaimRecordId.h"
#include "claim/ClaimWaiter.h"

namespace redwingseam::claim {

// Notifies a waiter that its record is in the log. `effectiveRecord` is the record that now determines the
// state of its key, which may be another holder's.
struct ClaimNotice {
    ClaimRecordId recordId;
    ClaimRecord effectiveRecord;
    ClaimWaiter waiter;
};

} // namespace redwingseam::claim
