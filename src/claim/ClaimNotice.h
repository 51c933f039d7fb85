#pragma once

#include "claim/ClaimRecordId.h"
#include "claim/ClaimWaiter.h"

namespace redwingseam::claim {

// A record has taken its place in the log; `inForce` is what the log now says of its key.
struct ClaimNotice {
    ClaimRecordId recordId;
    ClaimRecord inForce;
    ClaimWaiter waiter;
};

} // namespace redwingseam::claim
